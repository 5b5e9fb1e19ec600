"""Guards the bound on admitted operations under random faults, with several slots."""

import unittest
from unittest import mock

from dewledge.core.pooler.rate_limits import slots
from tests.core.pooler.rate_limits.random_faults import LIMITS, SEED_COUNT, run_random_faults


class RandomFaultsInSlotsTest(unittest.TestCase):
    def test_bound_holds_with_two_of_many_slots_per_voter(self) -> None:
        """About six of 24 processes vote in each of eight slots."""
        with mock.patch.object(slots, "MAX_PROCESSES_PER_SLOT", 3):
            for seed in range(SEED_COUNT):
                with self.subTest(seed=seed):
                    network = run_random_faults(seed, min_processes=13)
                    for caller in LIMITS:
                        self.assertLessEqual(network.max_bound_ratio(caller), 1.0)


if __name__ == "__main__":
    unittest.main()
