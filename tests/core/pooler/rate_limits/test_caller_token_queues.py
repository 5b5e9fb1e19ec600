"""A caller that asks for more than its limit: what is refused is the least urgent of what it asks.

Each pattern names the load that it answers; the urgent ones are every `URGENT_EVERY`th operation.
"""

import math
import unittest
from collections.abc import Callable, Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.caller_token_queues import LOWEST_URGENCY, CallerTokenQueues
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.recent_demand import RecentDemand
from dewledge.core.pooler.rate_limits.reserved_bucket import ReservedBucket
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Deferred, Granted, TokenQueue
from tests.core.pooler.rate_limits.simulated_clients import Crowd, Operation, steady

RATE = 20.0
SIZE = 15.0
URGENT, OTHERS = 0, 2
URGENT_EVERY = 7
SETTLED = 5.0
"""By then it is known how much of the demand is urgent."""

Urgency = Callable[[int], int]


class ByNumber:
    """The queues of one caller as one queue, the urgency by the operation's number."""

    def __init__(self, bucket: TokenBucket, urgency: Urgency) -> None:
        self._queues = CallerTokenQueues(bucket)
        self._urgency = urgency

    def ask(
        self, key: QueueKey, now: float, filled_to: float, share: float, bears: float
    ) -> Granted | Deferred:
        return self._queues.ask(self._urgency(key.number), key, now, filled_to, share, bears)


def urgent_every(number: int) -> int:
    return URGENT if number % URGENT_EVERY == 0 else OTHERS


def all_alike(_number: int) -> int:
    return OTHERS


def played(
    arrivals: Sequence[float], urgency: Urgency, heeds: bool = False, tokens: float = 0.0
) -> Crowd:
    crowd = Crowd(RATE, SIZE, heeds)
    crowd.queue = ByNumber(TokenBucket(RATE, SIZE, tokens, 0.0), urgency)  # type: ignore[assignment]
    crowd.play(arrivals)
    return crowd


def urgent_ones(crowd: Crowd, since: float) -> list[Operation]:
    return [
        each
        for each in crowd.operations
        if each.arrived >= since and each.number % URGENT_EVERY == 0
    ]


def waited(operation: Operation) -> float:
    """Returns the seconds from its arrival to its token."""
    return math.inf if operation.given_at is None else operation.given_at - operation.arrived


def served(operations: Sequence[Operation]) -> float:
    return sum(each.given_at is not None for each in operations) / len(operations)


class BeyondTheLimitTest(unittest.TestCase):
    def test_what_is_urgent_is_served_at_once(self) -> None:
        for pressure in (1.15, 1.5, 3.0, 4.7):
            for heeds in (False, True):
                with self.subTest(pressure=pressure, heeds=heeds):
                    arrivals = steady(pressure * RATE, 0.0, 20.0)
                    crowd = played(arrivals, urgent_every, heeds)
                    urgent = urgent_ones(crowd, SETTLED)
                    self.assertEqual(served(urgent), 1.0)
                    self.assertLessEqual(max(waited(each) for each in urgent), 0.1)

    def test_without_urgencies_it_is_refused_as_often_as_all(self) -> None:
        """So the order by urgency is what serves it."""
        crowd = played(steady(3 * RATE, 0.0, 20.0), all_alike)
        self.assertLess(served(urgent_ones(crowd, SETTLED)), 0.5)

    def test_after_an_outage_what_is_urgent_comes_first(self) -> None:
        """Buckets begin empty, and all that was held up comes within a fifth of a second."""
        arrivals = [0.2 * number / 70 for number in range(70)]
        urgent = urgent_ones(played(arrivals, urgent_every), 0.0)
        alike = urgent_ones(played(arrivals, all_alike), 0.0)
        self.assertLessEqual(max(waited(each) for each in urgent), 0.55)
        self.assertGreater(max(waited(each) for each in alike), 1.0)

    def test_the_others_have_the_rest(self) -> None:
        for pressure in (1.15, 1.5, 3.0):
            with self.subTest(pressure=pressure):
                crowd = played(steady(pressure * RATE, 0.0, 20.0), urgent_every)
                given = crowd.given_between(SETTLED, 20.0)
                self.assertGreaterEqual(given, 0.95 * RATE * 15.0)

    def test_a_moment_that_is_told_holds_beside_urgent_ones(self) -> None:
        for pressure in (1.15, 1.5, 3.0):
            with self.subTest(pressure=pressure):
                crowd = played(steady(pressure * RATE, 0.0, 20.0), urgent_every, heeds=True)
                returned = [each for each in crowd.operations if each.returned]
                self.assertGreater(len(returned), 20)
                self.assertEqual([each for each in returned if each.refused_again], [])

    def test_little_is_left_over_when_a_wave_of_demand_ends(self) -> None:
        """A large caller, a third of its demand urgent; its bucket is full before each wave."""

        def every_third(number: int) -> int:
            return OTHERS if number % 3 else URGENT

        waves = [at for begin in (0.0, 8.0) for at in steady(600.0, begin, begin + 4.0)]
        served: dict[str, int] = {}
        for name, urgency in (("by urgency", every_third), ("alike", all_alike)):
            crowd = Crowd(200.0, 228.0, heeds=False)
            queues = ByNumber(TokenBucket(200.0, 228.0, 228.0, 0.0), urgency)
            crowd.queue = queues  # type: ignore[assignment]
            crowd.play(waves)
            served[name] = sum(each.given_at is not None for each in crowd.operations)
        # With a second of the urgent demand set aside it was 1.09.
        self.assertGreater(served["by urgency"], 1.12 * served["alike"])

    def test_urgent_demand_that_ends_leaves_the_whole_limit(self) -> None:
        def until_ten(number: int) -> int:
            return URGENT if number <= int(10.0 * 3 * RATE) and number % 2 else OTHERS

        crowd = played(steady(3 * RATE, 0.0, 30.0), until_ten)
        self.assertGreaterEqual(crowd.given_between(20.0, 30.0), 0.95 * RATE * 10.0)


class LinesTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 0.3), st.integers(1, 12)), max_size=60),
        st.integers(0, 9),
        st.floats(0, SIZE),
    )
    def test_one_urgency_is_one_queue(
        self, asked: list[tuple[float, int]], urgency: int, tokens: float
    ) -> None:
        queues = CallerTokenQueues(TokenBucket(RATE, SIZE, tokens, 0.0))
        queue = TokenQueue(TokenBucket(RATE, SIZE, tokens, 0.0))
        now = 0.0
        for pause, number in asked:
            now += pause
            key = QueueKey("process", number)
            found = queues.ask(urgency, key, now, now, 1.0, 0.5)
            self.assertEqual(found, queue.ask(key, now, now, 1.0, 0.5))
        self.assertEqual(len(queues), len(queue))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(-3, 20)), max_size=120),
        st.floats(1, 40),
        st.floats(0.5, 40),
        st.floats(0.05, 1.0),
    )
    def test_no_more_is_given_than_the_bucket_has(
        self, asked: list[tuple[float, int]], rate: float, size: float, share: float
    ) -> None:
        """Whatever is asked: the bound on a caller rests on its bucket alone."""
        queues = CallerTokenQueues(TokenBucket(rate, size, size, 0.0))
        now, given_count = 0.0, 0
        for number, (pause, urgency) in enumerate(asked):
            now += pause
            key = QueueKey("process", number)
            found = queues.ask(urgency, key, now, now * share, share, 0.5)
            given_count += isinstance(found, Granted)
            if isinstance(found, Deferred):
                self.assertGreater(found.seconds, 0.0)
            self.assertLessEqual(given_count, size + now * share * rate + 1e-6)

    def test_a_bucket_of_one_token_serves_both(self) -> None:
        """The share of a grantor with few votes."""
        queues = CallerTokenQueues(TokenBucket(2.0, 1.0, 1.0, 0.0))
        for number, urgency in enumerate((URGENT, OTHERS, URGENT, OTHERS)):
            found = queues.ask(urgency, QueueKey("p", number), number, number, 1.0, 0.5)
            self.assertIsInstance(found, Granted)

    def test_queues_are_bounded(self) -> None:
        queues = CallerTokenQueues(TokenBucket(RATE, SIZE, SIZE, 0.0))
        for urgency in range(-50, 1000):
            queues.ask(urgency, QueueKey("p", urgency), 0.0, 0.0, 1.0, 0.5)
        self.assertLessEqual(len(queues._queues), LOWEST_URGENCY + 1)


class ReserveTest(unittest.TestCase):
    def test_what_is_left_of_a_bucket(self) -> None:
        for name, tokens, waiting, aside, size, holds in (
            ("nothing set aside", 5.0, 0, 0.0, 15.0, 5),
            ("forty a second: four, and their root", 15.0, 0, 40.0, 9.0, 9),
            ("one waits, and ten come a second", 15.0, 1, 10.0, 12.0, 12),
            ("more than the bucket: one is left", 15.0, 2, 1000.0, 1.0, 1),
            ("an empty one", 0.0, 0, 40.0, 9.0, 0),
        ):
            with self.subTest(name):
                bucket = ReservedBucket(TokenBucket(RATE, SIZE, tokens, 0.0))
                bucket.set_reserve(waiting, aside)
                self.assertAlmostEqual(bucket.size, size)
                found = sum(bucket.holds(count, 0.0) for count in range(1, 16))
                self.assertEqual(found, holds)

    def test_moments_are_reckoned_without_what_the_more_urgent_take(self) -> None:
        bucket = ReservedBucket(TokenBucket(RATE, SIZE, 6.0, 0.0))
        bucket.set_reserve(4, 4.0)
        needed = 4 + 4 + 0.4 + math.sqrt(0.4) - 6.0
        self.assertAlmostEqual(bucket.rate, 16.0)
        self.assertAlmostEqual(bucket.seconds_until(4, 0.0), needed / 16.0)


class DemandTest(unittest.TestCase):
    def test_a_steady_rate_is_found_and_forgotten(self) -> None:
        demand = RecentDemand()
        self.assertEqual(demand.per_second(0.0), 0.0)
        for number in range(200):
            demand.record(number / 10)
        self.assertAlmostEqual(demand.per_second(20.0), 10.0, delta=0.5)
        self.assertLess(demand.per_second(30.0), 0.4)


if __name__ == "__main__":
    unittest.main()
