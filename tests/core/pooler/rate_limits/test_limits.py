"""Guards against parts of a limit that sum up to more than its bound."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.limits import (
    BUCKET_RATIO,
    MIN_BUCKET_TOKENS,
    TOKEN_LIFETIME_SECONDS,
    QuotaPolicy,
    RateLimit,
)
from dewledge.core.pooler.rate_limits.slots import CANDIDATES_PER_SLOT
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket

limits = st.builds(RateLimit, st.floats(0.2, 2000), st.floats(0, 4000))
policies = st.builds(QuotaPolicy, st.floats(1, 30), st.floats(0, 0.5), st.floats(0, 100))


class LimitDivisionTest(unittest.TestCase):
    @given(limits, policies, st.integers(1, 900), st.lists(st.floats(0, 1), min_size=5, max_size=5))
    def test_sum_of_all_parts_stays_within_the_bound(
        self, limit: RateLimit, policy: QuotaPolicy, processes: int, fractions: list[float]
    ) -> None:
        """The votes may be divided between any number of candidates."""
        reserves = sum(policy.reserve(limit, processes, rank) for rank in range(processes))
        total_fraction = max(sum(fractions), 1.0)
        buckets = sum(
            policy.bucket_size(limit, fraction / total_fraction) for fraction in fractions
        )
        buckets = max(
            buckets, policy.bucket_size(limit) + (CANDIDATES_PER_SLOT - 1) * MIN_BUCKET_TOKENS
        )
        total = limit.rate * (policy.window + TOKEN_LIFETIME_SECONDS) + buckets + reserves
        has_min_bucket = (
            policy.headroom(limit) * BUCKET_RATIO < CANDIDATES_PER_SLOT * MIN_BUCKET_TOKENS
        )
        if not has_min_bucket:
            self.assertLessEqual(total, policy.bound(limit) * (1 + 1e-9))

    @given(limits)
    def test_bucket_holds_a_burst_with_normal_overshoot_and_slack(self, limit: RateLimit) -> None:
        policy = QuotaPolicy(5.0, 0.1, 20.0)
        burst = min(limit.burst, limit.rate)
        self.assertGreaterEqual(policy.bucket_size(limit), burst)

    def test_parts_of_two_example_limits(self) -> None:
        policy = QuotaPolicy(5.0, 0.1, 20.0)
        for limit, bound, size, reserve in (
            (RateLimit(200, 200), 1340.0, 228.0, 58),
            (RateLimit(2.8, 2.8), 38.48, 15.024, 4),
        ):
            with self.subTest(limit):
                self.assertAlmostEqual(policy.bound(limit), bound)
                self.assertAlmostEqual(policy.bucket_size(limit), size)
                reserves = [policy.reserve(limit, 59, rank) for rank in range(59)]
                self.assertEqual(sum(reserves), reserve)


class TokenBucketTest(unittest.TestCase):
    @given(
        st.floats(0.5, 500),
        st.floats(1, 300),
        st.lists(st.tuples(st.floats(0, 2), st.integers(1, 50)), max_size=60),
    )
    def test_no_time_span_exceeds_rate_and_size(
        self, rate: float, size: float, requests: list[tuple[float, int]]
    ) -> None:
        bucket = TokenBucket(rate, size, size, 0.0)
        now = 0.0
        granted_at: list[tuple[float, int]] = []
        for pause, wanted in requests:
            now += pause
            granted_at.append((now, bucket.acquire(wanted, now)))
        for first in range(len(granted_at)):
            began = granted_at[first][0]
            total = 0
            for at, count in granted_at[first:]:
                total += count
                self.assertLessEqual(total, (at - began) * rate + size + 1e-6)

    def test_lowered_limit_applies_at_once(self) -> None:
        bucket = TokenBucket(100.0, 50.0, 50.0, 0.0)
        bucket.set_rate_and_size(1.0, 3.0, 0.0)
        self.assertEqual(bucket.acquire(50, 0.0), 3)
        self.assertEqual(bucket.acquire(50, 2.0), 2)


if __name__ == "__main__":
    unittest.main()
