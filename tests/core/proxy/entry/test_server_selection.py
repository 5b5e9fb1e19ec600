"""Pure replica selection, and the retry budget."""

import unittest
from random import Random

import msgspec

from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.group_description import (
    GroupDescription,
    describe,
    with_gamble,
    with_lag_sample,
    with_status,
)
from dewledge.core.proxy.entry.server_selection import (
    Freshness,
    ReadChoice,
    ReadQuery,
    choose_replica,
)
from dewledge.core.shared.retry_budget import RetryBudget
from tests.core.proxy.entry.entry_harness import ZONES, position, status

QUERY = ReadQuery(
    floor=position(1, 10),
    floor_age=0.02,
    candidates=("b", "c"),
    read_wait=0.01,
    zone="z2",
    now=100.0,
)


def group(b: int, c: int, lag: float | None = None) -> GroupDescription:
    """Databases b and c at these offsets, both with this lag."""
    description = describe("g", ZONES.items())
    shown = (status("a", DatabaseRole.PRIMARY, 1, 10), status("b", offset=b), status("c", offset=c))
    for item in shown:
        description = with_status(description, item, 100.0)
    for name in ("b", "c") if lag is not None else ():
        # Twice the deviation is counted on top, and the first sample sets it to half: 2 x lag.
        description = with_lag_sample(description, name, lag)
    return description


def choose(
    description: GroupDescription, query: ReadQuery = QUERY, seed: int = 0, **outstanding: int
) -> ReadChoice | None:
    return choose_replica(description, query, outstanding, Random(seed).random)


class ChooseReplicaTest(unittest.TestCase):
    def test_choice(self) -> None:
        """Rows: name, offsets of b and c, lag, database and freshness chosen."""
        cases = [
            ("both fresh: own zone", 10, 10, None, "b", Freshness.KNOWN),
            ("fresh in another zone before unsure in one's own", 9, 10, 0.1, "c", Freshness.KNOWN),
            ("lag has passed", 9, 9, 0.005, "b", Freshness.EXPECTED),
            ("lag passes within the wait", 9, 9, 0.0125, "b", Freshness.SOON),
            ("too short a hold to end at all", 9, 9, 0.01 + 1e-17, "b", Freshness.EXPECTED),
        ]
        for name, b, c, lag, database, freshness in cases:
            with self.subTest(name):
                choice = choose(group(b, c, lag))
                self.assertEqual((choice.database, choice.freshness), (database, freshness))
        self.assertAlmostEqual(choose(group(9, 9, 0.0125)).delay, 0.005)

    def test_a_hold_always_moves_the_clock(self) -> None:
        """A delay of a few ulps is due at once, so the read would be held without end."""
        query = msgspec.structs.replace(QUERY, floor_age=0.02 - 1e-15, now=1e6)
        choice = choose(group(9, 9, 0.01), query)
        self.assertTrue(choice.delay == 0.0 or query.now + choice.delay > query.now)

    def test_gambles_as_long_as_they_succeed(self) -> None:
        description = group(9, 9, lag=1.0)
        self.assertIs(choose(description).freshness, Freshness.GAMBLE)
        for _ in range(10):
            for name in ("b", "c"):
                description = with_gamble(description, name, False)
        choices = [choose(description, seed=seed) for seed in range(1000)]
        trials = sum(choice is not None for choice in choices)
        self.assertTrue(0 < trials < 60, trials)

    def test_cut_off_and_false_primaries_are_never_chosen(self) -> None:
        description = describe("g", ZONES.items())
        starts = ((1, 0), (2, 8))
        for item in (
            status("a", DatabaseRole.PRIMARY, 2, 9, starts),
            status("b", offset=12),
            status("c", DatabaseRole.PRIMARY, 1, 8),
        ):
            description = with_status(description, item, 100.0)
        query = msgspec.structs.replace(QUERY, floor=position(1, 8))
        self.assertTrue(all(choose(description, query, seed) is None for seed in range(200)))

    def test_load_spills_out_of_the_own_zone(self) -> None:
        description = group(10, 10)
        self.assertEqual(choose(description, b=15).database, "b")
        self.assertEqual({choose(description, seed=s, b=16).database for s in range(20)}, {"c"})

    def test_load_is_spread_between_equals(self) -> None:
        query = msgspec.structs.replace(QUERY, zone="z9")
        chosen = [choose(group(10, 10), query, seed).database for seed in range(400)]
        self.assertTrue(120 < chosen.count("b") < 280, chosen.count("b"))


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self) -> None:
        budget = RetryBudget(ratio=0.1, reserve=5.0)
        taken = 0
        for _ in range(1000):
            budget.note_request()
            taken += budget.take()
        self.assertTrue(100 <= taken <= 105, taken)

    def test_reserve_is_bounded(self) -> None:
        budget = RetryBudget(ratio=1.0, reserve=3.0)
        for _ in range(100):
            budget.note_request()
        self.assertEqual([budget.take() for _ in range(4)], [True, True, True, False])
        with self.assertRaises(ValueError):
            RetryBudget(-1.0, 0.0)
