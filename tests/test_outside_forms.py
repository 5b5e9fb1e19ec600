"""Everything that shows outside is as it was: bytes, rows, log lines, settings, metrics, commands.

The fixtures are in tests/outside_forms; only its roots.py follows renames and moves of the sources.
A form that may change is written anew by `python -m tests.outside_forms.write`.
"""

import difflib
import unittest

from tests.outside_forms import roots
from tests.outside_forms.forms import FOLDER, collect, fixture

SHOWN_LINES = 40


class OutsideFormsTest(unittest.TestCase):
    def test_every_form_is_as_it_was(self) -> None:
        for name, lines in collect().items():
            with self.subTest(name):
                held = fixture(name).read_text().splitlines()
                found = list(difflib.unified_diff(held, lines, "held", "found", "", "", 0, ""))
                shown = "\n".join(found[:SHOWN_LINES])
                self.assertFalse(found, f"{name}: {len(found)} lines of difference\n{shown}")

    def test_every_fixture_is_compared(self) -> None:
        self.assertEqual({path.stem for path in FOLDER.glob("*.txt")}, set(collect()))

    def test_messages_held_are_read_and_encode_to_the_same_bytes(self) -> None:
        codecs = {form: (encode, decode) for form, _, encode, decode in roots.MESSAGES}
        read = dict.fromkeys(codecs, 0)
        for line in fixture("messages").read_text().splitlines():
            form, data = line.split(" ")[0], line.rpartition(" ")[2]
            if form in codecs:
                encode, decode = codecs[form]
                self.assertEqual(encode(decode(bytes.fromhex(data))).hex(), data, line)
                read[form] += 1
        self.assertNotIn(0, read.values())


if __name__ == "__main__":
    unittest.main()
