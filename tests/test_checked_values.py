"""Typed values from plain ones: every finding at once, each in its place."""

import unittest
from typing import Annotated

import msgspec

from dewledge.checked_values import build_checked, checked_by, descriptions
from dewledge.errors import ErrorCode, InvalidInput


def no_blanks(text: str) -> None:
    if " " in text:
        raise ValueError("no blanks")


class Inner(msgspec.Struct, frozen=True):
    seconds: Annotated[float, msgspec.Meta(gt=0)] = 1.0


class Outer(msgspec.Struct, frozen=True):
    name: Annotated[str, checked_by(no_blanks), msgspec.Meta(description="Its name.")]
    count: Annotated[int, msgspec.Meta(ge=1)] = 3
    word: Annotated[str, checked_by(no_blanks)] | None = None
    inner: Inner = Inner()


class CheckedValuesTest(unittest.TestCase):
    def findings(self, values: dict[str, object]) -> dict[str, ErrorCode]:
        with self.assertRaises(InvalidInput) as raised:
            build_checked(values, Outer, "file")
        return {finding.place: finding.code for finding in raised.exception.findings}

    def test_good_values(self) -> None:
        built = build_checked({"name": "a", "inner": {"seconds": 2}}, Outer, "file")
        self.assertEqual(built, Outer("a", 3, None, Inner(2.0)))

    def test_each_kind_of_finding(self) -> None:
        invalid = ErrorCode.INVALID_SETTING
        cases = (
            ({}, {"file name": invalid}),
            ({"name": 7}, {"file name": invalid}),
            ({"name": "a b"}, {"file name": invalid}),
            ({"name": "a", "word": "a b"}, {"file word": invalid}),
            ({"name": "a", "count": 0}, {"file count": invalid}),
            ({"name": "a", "inner": {"seconds": -1}}, {"file inner.seconds": invalid}),
            ({"name": "a", "inner": 4}, {"file inner": invalid}),
            ({"name": "a", "colour": 1}, {"file colour": ErrorCode.UNKNOWN_FIELD}),
            (
                {"count": "x", "inner": {"seconds": 0, "hue": 1}},
                {
                    "file name": invalid,
                    "file count": invalid,
                    "file inner.seconds": invalid,
                    "file inner.hue": ErrorCode.UNKNOWN_FIELD,
                },
            ),
        )
        for values, expected in cases:
            with self.subTest(values):
                self.assertEqual(self.findings(values), expected)

    def test_what_fields_mean(self) -> None:
        self.assertEqual(descriptions(Outer)["name"], "Its name.")


if __name__ == "__main__":
    unittest.main()
