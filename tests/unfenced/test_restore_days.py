"""What must hold on random days with restores of the store, and each guard seen red.

DEWLEDGE_DAYS sets how many days are played; a failing seed is printed.
"""

import os
import unittest

from dewledge.core.pooler.failover.messages import Phase
from tests.core.pooler.failover.test_phases import outside_table
from tests.unfenced.restore_day import FencedGroup, RestoreDay

DAYS = int(os.environ.get("DEWLEDGE_DAYS", "20"))
FIRST_SEED = int(os.environ.get("DEWLEDGE_FIRST_SEED", "0"))
SECONDS = 30.0
ONCE_UNCLAIMED = (1273,)
"""Days on which the only claim of a group was lost, all processes restarted, and an old primary was
used again."""


class FencedRestoreDay(RestoreDay):
    group_type = FencedGroup


class RestoreDaysTest(unittest.TestCase):
    """Guards against a second primary, a shared or a lower fencing token after a restore."""

    def check(self, kind: type[RestoreDay]) -> None:
        restores = 0
        for seed in range(FIRST_SEED, FIRST_SEED + DAYS):
            with self.subTest(seed=seed):
                day = kind(seed).play(SECONDS)
                self.assertEqual(day.violations(), [], f"seed {seed}: {day.played}")
                for process in day.processes.values():
                    self.assertEqual(outside_table(Phase.STEADY, process.phases), [])
                restores += day.store.era
        self.assertGreater(restores, DAYS)

    def test_one_primary_and_rising_tokens_where_the_processes_fence(self) -> None:
        self.check(RestoreDay)

    def test_no_old_primary_is_used_after_the_only_claim_was_lost(self) -> None:
        for seed in ONCE_UNCLAIMED:
            with self.subTest(seed=seed):
                self.assertEqual(RestoreDay(seed).play(SECONDS).violations(), [])

    def test_rising_tokens_where_the_platform_fences(self) -> None:
        self.check(FencedRestoreDay)


if __name__ == "__main__":
    unittest.main()
