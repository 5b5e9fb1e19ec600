"""Guards the decision between holding and refusing an operation, and the reservations."""

import unittest

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, WaitUntil
from dewledge.core.pooler.rate_limits.retry_times import MIN_RETRY_SECONDS
from dewledge.core.pooler.rate_limits.token_reservations import (
    MAX_RESERVATIONS,
    KeptToken,
    TokenReservations,
)
from dewledge.core.pooler.rate_limits.token_wait import (
    DEFAULT_SERVING_SECONDS,
    HoldTimes,
    hold_or_refuse,
)


class HoldOrRefuseTest(unittest.TestCase):
    def test_hold_or_refuse_by_remaining_time(self) -> None:
        over = RefusalCause.OVER_LIMIT
        cases = (
            ("token available at once", 10.0, 11.0, 0.0, WaitUntil(10.0 + MIN_RETRY_SECONDS)),
            ("within the timeout, beyond the latency target", 10.0, 12.5, 2.0, WaitUntil(12.0)),
            ("at the last possible time", 10.0, 12.0, 2.0, WaitUntil(12.0)),
            ("too late: refused at once, with the true delay", 10.0, 11.9, 2.0, Refuse(over, 2.0)),
            ("no time left", 10.0, 9.0, 0.0, Refuse(over, MIN_RETRY_SECONDS)),
        )
        for name, now, until, token_in, expected in cases:
            with self.subTest(name):
                self.assertEqual(hold_or_refuse(now, until, token_in), expected)

    def test_operation_refused_by_the_grantor_is_not_held(self) -> None:
        expected = Refuse(RefusalCause.OVER_LIMIT, 0.3)
        self.assertEqual(hold_or_refuse(10.0, 12.0, 0.3, refuses=True), expected)


class HoldTimesTest(unittest.TestCase):
    def test_hold_time_leaves_the_serving_time(self) -> None:
        times = HoldTimes()
        self.assertAlmostEqual(times.hold_seconds(1.0), 1.0 - DEFAULT_SERVING_SECONDS)
        for _ in range(200):
            times.record_served(0.6)
        self.assertAlmostEqual(times.hold_seconds(1.0), 0.4, delta=0.01)
        self.assertEqual(times.hold_seconds(0.5), 0.0)

    def test_max_wait_respects_the_latency_target(self) -> None:
        times = HoldTimes()
        self.assertAlmostEqual(times.max_wait_seconds(0.8, 3.0), 0.8 - DEFAULT_SERVING_SECONDS)
        self.assertAlmostEqual(times.max_wait_seconds(3.0, 1.0), 1.0 - DEFAULT_SERVING_SECONDS)
        self.assertEqual(times.max_wait_seconds(0.1, 3.0), 0.0)


class TokenReservationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reservations = TokenReservations()
        for number, return_at in ((1, 10.0), (2, 10.3), (3, 12.0)):
            self.reservations.add(KeptToken("north", number, return_at))

    def number_at(self, now: float, caller: str = "north") -> int:
        redeemed = self.reservations.redeem(caller, now)
        return 0 if redeemed is None else redeemed.number

    def test_retry_at_promised_time_redeems_its_token(self) -> None:
        self.assertEqual([self.number_at(at) for at in (10.0, 10.3, 12.0)], [1, 2, 3])

    def test_reservations_are_redeemed_once_in_time_order(self) -> None:
        self.assertEqual([self.number_at(9.0) for _ in range(4)], [1, 2, 3, 0])

    def test_renewed_reservation_keeps_its_order(self) -> None:
        self.assertEqual(self.number_at(9.9), 1)
        self.reservations.add(KeptToken("north", 1, 10.1))
        self.assertEqual(self.number_at(10.1), 1)

    def test_reservations_of_other_callers_are_not_redeemed(self) -> None:
        self.assertEqual(self.number_at(10.0, "south"), 0)

    def test_expired_reservations_are_dropped(self) -> None:
        self.assertEqual(self.number_at(11.0), 3)
        self.assertEqual(self.number_at(11.0), 0)

    def test_number_of_reservations_is_bounded(self) -> None:
        for number in range(4, 4 + 2 * MAX_RESERVATIONS):
            self.reservations.add(KeptToken("north", number, 20.0))
        found = [self.number_at(20.0) for _ in range(3 * MAX_RESERVATIONS)]
        self.assertEqual(sum(number > 0 for number in found), MAX_RESERVATIONS)


if __name__ == "__main__":
    unittest.main()
