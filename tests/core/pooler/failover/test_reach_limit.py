"""Timeout of test connections to databases: follows observed times within its bounds."""

import unittest

from dewledge.core.pooler.failover.connect_timeout import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    ConnectTimeout,
)


class ReachLimitTest(unittest.TestCase):
    def test_timeout_follows_observed_times_within_bounds(self) -> None:
        cases = (
            ("no observation", [], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
            ("nearby databases", [0.001] * 30, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
            ("mixed regions", [0.001, 0.024] * 30, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
            ("remote databases", [0.18, 0.2] * 30, 0.2, 0.28),
            ("slower than the bound", [0.5] * 30, MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        )
        for name, observed, minimum, maximum in cases:
            with self.subTest(name):
                limit = ConnectTimeout()
                for seconds in observed:
                    limit.record_connect_time(seconds)
                self.assertLessEqual(minimum, limit.seconds)
                self.assertLessEqual(limit.seconds, maximum)


if __name__ == "__main__":
    unittest.main()
