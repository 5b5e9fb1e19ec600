"""docs/ERRORS.md lists every error code, once each, with meaning and what to do."""

import re
import unittest
from pathlib import Path

from dewledge.errors import ErrorCode

PAGE = Path(__file__).parent.parent / "docs" / "ERRORS.md"
ROW = re.compile(r"^\| `([a-z_]+)` \| (.+?) \| (.+?) \|$", re.MULTILINE)


class ErrorsPageTest(unittest.TestCase):
    def test_the_page_and_the_codes_are_equal(self) -> None:
        listed = [code for code, _, _ in ROW.findall(PAGE.read_text())]
        self.assertCountEqual(listed, list(ErrorCode))


if __name__ == "__main__":
    unittest.main()
