"""Drain rate of a queue and the expected wait derived from it."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.wait_estimate import MAX_DRAIN_AGE_SECONDS, DrainRate


def drained_rate(interval: float, count: int) -> DrainRate:
    """Returns the rate after departures every `interval` seconds from 10.0 on, while others
    wait."""
    rate = DrainRate()
    for index in range(count):
        rate.record_departure(10.0 + index * interval, waiting=5)
    return rate


class DrainRateTest(unittest.TestCase):
    def test_wait_is_proportional_to_statements_ahead(self) -> None:
        rate = drained_rate(0.05, 20)
        now = 10.0 + 19 * 0.05
        for ahead, expected in ((0, 0.05), (9, 0.5)):
            found = rate.expected_wait(ahead, now)
            assert found is not None
            self.assertAlmostEqual(found.seconds, expected)

    def test_time_since_last_departure_is_deducted(self) -> None:
        rate = drained_rate(0.05, 20)
        found = rate.expected_wait(1, 10.0 + 19 * 0.05 + 0.04)
        assert found is not None
        self.assertAlmostEqual(found.seconds, 0.06)

    def test_no_estimate_without_backlog_or_recent_departure(self) -> None:
        self.assertIsNone(DrainRate().expected_wait(0, 10.0))
        self.assertIsNone(drained_rate(0.05, 1).expected_wait(0, 10.0))
        self.assertIsNone(drained_rate(0.05, 5).expected_wait(0, 12.0 + MAX_DRAIN_AGE_SECONDS))
        empty = drained_rate(0.05, 5)
        empty.record_empty()
        self.assertIsNone(empty.expected_wait(0, 10.21))

    def test_interval_of_an_empty_queue_is_not_a_sample(self) -> None:
        rate = drained_rate(0.05, 20)
        rate.record_empty()
        rate.record_departure(20.0, waiting=3)
        found = rate.expected_wait(0, 20.0)
        assert found is not None
        self.assertAlmostEqual(found.seconds, 0.05)

    def test_estimate_follows_a_slower_queue(self) -> None:
        rate = drained_rate(0.01, 50)
        now = 10.49
        for _ in range(10):
            now += 0.2
            rate.record_departure(now, waiting=5)
        found = rate.expected_wait(0, now)
        assert found is not None
        self.assertGreater(found.seconds, 0.14)

    @given(st.lists(st.floats(0, 0.5), min_size=2, max_size=40), st.integers(0, 100))
    def test_estimate_is_within_observed_intervals(
        self, intervals: list[float], ahead: int
    ) -> None:
        rate, now = DrainRate(), 10.0
        for interval in intervals:
            now += interval
            rate.record_departure(now, waiting=1)
        found = rate.expected_wait(ahead, now)
        assert found is not None
        self.assertLessEqual(found.seconds, (ahead + 1) * max(intervals[1:]) + 1e-9)
        self.assertGreaterEqual(found.seconds, (ahead + 1) * min(intervals[1:]) - 1e-9)


if __name__ == "__main__":
    unittest.main()
