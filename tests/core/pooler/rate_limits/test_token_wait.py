"""What is held for its token and what is refused at once: a pure table."""

import unittest

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, WaitUntil
from dewledge.core.pooler.rate_limits.kept_tokens import MAX_RESERVATIONS, KeptToken, KeptTokens
from dewledge.core.pooler.rate_limits.retry_times import MIN_RETRY_SECONDS
from dewledge.core.pooler.rate_limits.token_wait import (
    DEFAULT_SERVING_SECONDS,
    HoldTimes,
    hold_or_refuse,
)


class HoldOrRefuseTest(unittest.TestCase):
    def test_each_case(self) -> None:
        over = RefusalCause.OVER_LIMIT
        cases = (
            ("a token at once", 10.0, 11.0, 0.0, WaitUntil(10.0 + MIN_RETRY_SECONDS)),
            ("in time, late for the latency target", 10.0, 12.5, 2.0, WaitUntil(12.0)),
            ("at the last moment", 10.0, 12.0, 2.0, WaitUntil(12.0)),
            ("too late: at once, truly", 10.0, 11.9, 2.0, Refuse(over, 2.0)),
            ("no time left", 10.0, 9.0, 0.0, Refuse(over, MIN_RETRY_SECONDS)),
        )
        for name, now, until, token_in, expected in cases:
            with self.subTest(name):
                self.assertEqual(hold_or_refuse(now, until, token_in), expected)

    def test_what_the_grantor_refuses_is_not_held(self) -> None:
        expected = Refuse(RefusalCause.OVER_LIMIT, 0.3)
        self.assertEqual(hold_or_refuse(10.0, 12.0, 0.3, refuses=True), expected)


class HoldTimesTest(unittest.TestCase):
    def test_the_time_of_serving_is_left(self) -> None:
        times = HoldTimes()
        self.assertAlmostEqual(times.hold_seconds(1.0), 1.0 - DEFAULT_SERVING_SECONDS)
        for _ in range(200):
            times.record_served(0.6)
        self.assertAlmostEqual(times.hold_seconds(1.0), 0.4, delta=0.01)
        self.assertEqual(times.hold_seconds(0.5), 0.0)

    def test_before_a_standing_queue_the_target_counts(self) -> None:
        times = HoldTimes()
        self.assertAlmostEqual(times.max_wait_seconds(0.8, 3.0), 0.8 - DEFAULT_SERVING_SECONDS)
        self.assertAlmostEqual(times.max_wait_seconds(3.0, 1.0), 1.0 - DEFAULT_SERVING_SECONDS)
        self.assertEqual(times.max_wait_seconds(0.1, 3.0), 0.0)


class KeptTokensTest(unittest.TestCase):
    def setUp(self) -> None:
        self.kept = KeptTokens()
        for number, return_at in ((1, 10.0), (2, 10.3), (3, 12.0)):
            self.kept.keep(KeptToken("north", number, return_at))

    def number_at(self, now: float, caller: str = "north") -> int:
        redeemed = self.kept.redeem(caller, now)
        return 0 if redeemed is None else redeemed.number

    def test_who_comes_as_told_has_the_token_of_that_moment(self) -> None:
        self.assertEqual([self.number_at(at) for at in (10.0, 10.3, 12.0)], [1, 2, 3])

    def test_each_is_redeemed_once_in_the_order_of_their_moments_also_before_them(self) -> None:
        self.assertEqual([self.number_at(9.0) for _ in range(4)], [1, 2, 3, 0])

    def test_one_that_is_refused_again_keeps_its_position_before_later_ones(self) -> None:
        self.assertEqual(self.number_at(9.9), 1)
        self.kept.keep(KeptToken("north", 1, 10.1))
        self.assertEqual(self.number_at(10.1), 1)

    def test_another_caller_has_none_of_them(self) -> None:
        self.assertEqual(self.number_at(10.0, "south"), 0)

    def test_who_comes_too_late_stands_last(self) -> None:
        self.assertEqual(self.number_at(11.0), 3)
        self.assertEqual(self.number_at(11.0), 0)

    def test_they_are_bounded(self) -> None:
        for number in range(4, 4 + 2 * MAX_RESERVATIONS):
            self.kept.keep(KeptToken("north", number, 20.0))
        found = [self.number_at(20.0) for _ in range(3 * MAX_RESERVATIONS)]
        self.assertEqual(sum(number > 0 for number in found), MAX_RESERVATIONS)


if __name__ == "__main__":
    unittest.main()
