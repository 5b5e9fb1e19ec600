"""The immutable group description: which news count, and who is believed to be primary."""

import unittest

from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.group_description import (
    GroupDescription,
    describe,
    with_applied,
    with_databases,
    with_gamble,
    with_lag_sample,
    with_primary_denied,
    with_status,
    with_unavailable,
)
from dewledge.core.proxy.entry.head_history import HeadHistory
from dewledge.core.shared.positions import TermStart
from tests.core.proxy.entry.entry_harness import ZONES, position, status

PRIMARY = DatabaseRole.PRIMARY


def healthy() -> GroupDescription:
    description = describe("g", ZONES.items())
    for name in ZONES:
        role = PRIMARY if name == "a" else DatabaseRole.REPLICA
        description = with_status(description, status(name, role, 1, 10), 5.0)
    return description


class GroupDescriptionTest(unittest.TestCase):
    def test_primary_after_news(self) -> None:
        """Rows: name, news as functions, primary."""
        cases = [
            ("none", [], "a"),
            ("denied", [lambda d: with_primary_denied(d, "a", 6.0)], None),
            ("unreachable", [lambda d: with_unavailable(d, "a", 6.0)], None),
            ("one voter ahead", [lambda d: with_status(d, status("b", term=2), 6.0)], "a"),
            (
                "majority ahead",
                [
                    lambda d: with_status(d, status("b", term=2), 6.0),
                    lambda d: with_status(d, status("c", term=2), 6.0),
                ],
                None,
            ),
            ("successor", [lambda d: with_status(d, status("b", PRIMARY, 2), 6.0)], "b"),
            (
                "old news of the denied one",
                [
                    lambda d: with_primary_denied(d, "a", 6.0),
                    lambda d: with_status(d, status("a", PRIMARY, 1, 10), 5.9),
                ],
                None,
            ),
            (
                "newer news of the denied one",
                [
                    lambda d: with_primary_denied(d, "a", 6.0),
                    lambda d: with_status(d, status("a", PRIMARY, 1, 10), 6.1),
                ],
                "a",
            ),
            ("removed", [lambda d: with_databases(d, [("b", "z2"), ("c", "z3")])], None),
        ]
        for name, news, primary in cases:
            with self.subTest(name):
                before = description = healthy()
                for change in news:
                    description = change(description)
                self.assertEqual(description.primary, primary)
                self.assertEqual(before, healthy(), "the earlier view is not changed")

    def test_applied_falls_only_with_a_later_term(self) -> None:
        description = with_status(healthy(), status("b", offset=4), 6.0)
        self.assertEqual(description.databases["b"].applied, position(1, 10))
        later = status("b", term=2, offset=4, log_term=1, starts=((1, 0), (2, 4)))
        description = with_status(description, later, 6.0)
        self.assertEqual(description.databases["b"].applied, position(1, 4))
        self.assertEqual(description.term_starts, (TermStart(1, 0), TermStart(2, 4)))
        self.assertIs(with_applied(description, "b", position(1, 9), 7.0), description)

    def test_unknown_databases_are_ignored(self) -> None:
        description = healthy()
        for changed in (
            with_status(description, status("x"), 6.0),
            with_applied(description, "x", position(1, 1), 6.0),
            with_primary_denied(description, "x", 6.0),
            with_unavailable(description, "x", 6.0),
            with_lag_sample(description, "x", 1.0),
            with_gamble(description, "x", True),
        ):
            self.assertIs(changed, description)


class HeadHistoryTest(unittest.TestCase):
    def test_ages_and_lags(self) -> None:
        history = HeadHistory()
        for step in range(5000):
            history.note(position(1, step), 10.0 + step * 0.01)
        now = 10.0 + 4999 * 0.01
        self.assertAlmostEqual(history.age_of(position(1, 4990), now), 0.09)
        self.assertIsNone(history.age_of(position(1, 5000), now))
        self.assertAlmostEqual(history.lag_of(position(1, 4989), now), 0.09)
        self.assertEqual(history.lag_of(position(1, 4999), now), 0.0)
        self.assertGreater(history.lag_of(position(1, 0), now), 5.0)
