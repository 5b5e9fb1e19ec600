"""Versions that are ordered over restores of the store."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.store_versions import ERA_SPAN, combine, era_of, number_of

ERAS = st.integers(0, 8191)
NUMBERS = st.integers(0, ERA_SPAN - 1)


class StoreVersionsTest(unittest.TestCase):
    @given(ERAS, NUMBERS)
    def test_a_version_gives_back_its_era_and_number(self, era: int, number: int) -> None:
        version = combine(era, number)
        self.assertEqual((era_of(version), number_of(version)), (era, number))

    @given(st.tuples(ERAS, NUMBERS), st.tuples(ERAS, NUMBERS))
    def test_versions_are_ordered_by_era_and_then_by_number(
        self, one: tuple[int, int], other: tuple[int, int]
    ) -> None:
        self.assertEqual(one < other, combine(*one) < combine(*other))

    def test_a_store_that_was_never_restored_has_its_own_numbers(self) -> None:
        self.assertEqual(combine(0, 17), 17)

    def test_a_table_that_was_never_read_is_of_no_era(self) -> None:
        self.assertEqual((era_of(-1), number_of(-1)), (0, -1))


if __name__ == "__main__":
    unittest.main()
