"""How a bound is divided: the parts never sum up to more than the whole."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.quota.limits import (
    BUCKET_SHARE,
    FIRST_SHARE,
    RESERVE_SHARE,
    TOKEN_SECONDS,
    QuotaPolicy,
    RateLimit,
)
from dewledge.core.quota.token_bucket import TokenBucket

limits = st.builds(RateLimit, st.floats(0.2, 2000), st.floats(0, 4000))
policies = st.builds(QuotaPolicy, st.floats(1, 30), st.floats(0, 0.5), st.floats(0, 100))


class DivisionTest(unittest.TestCase):
    def test_four_changes_in_a_window_are_allowed_for(self) -> None:
        self.assertLessEqual(BUCKET_SHARE + 4 * FIRST_SHARE + RESERVE_SHARE, 1.0)

    @given(limits, policies, st.integers(1, 900))
    def test_all_parts_together_stay_within_the_bound(
        self, limit: RateLimit, policy: QuotaPolicy, processes: int
    ) -> None:
        reserves = sum(policy.reserve(limit, processes, place) for place in range(processes))
        granted = limit.rate * (policy.window + TOKEN_SECONDS) + policy.bucket_size(limit)
        whole = granted + 4 * policy.first_tokens(limit) + reserves
        least = policy.spare(limit) * BUCKET_SHARE < 1.0
        if policy.spare(limit) > 0 and not least:
            self.assertLessEqual(whole, policy.bound(limit) * (1 + 1e-9))

    def test_the_parts_of_two_callers(self) -> None:
        policy = QuotaPolicy(5.0, 0.1, 20.0)
        for limit, bound, size, reserve in (
            (RateLimit(200, 200), 1340.0, 116.0, 58),
            (RateLimit(2.8, 2.8), 38.48, 9.512, 4),
        ):
            with self.subTest(limit):
                self.assertAlmostEqual(policy.bound(limit), bound)
                self.assertAlmostEqual(policy.bucket_size(limit), size)
                reserves = [policy.reserve(limit, 59, place) for place in range(59)]
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
            given_at.append((now, bucket.take(wanted, now)))
        for first in range(len(given_at)):
            began = given_at[first][0]
            total = 0
            for at, count in given_at[first:]:
                total += count
                self.assertLessEqual(total, (at - began) * rate + size + 1e-6)

    def test_who_is_told_to_come_back_comes_one_after_the_other(self) -> None:
        bucket = TokenBucket(10.0, 5.0, 0.0, 0.0)
        moments = [bucket.next_free(0.0) for _ in range(3)]
        for moment, expected in zip(moments, (0.1, 0.2, 0.3), strict=True):
            self.assertTrue(math.isclose(moment, expected))

    def test_a_lower_limit_holds_from_now_on(self) -> None:
        bucket = TokenBucket(100.0, 50.0, 50.0, 0.0)
        bucket.change(1.0, 3.0, 0.0)
        self.assertEqual(bucket.take(50, 0.0), 3)
        self.assertEqual(bucket.take(50, 2.0), 2)


if __name__ == "__main__":
    unittest.main()
