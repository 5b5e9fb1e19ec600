"""Throttling of answers to failed logins, against clients that retry at once."""

import unittest

from dewledge.core.pooler.load.failed_login_throttle import (
    ANSWER_DELAY_SECONDS,
    ANSWERS_PER_SECOND,
    MAX_DELAYED_REFUSALS,
    FailedLoginThrottle,
)


class FailedLoginThrottleTest(unittest.TestCase):
    def test_delays_by_number_of_refusals(self) -> None:
        first = int(ANSWERS_PER_SECOND)
        rows: list[tuple[str, int, int, int]] = [
            ("one refusal", 1, 0, 0),
            ("a full bucket", first, 0, 0),
            ("further answers are delayed", first + 50, 50, 0),
            (
                "too many are closed without an answer",
                first + MAX_DELAYED_REFUSALS + 700,
                MAX_DELAYED_REFUSALS,
                700,
            ),
        ]
        for name, refusals, delayed, closed in rows:
            with self.subTest(name):
                throttle = FailedLoginThrottle()
                pauses = [throttle.answer_delay(100.0) for _ in range(refusals)]
                self.assertEqual(pauses.count(ANSWER_DELAY_SECONDS), delayed)
                self.assertEqual(pauses.count(None), closed)
                self.assertEqual(pauses.count(0.0), refusals - delayed - closed)

    def test_answered_refusals_free_places_and_bucket_refills(self) -> None:
        throttle = FailedLoginThrottle()
        for _ in range(int(ANSWERS_PER_SECOND) + MAX_DELAYED_REFUSALS):
            throttle.answer_delay(100.0)
        self.assertIsNone(throttle.answer_delay(100.0))
        throttle.on_delay_ended()
        self.assertEqual(throttle.answer_delay(100.0), ANSWER_DELAY_SECONDS)
        self.assertEqual(throttle.answer_delay(100.2), 0.0)

    def test_retry_rate_of_a_client_is_limited_by_the_delay(self) -> None:
        throttle, now, refusals = FailedLoginThrottle(), 100.0, 0
        while now < 200.0:
            pause = throttle.answer_delay(now)
            refusals += 1
            assert pause is not None
            if pause:
                throttle.on_delay_ended()
            now += pause + 0.001
        self.assertLess(refusals, 100 * (ANSWERS_PER_SECOND + 2))


if __name__ == "__main__":
    unittest.main()
