"""Guards against tokens that are lost, granted twice or granted out of order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.limits import TOKEN_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import (
    REDEEM_TIMEOUT_SECONDS,
    RESERVATION_HORIZON_SECONDS,
    Deferred,
    Granted,
    TokenQueue,
)

RATE = 10.0


def queue_of(size: float = 5.0, tokens: float = 0.0, rate: float = RATE) -> TokenQueue:
    return TokenQueue(TokenBucket(rate, size, tokens, 0.0))


def key(number: int) -> QueueKey:
    return QueueKey("process", number)


class TokenQueueTest(unittest.TestCase):
    def ask(self, queue: TokenQueue, number: int, now: float) -> Granted | Deferred:
        return queue.ask(key(number) if number else None, now, now, 1.0)

    def deferred_answer(self, queue: TokenQueue, number: int, now: float) -> Deferred:
        answer = self.ask(queue, number, now)
        assert isinstance(answer, Deferred)
        return answer

    def test_token_times_follow_the_rate(self) -> None:
        queue = queue_of()
        moments = [self.deferred_answer(queue, number, 0.0).seconds for number in (1, 2, 3)]
        for moment, expected in zip(moments, (0.1, 0.2, 0.3), strict=True):
            self.assertAlmostEqual(moment, expected)

    def test_retry_times_beyond_the_horizon_follow_the_rate(self) -> None:
        queue = queue_of()
        number = 1
        while self.deferred_answer(queue, number, 0.0).is_kept:
            number += 1
        deferred = [self.deferred_answer(queue, number + each, 0.0) for each in range(1, 4)]
        self.assertFalse(any(each.is_kept for each in deferred))
        for earlier, later in zip(deferred, deferred[1:], strict=False):
            self.assertAlmostEqual(later.seconds - earlier.seconds, 1 / RATE)
        self.assertGreater(deferred[0].seconds, RESERVATION_HORIZON_SECONDS)
        self.assertEqual(len(queue), RESERVATION_HORIZON_SECONDS * RATE)

    def test_reserved_token_is_not_granted_to_another_operation(self) -> None:
        queue = queue_of()
        self.deferred_answer(queue, 1, 0.0)
        self.assertIsInstance(self.ask(queue, 2, 0.1), Deferred)
        self.assertIsInstance(self.ask(queue, 1, 0.1), Granted)

    def test_repeated_request_keeps_its_position(self) -> None:
        queue = queue_of()
        self.deferred_answer(queue, 1, 0.0)
        self.assertAlmostEqual(self.deferred_answer(queue, 1, 0.05).seconds, 0.05)
        self.assertEqual(len(queue), 1)

    def test_unredeemed_token_goes_to_the_next_operation(self) -> None:
        queue = queue_of()
        self.deferred_answer(queue, 1, 0.0)
        late = 0.1 + REDEEM_TIMEOUT_SECONDS + 0.01
        self.assertIsInstance(self.ask(queue, 2, late), Granted)
        self.assertEqual(len(queue), 0)

    def test_unredeemed_positions_do_not_delay_later_ones(self) -> None:
        queue = queue_of(size=1.0)
        for number in (1, 2, 3, 4):
            self.deferred_answer(queue, number, 0.0)
        self.assertIsInstance(self.ask(queue, 4, 0.4), Granted)

    def test_smaller_fraction_delays_the_token(self) -> None:
        queue = queue_of()
        self.deferred_answer(queue, 1, 0.0)
        answer = queue.ask(key(1), 0.1, 0.05, 0.5)
        assert isinstance(answer, Deferred)
        self.assertAlmostEqual(answer.seconds, 0.1)


Requests = list[tuple[float, int]]


class RandomRequestsTest(unittest.TestCase):
    """Operations that retry at the promised time get their token then."""

    @given(
        st.floats(1, 300),
        st.floats(1, 100),
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 3)), min_size=1, max_size=80),
    )
    def test_retry_at_promised_time_keeps_arrival_order(
        self, rate: float, size: float, requests: Requests
    ) -> None:
        """Other operations ask in between, without a key if the kind is 3."""
        queue = queue_of(size, 0.0, rate)
        now = 0.0
        reservations: list[tuple[float, int]] = []
        served: list[int] = []
        for number, (pause, kind) in enumerate(requests, start=1):
            now = self.redeem(queue, reservations, served, now, now + pause)
            answer = queue.ask(None if kind == 3 else key(number), now, now, 1.0)
            if isinstance(answer, Deferred) and answer.is_kept:
                reservations.append((now + answer.seconds + 1e-6, number))
            elif isinstance(answer, Granted) and kind != 3:
                self.assertEqual(reservations, [], "granted before an earlier reservation")
        count = len(reservations)
        self.redeem(queue, reservations, served, now, now + 2 * RESERVATION_HORIZON_SECONDS)
        self.assertEqual(reservations, [])
        self.assertGreaterEqual(len(served), count)
        self.assertEqual(served, sorted(served))

    def redeem(
        self,
        queue: TokenQueue,
        reservations: list[tuple[float, int]],
        served: list[int],
        now: float,
        end: float,
    ) -> float:
        while reservations and reservations[0][0] <= end:
            at, number = reservations.pop(0)
            now = max(at, now)
            self.assertIsInstance(queue.ask(key(number), now, now, 1.0), Granted)
            served.append(number)
        return max(end, now)

    @given(
        st.floats(1, 300),
        st.floats(1, 100),
        st.lists(st.tuples(st.floats(0, 0.7), st.integers(0, 20)), min_size=1, max_size=80),
    )
    def test_no_token_is_lost_or_granted_twice(
        self, rate: float, size: float, requests: Requests
    ) -> None:
        """Keys repeat at any time, also after their token was granted or has expired."""
        queue = queue_of(size, 0.0, rate)
        now = 0.0
        granted_at: list[float] = []
        last_granted: dict[int, float] = {}
        for pause, number in requests:
            now += pause
            answer = queue.ask(key(number) if number else None, now, now, 1.0)
            is_again = number > 0 and last_granted.get(number, -9.0) >= now - TOKEN_LIFETIME_SECONDS
            if is_again:
                self.assertEqual(answer, Granted(now - last_granted[number]))
            elif isinstance(answer, Granted):
                granted_at.append(now)
                last_granted[number] = now
            for first, began in enumerate(granted_at):
                max_granted = (now - began) * rate + size + 1e-6
                self.assertLessEqual(len(granted_at) - first, max_granted)
            self.assertLessEqual(len(queue), rate * RESERVATION_HORIZON_SECONDS + size + 1)
        now += RESERVATION_HORIZON_SECONDS + REDEEM_TIMEOUT_SECONDS + size / rate
        queue.ask(key(1000), now, now, 1.0)
        self.assertEqual(len(queue), 0)
        remaining = 0
        while isinstance(queue.ask(None, now, now, 1.0), Granted):
            remaining += 1
        self.assertEqual(remaining, int(size + 1e-9) - 1)


if __name__ == "__main__":
    unittest.main()
