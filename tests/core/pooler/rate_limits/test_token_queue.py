"""The queue before a caller's tokens: who gets which, and that none is lost or given twice."""

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


class LineTest(unittest.TestCase):
    def ask(self, queue: TokenQueue, number: int, now: float) -> Granted | Deferred:
        return queue.ask(key(number) if number else None, now, now, 1.0)

    def promised(self, queue: TokenQueue, number: int, now: float) -> Deferred:
        found = self.ask(queue, number, now)
        assert isinstance(found, Deferred)
        return found

    def test_moments_come_one_after_the_other(self) -> None:
        queue = queue_of()
        moments = [self.promised(queue, number, 0.0).seconds for number in (1, 2, 3)]
        for moment, expected in zip(moments, (0.1, 0.2, 0.3), strict=True):
            self.assertAlmostEqual(moment, expected)

    def test_moments_beyond_the_queue_are_spread_too(self) -> None:
        queue = queue_of()
        number = 1
        while self.promised(queue, number, 0.0).is_kept:
            number += 1
        told = [self.promised(queue, number + each, 0.0) for each in range(1, 4)]
        self.assertFalse(any(each.is_kept for each in told))
        for earlier, later in zip(told, told[1:], strict=False):
            self.assertAlmostEqual(later.seconds - earlier.seconds, 1 / RATE)
        self.assertGreater(told[0].seconds, RESERVATION_HORIZON_SECONDS)
        self.assertEqual(len(queue), RESERVATION_HORIZON_SECONDS * RATE)

    def test_who_asks_first_while_a_token_is_kept_for_another_does_not_get_it(self) -> None:
        queue = queue_of()
        self.promised(queue, 1, 0.0)
        self.assertIsInstance(self.ask(queue, 2, 0.1), Deferred)
        self.assertIsInstance(self.ask(queue, 1, 0.1), Granted)

    def test_a_lost_answer_makes_no_second_position(self) -> None:
        queue = queue_of()
        self.promised(queue, 1, 0.0)
        self.assertAlmostEqual(self.promised(queue, 1, 0.05).seconds, 0.05)
        self.assertEqual(len(queue), 1)

    def test_what_is_not_claimed_goes_to_the_next(self) -> None:
        queue = queue_of()
        self.promised(queue, 1, 0.0)
        late = 0.1 + REDEEM_TIMEOUT_SECONDS + 0.01
        self.assertIsInstance(self.ask(queue, 2, late), Granted)
        self.assertEqual(len(queue), 0)

    def test_those_before_who_do_not_come_delay_nobody(self) -> None:
        queue = queue_of(size=1.0)
        for number in (1, 2, 3, 4):
            self.promised(queue, number, 0.0)
        self.assertIsInstance(self.ask(queue, 4, 0.4), Granted)

    def test_with_a_smaller_share_the_moment_moves(self) -> None:
        queue = queue_of()
        self.promised(queue, 1, 0.0)
        found = queue.ask(key(1), 0.1, 0.05, 0.5)
        assert isinstance(found, Deferred)
        self.assertAlmostEqual(found.seconds, 0.1)


PendingQuestion = list[tuple[float, int]]


class RandomLineTest(unittest.TestCase):
    """A caller told when to come back, that comes back then, is admitted then."""

    @given(
        st.floats(1, 300),
        st.floats(1, 100),
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(0, 3)), min_size=1, max_size=80),
    )
    def test_who_comes_back_as_told_is_served_in_the_order_of_arrival(
        self, rate: float, size: float, asked: PendingQuestion
    ) -> None:
        """Whoever else asks meanwhile, with (0 to 2) or without (3) a key."""
        queue = queue_of(size, 0.0, rate)
        now = 0.0
        due: list[tuple[float, int]] = []
        served: list[int] = []
        for number, (pause, kind) in enumerate(asked, start=1):
            now = self.come_back(queue, due, served, now, now + pause)
            found = queue.ask(None if kind == 3 else key(number), now, now, 1.0)
            if isinstance(found, Deferred) and found.is_kept:
                due.append((now + found.seconds + 1e-6, number))
            elif isinstance(found, Granted) and kind != 3:
                self.assertEqual(due, [], "passed one who stands before it")
        count = len(due)
        self.come_back(queue, due, served, now, now + 2 * RESERVATION_HORIZON_SECONDS)
        self.assertEqual(due, [])
        self.assertGreaterEqual(len(served), count)
        self.assertEqual(served, sorted(served))

    def come_back(
        self,
        queue: TokenQueue,
        due: list[tuple[float, int]],
        served: list[int],
        now: float,
        end: float,
    ) -> float:
        while due and due[0][0] <= end:
            at, number = due.pop(0)
            now = max(at, now)
            self.assertIsInstance(queue.ask(key(number), now, now, 1.0), Granted)
            served.append(number)
        return max(end, now)

    @given(
        st.floats(1, 300),
        st.floats(1, 100),
        st.lists(st.tuples(st.floats(0, 0.7), st.integers(0, 20)), min_size=1, max_size=80),
    )
    def test_no_token_is_lost_or_given_twice(
        self, rate: float, size: float, asked: PendingQuestion
    ) -> None:
        """Keys come back at any moment, also after they were given or left."""
        queue = queue_of(size, 0.0, rate)
        now = 0.0
        given_at: list[float] = []
        last_given: dict[int, float] = {}
        for pause, number in asked:
            now += pause
            found = queue.ask(key(number) if number else None, now, now, 1.0)
            is_again = number > 0 and last_given.get(number, -9.0) >= now - TOKEN_LIFETIME_SECONDS
            if is_again:
                self.assertEqual(found, Granted(now - last_given[number]))
            elif isinstance(found, Granted):
                given_at.append(now)
                last_given[number] = now
            for first, began in enumerate(given_at):
                most = (now - began) * rate + size + 1e-6
                self.assertLessEqual(len(given_at) - first, most)
            self.assertLessEqual(len(queue), rate * RESERVATION_HORIZON_SECONDS + size + 1)
        now += RESERVATION_HORIZON_SECONDS + REDEEM_TIMEOUT_SECONDS + size / rate
        queue.ask(key(1000), now, now, 1.0)
        self.assertEqual(len(queue), 0)
        left = 0
        while isinstance(queue.ask(None, now, now, 1.0), Granted):
            left += 1
        self.assertEqual(left, int(size + 1e-9) - 1)


if __name__ == "__main__":
    unittest.main()
