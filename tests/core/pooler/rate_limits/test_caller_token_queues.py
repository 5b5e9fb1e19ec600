"""Guards against refusing urgent operations of a caller over its limit before less urgent ones."""

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
from tests.core.pooler.rate_limits.simulated_clients import (
    Operation,
    SimulatedClients,
    steady_arrivals,
)

RATE = 20.0
SIZE = 15.0
URGENT, OTHERS = 0, 2
URGENT_EVERY = 7
"""Every seventh operation is urgent, by its number."""
SETTLED = 5.0
"""Seconds after which the demand of urgent operations is known."""

Urgency = Callable[[int], int]


class QueuesByOperationNumber:
    """Wraps a caller's queues as one, with the urgency taken from the operation's number."""

    def __init__(self, bucket: TokenBucket, urgency: Urgency) -> None:
        self._queues = CallerTokenQueues(bucket)
        self._urgency = urgency

    def ask(
        self, key: QueueKey, now: float, bucket_time: float, fraction: float, max_wait: float
    ) -> Granted | Deferred:
        return self._queues.ask(
            self._urgency(key.number), key, now, bucket_time, fraction, max_wait
        )


def urgent_every(number: int) -> int:
    return URGENT if number % URGENT_EVERY == 0 else OTHERS


def equal_urgency(_number: int) -> int:
    return OTHERS


def run_clients(
    arrivals: Sequence[float], urgency: Urgency, obeys: bool = False, tokens: float = 0.0
) -> SimulatedClients:
    clients = SimulatedClients(RATE, SIZE, obeys)
    clients.queue = QueuesByOperationNumber(TokenBucket(RATE, SIZE, tokens, 0.0), urgency)  # type: ignore[assignment]
    clients.run(arrivals)
    return clients


def urgent_operations(clients: SimulatedClients, since: float) -> list[Operation]:
    return [
        each
        for each in clients.operations
        if each.arrived >= since and each.number % URGENT_EVERY == 0
    ]


def wait_seconds(operation: Operation) -> float:
    """Returns the seconds from the operation's arrival to its token."""
    return math.inf if operation.granted_at is None else operation.granted_at - operation.arrived


def served_ratio(operations: Sequence[Operation]) -> float:
    return sum(each.granted_at is not None for each in operations) / len(operations)


class OverLimitTest(unittest.TestCase):
    def test_urgent_operations_are_served_at_once(self) -> None:
        for pressure in (1.15, 1.5, 3.0, 4.7):
            for obeys in (False, True):
                with self.subTest(pressure=pressure, obeys=obeys):
                    arrivals = steady_arrivals(pressure * RATE, 0.0, 20.0)
                    clients = run_clients(arrivals, urgent_every, obeys)
                    urgent = urgent_operations(clients, SETTLED)
                    self.assertEqual(served_ratio(urgent), 1.0)
                    self.assertLessEqual(max(wait_seconds(each) for each in urgent), 0.1)

    def test_equal_urgency_gives_no_preference(self) -> None:
        """Shows that the preference in the other tests comes from the urgency."""
        clients = run_clients(steady_arrivals(3 * RATE, 0.0, 20.0), equal_urgency)
        self.assertLess(served_ratio(urgent_operations(clients, SETTLED)), 0.5)

    def test_urgent_operations_go_first_after_an_outage(self) -> None:
        """The bucket is empty, and all delayed operations arrive within 0.2 s."""
        arrivals = [0.2 * number / 70 for number in range(70)]
        urgent = urgent_operations(run_clients(arrivals, urgent_every), 0.0)
        alike = urgent_operations(run_clients(arrivals, equal_urgency), 0.0)
        self.assertLessEqual(max(wait_seconds(each) for each in urgent), 0.55)
        self.assertGreater(max(wait_seconds(each) for each in alike), 1.0)

    def test_less_urgent_operations_use_the_remaining_tokens(self) -> None:
        for pressure in (1.15, 1.5, 3.0):
            with self.subTest(pressure=pressure):
                clients = run_clients(steady_arrivals(pressure * RATE, 0.0, 20.0), urgent_every)
                granted = clients.granted_between(SETTLED, 20.0)
                self.assertGreaterEqual(granted, 0.95 * RATE * 15.0)

    def test_promised_retry_time_holds_with_urgent_demand(self) -> None:
        for pressure in (1.15, 1.5, 3.0):
            with self.subTest(pressure=pressure):
                clients = run_clients(
                    steady_arrivals(pressure * RATE, 0.0, 20.0), urgent_every, obeys=True
                )
                retried = [each for each in clients.operations if each.on_time_retries]
                self.assertGreater(len(retried), 20)
                self.assertEqual([each for each in retried if each.refused_on_time], [])

    def test_reserve_leaves_few_tokens_unused_after_a_wave(self) -> None:
        """A third of a large caller's demand is urgent, and its bucket is full before each wave."""

        def every_third(number: int) -> int:
            return OTHERS if number % 3 else URGENT

        waves = [at for begin in (0.0, 8.0) for at in steady_arrivals(600.0, begin, begin + 4.0)]
        served: dict[str, int] = {}
        for name, urgency in (("by urgency", every_third), ("alike", equal_urgency)):
            clients = SimulatedClients(200.0, 228.0, obeys=False)
            queues = QueuesByOperationNumber(TokenBucket(200.0, 228.0, 228.0, 0.0), urgency)
            clients.queue = queues  # type: ignore[assignment]
            clients.run(waves)
            served[name] = sum(each.granted_at is not None for each in clients.operations)
        # Fails with a reserve of one second of the urgent demand.
        self.assertGreater(served["by urgency"], 1.12 * served["alike"])

    def test_whole_limit_is_available_after_urgent_demand_ends(self) -> None:
        def until_ten(number: int) -> int:
            return URGENT if number <= int(10.0 * 3 * RATE) and number % 2 else OTHERS

        clients = run_clients(steady_arrivals(3 * RATE, 0.0, 30.0), until_ten)
        self.assertGreaterEqual(clients.granted_between(20.0, 30.0), 0.95 * RATE * 10.0)


