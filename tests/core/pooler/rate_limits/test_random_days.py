"""Guards the bound on admitted operations under random faults."""

import unittest

from tests.core.pooler.rate_limits.random_faults import LIMITS, SEED_COUNT, run_random_faults


class RandomFaultsTest(unittest.TestCase):
    def test_bound_holds_under_random_faults(self) -> None:
        for seed in range(SEED_COUNT):
            with self.subTest(seed=seed):
                network = run_random_faults(seed)
                for caller in LIMITS:
                    self.assertLessEqual(network.max_bound_ratio(caller), 1.0)


if __name__ == "__main__":
    unittest.main()
