"""What must hold on random days where the platform does not fence, and each guard seen red.

DEWLEDGE_DAYS sets how many days are played; a failing seed is printed.
"""

import os
import unittest

from dewledge.core.pooler.failover.messages import Phase
from tests.core.pooler.failover.test_phases import outside_table
from tests.unfenced.day import UnfencedDay

DAYS = int(os.environ.get("DEWLEDGE_DAYS", "6"))
FIRST_SEED = int(os.environ.get("DEWLEDGE_FIRST_SEED", "0"))
SECONDS = 30.0
KEPT_SEEDS = (7, 9, 12, 23, 49)
"""Days on which a replaced primary was used with a guard off, before nothing waited any more for a
primary that is cut off (test_guards.py)."""
ONCE_BROUGHT_BACK = (301,)
"""Days on which a promotion put commits in force again which an earlier one had rolled back: the
claim holder forgot the term in which its last candidate led."""


class UnfencedDaysTest(unittest.TestCase):
    def test_nothing_is_broken(self) -> None:
        promotions = 0
        for seed in range(FIRST_SEED, FIRST_SEED + DAYS):
            day = UnfencedDay(seed).play(SECONDS)
            self.assertEqual(day.violations(), [], f"seed {seed}: {day.played}")
            for process in day.processes.values():
                self.assertEqual(outside_table(Phase.STEADY, process.phases), [], f"seed {seed}")
            promotions += len(day.databases.effects)
        self.assertGreater(promotions, DAYS)

    def test_nothing_is_broken_on_days_that_once_showed_a_guard(self) -> None:
        for seed in KEPT_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(UnfencedDay(seed).play(SECONDS).violations(), [])

    def test_no_promotion_brings_back_what_an_earlier_one_rolled_back(self) -> None:
        for seed in ONCE_BROUGHT_BACK:
            with self.subTest(seed=seed):
                self.assertEqual(UnfencedDay(seed).play(SECONDS).violations(), [])


class HolderTest(unittest.TestCase):
    def test_a_holder_is_told_when_its_claim_stands_to_learn_whom_to_wait_for(self) -> None:
        day = UnfencedDay(1, faults=())
        told: list[str] = []
        for process in day.processes.values():
            process.claim_events.written.add(lambda: told.append("told"))
        day.play(0.0)
        claims = [key for key in day.store.rows if key.startswith("claim/")]
        self.assertEqual(len(claims), 1)
        self.assertGreaterEqual(len(told), 1)


if __name__ == "__main__":
    unittest.main()
