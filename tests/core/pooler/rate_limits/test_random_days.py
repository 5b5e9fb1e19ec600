"""The bound on what a caller may have run, under faults at any moment."""

import unittest

from tests.core.pooler.rate_limits.random_days import LIMITS, SEEDS, play_day


class RandomDaysTest(unittest.TestCase):
    def test_the_bound_holds(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                network = play_day(seed)
                for caller in LIMITS:
                    self.assertLessEqual(network.worst_share(caller), 1.0)


if __name__ == "__main__":
    unittest.main()
