"""Guards the comparison of log positions across terms."""

import unittest

from dewledge.core.shared.positions import LogPosition, TermStart, is_cut_off, satisfies

TERM_STARTS = (TermStart(5, 0), TermStart(6, 105))

# name, applied, floor, fresh
FRESHNESS = (
    ("same position", LogPosition(6, 110), LogPosition(6, 110), True),
    ("behind in the term", LogPosition(6, 109), LogPosition(6, 110), False),
    ("earlier term, floor of the later", LogPosition(5, 105), LogPosition(6, 106), False),
    ("later term covers the earlier floor", LogPosition(6, 106), LogPosition(5, 100), True),
    ("common history of both terms", LogPosition(5, 105), LogPosition(5, 100), True),
    ("branch cut off by the later term", LogPosition(5, 106), LogPosition(5, 100), False),
)


class FreshnessTest(unittest.TestCase):
    def test_satisfied_floors(self) -> None:
        for name, applied, floor, fresh in FRESHNESS:
            with self.subTest(name):
                self.assertEqual(satisfies(applied, floor, TERM_STARTS), fresh)

    def test_position_is_not_discarded_without_a_later_term(self) -> None:
        self.assertFalse(is_cut_off(LogPosition(5, 900), (TermStart(5, 0),)))