class CallerTokenQueuesTest(unittest.TestCase):
    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 0.3), st.integers(1, 12)), max_size=60),
        st.integers(0, 9),
        st.floats(0, SIZE),
    )
    def test_single_urgency_behaves_like_one_queue(
        self, asked: list[tuple[float, int]], urgency: int, tokens: float
    ) -> None:
        queues = CallerTokenQueues(TokenBucket(RATE, SIZE, tokens, 0.0))
        queue = TokenQueue(TokenBucket(RATE, SIZE, tokens, 0.0))
        now = 0.0
        for pause, number in asked:
            now += pause
            key = QueueKey("process", number)
            answer = queues.ask(urgency, key, now, now, 1.0, 0.5)
            self.assertEqual(answer, queue.ask(key, now, now, 1.0, 0.5))
        self.assertEqual(len(queues), len(queue))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.floats(0, 0.2), st.integers(-3, 20)), max_size=120),
        st.floats(1, 40),
        st.floats(0.5, 40),
        st.floats(0.05, 1.0),
    )
    def test_grants_never_exceed_the_bucket(
        self, asked: list[tuple[float, int]], rate: float, size: float, fraction: float
    ) -> None:
        """The bucket alone must enforce the limit, whatever is requested."""
        queues = CallerTokenQueues(TokenBucket(rate, size, size, 0.0))
        now, granted_count = 0.0, 0
        for number, (pause, urgency) in enumerate(asked):
            now += pause
            key = QueueKey("process", number)
            answer = queues.ask(urgency, key, now, now * fraction, fraction, 0.5)
            granted_count += isinstance(answer, Granted)
            if isinstance(answer, Deferred):
                self.assertGreater(answer.seconds, 0.0)
            self.assertLessEqual(granted_count, size + now * fraction * rate + 1e-6)

    def test_bucket_of_one_token_serves_all_urgencies(self) -> None:
        """A grantor with few votes has such a bucket."""
        queues = CallerTokenQueues(TokenBucket(2.0, 1.0, 1.0, 0.0))
        for number, urgency in enumerate((URGENT, OTHERS, URGENT, OTHERS)):
            answer = queues.ask(urgency, QueueKey("p", number), number, number, 1.0, 0.5)
            self.assertIsInstance(answer, Granted)

    def test_number_of_queues_is_bounded(self) -> None:
        queues = CallerTokenQueues(TokenBucket(RATE, SIZE, SIZE, 0.0))
        for urgency in range(-50, 1000):
            queues.ask(urgency, QueueKey("p", urgency), 0.0, 0.0, 1.0, 0.5)
        self.assertLessEqual(len(queues._queues), LOWEST_URGENCY + 1)


class ReservedBucketTest(unittest.TestCase):
    def test_tokens_beyond_the_reserve(self) -> None:
        for name, tokens, waiting, aside, size, holds in (
            ("no reserve", 5.0, 0, 0.0, 15.0, 5),
            ("demand of 40 a second: reserve of 4 + sqrt(4)", 15.0, 0, 40.0, 9.0, 9),
            ("one waiting, demand of 10 a second", 15.0, 1, 10.0, 12.0, 12),
            ("reserve limited to leave one token", 15.0, 2, 1000.0, 1.0, 1),
            ("empty bucket", 0.0, 0, 40.0, 9.0, 0),
        ):
            with self.subTest(name):
                bucket = ReservedBucket(TokenBucket(RATE, SIZE, tokens, 0.0))
                bucket.set_reserve(waiting, aside)
                self.assertAlmostEqual(bucket.size, size)
                answer = sum(bucket.holds(count, 0.0) for count in range(1, 16))
                self.assertEqual(answer, holds)

    def test_token_times_exclude_the_reserved_rate(self) -> None:
        bucket = ReservedBucket(TokenBucket(RATE, SIZE, 6.0, 0.0))
        bucket.set_reserve(4, 4.0)
        needed = 4 + 4 + 0.4 + math.sqrt(0.4) - 6.0
        self.assertAlmostEqual(bucket.rate, 16.0)
        self.assertAlmostEqual(bucket.seconds_until(4, 0.0), needed / 16.0)


class RecentDemandTest(unittest.TestCase):
    def test_steady_rate_is_estimated_and_decays(self) -> None:
        demand = RecentDemand()
        self.assertEqual(demand.per_second(0.0), 0.0)
        for number in range(200):
            demand.record(number / 10)
        self.assertAlmostEqual(demand.per_second(20.0), 10.0, delta=0.5)
        self.assertLess(demand.per_second(30.0), 0.4)


if __name__ == "__main__":
    unittest.main()
