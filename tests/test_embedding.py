"""docs/EMBEDDING.md: its example runs and prints what the page says; the public face is whole."""

import contextlib
import io
import re
import unittest
from pathlib import Path

from dewledge import coordination

PAGE = (Path(__file__).parent.parent / "docs" / "EMBEDDING.md").read_text()


def blocks(language: str) -> list[str]:
    """Returns the page's code blocks of one language."""
    return re.findall(rf"^```{language}\n(.*?)^```$", PAGE, re.MULTILINE | re.DOTALL)


class EmbeddingPageTest(unittest.TestCase):
    def test_the_example_prints_what_the_page_says(self) -> None:
        (example,) = blocks("python")
        (expected,) = blocks("text")
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            exec(compile(example, "EMBEDDING.md", "exec"), {})
        self.assertEqual(printed.getvalue(), expected)

    def test_names_in_the_table_are_public(self) -> None:
        rows = re.findall(r"^\| [^|]+ \| (.+) \|$", PAGE, re.MULTILINE)
        named = re.findall(r"`(\w+)`", " ".join(rows))
        self.assertGreater(len(named), 0)
        self.assertEqual(set(named) - set(coordination.__all__), set())


class PublicFaceTest(unittest.TestCase):
    def test_the_module_text_names_everything_public(self) -> None:
        named = re.findall(r"`(\w+)`", coordination.__doc__ or "")
        self.assertCountEqual(set(named) - {"now"}, coordination.__all__)

    def test_everything_public_is_documented(self) -> None:
        for name in coordination.__all__:
            item = getattr(coordination, name)
            if isinstance(item, type) or callable(item):
                with self.subTest(name):
                    self.assertTrue(item.__doc__)


if __name__ == "__main__":
    unittest.main()
