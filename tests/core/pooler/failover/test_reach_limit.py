"""How long a connection may take before its database counts as missed."""

import unittest

from dewledge.core.pooler.failover.reach_limit import (
    MAX_TIMEOUT_SECONDS,
    MIN_TIMEOUT_SECONDS,
    ReachLimit,
)


class ReachLimitTest(unittest.TestCase):
    def test_timeout_follows_observed_times_within_bounds(self) -> None:
        cases = (
            ("nothing yet", [], MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
            ("near ones", [0.001] * 30, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
            ("regions mixed", [0.001, 0.024] * 30, MIN_TIMEOUT_SECONDS, MIN_TIMEOUT_SECONDS),
            ("far ones", [0.18, 0.2] * 30, 0.2, 0.28),
            ("very slow ones", [0.5] * 30, MAX_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS),
        )
        for name, observed, least, most in cases:
            with self.subTest(name):
                limit = ReachLimit()
                for seconds in observed:
                    limit.observe(seconds)
                self.assertLessEqual(least, limit.seconds)
                self.assertLessEqual(limit.seconds, most)


if __name__ == "__main__":
    unittest.main()
