"""The bound on what a caller may have run, under faults, where callers are divided over slots."""

import unittest
from unittest import mock

from dewledge.core.pooler.rate_limits import slots
from tests.core.pooler.rate_limits.random_days import LIMITS, SEEDS, play_day


class RandomDaysOfSlotsTest(unittest.TestCase):
    def test_the_bound_holds_where_each_process_votes_in_two_of_many_slots(self) -> None:
        """Of 24 processes in eight slots some six vote in each, as 53 of 850 do."""
        with mock.patch.object(slots, "MAX_PROCESSES_PER_SLOT", 3):
            for seed in range(SEEDS):
                with self.subTest(seed=seed):
                    network = play_day(seed, fewest=13)
                    for caller in LIMITS:
                        self.assertLessEqual(network.worst_share(caller), 1.0)


if __name__ == "__main__":
    unittest.main()
