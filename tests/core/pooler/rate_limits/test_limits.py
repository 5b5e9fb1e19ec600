"""How a bound is divided: the parts never sum up to more than the whole."""

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


class DivisionTest(unittest.TestCase):
    @given(limits, policies, st.integers(1, 900), st.lists(st.floats(0, 1), min_size=5, max_size=5))
    def test_all_parts_together_stay_within_the_bound(
        self, limit: RateLimit, policy: QuotaPolicy, processes: int, shares: list[float]
    ) -> None:
        """However the votes are divided between the candidates, one or all of them."""
        reserves = sum(policy.reserve(limit, processes, rank) for rank in range(processes))
        whole_share = max(sum(shares), 1.0)
        buckets = sum(policy.bucket_size(limit, share / whole_share) for share in shares)
        buckets = max(
            buckets, policy.bucket_size(limit) + (CANDIDATES_PER_SLOT - 1) * MIN_BUCKET_TOKENS
        )
        whole = limit.rate * (policy.window + TOKEN_LIFETIME_SECONDS) + buckets + reserves
        least = policy.headroom(limit) * BUCKET_RATIO < CANDIDATES_PER_SLOT * MIN_BUCKET_TOKENS
        if not least:
            self.assertLessEqual(whole, policy.bound(limit) * (1 + 1e-9))

    @given(limits)
    def test_a_whole_burst_fits_in_a_bucket_with_the_usual_overshoot_and_slack(
        self, limit: RateLimit
    ) -> None:
        policy = QuotaPolicy(5.0, 0.1, 20.0)
        burst = min(limit.burst, limit.rate)
        self.assertGreaterEqual(policy.bucket_size(limit), burst)

    def test_the_parts_of_two_callers(self) -> None:
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
    def test_no_span_gives_more_than_its_rate_and_the_size(
        self, rate: float, size: float, asked: list[tuple[float, int]]
    ) -> None:
        bucket = TokenBucket(rate, size, size, 0.0)
        now = 0.0
        given_at: list[tuple[float, int]] = []
        for pause, wanted in asked:
            now += pause
            given_at.append((now, bucket.acquire(wanted, now)))
        for first in range(len(given_at)):
            began = given_at[first][0]
            total = 0
            for at, count in given_at[first:]:
                total += count
                self.assertLessEqual(total, (at - began) * rate + size + 1e-6)

    def test_a_lower_limit_holds_from_now_on(self) -> None:
        bucket = TokenBucket(100.0, 50.0, 50.0, 0.0)
        bucket.change(1.0, 3.0, 0.0)
        self.assertEqual(bucket.acquire(50, 0.0), 3)
        self.assertEqual(bucket.acquire(50, 2.0), 2)


if __name__ == "__main__":
    unittest.main()
