"""Simulates the clients of a caller that request tokens from a queue."""

import heapq
import itertools
import math
import random
from collections.abc import Iterable

import msgspec

from dewledge.core.pooler.rate_limits.persistent_queue_detector import ACCEPTABLE_WAIT_SECONDS
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Deferred, Granted, TokenQueue

EARLY_RETRY_SECONDS = 0.1
"""Seconds after which a client that ignores retry times asks again."""
MAX_ATTEMPTS = 3
MAX_WAIT_SECONDS = 2 * ACCEPTABLE_WAIT_SECONDS
"""Seconds that operations can be held and still meet their target, unless a test sets others."""


class Operation(msgspec.Struct):
    """An operation of a client. Times are in seconds."""

    number: int
    arrived: float
    granted_at: float | None = None
    attempts: int = 1
    is_new_attempt: bool = True
    on_time_retries: int = 0
    """Number of retries at the promised time."""
    refused_on_time: int = 0
    """Number of refusals of these retries."""

    attempted_at: float = 0.0
    """When the last attempt began; asking for a reserved token is no new attempt."""
    is_on_time_retry: bool = False
    """Whether the last attempt was at a reserved retry time."""

    @property
    def hold_seconds(self) -> float:
        """Returns how long the operation was held before it got its token."""
        return math.inf if self.granted_at is None else self.granted_at - self.attempted_at


class SimulatedClients:
    """A caller's clients. obeys: whether they retry at the promised times."""

    def __init__(
        self,
        rate: float,
        size: float,
        obeys: bool,
        max_wait: float = MAX_WAIT_SECONDS,
        tokens: float = 0.0,
    ) -> None:
        self.queue = TokenQueue(TokenBucket(rate, size, tokens, 0.0))
        self.operations: list[Operation] = []
        self._obeys = obeys
        self._max_wait = max_wait
        self._events: list[tuple[float, int, Operation, bool]] = []
        self._order = itertools.count()

    def run(self, arrivals: Iterable[float]) -> None:
        """Runs operations that arrive at the given times, until none is left."""
        for number, at in enumerate(arrivals, start=len(self.operations) + 1):
            operation = Operation(number, at)
            self.operations.append(operation)
            self._add(at, operation, False)
        while self._events:
            at, _, operation, on_time = heapq.heappop(self._events)
            self._ask(at, operation, on_time)

    def granted_between(self, begin: float, end: float) -> int:
        """Returns the number of tokens granted in a time span."""
        granted = [each.granted_at for each in self.operations if each.granted_at is not None]
        return sum(begin <= at < end for at in granted)

    def _add(self, at: float, operation: Operation, on_time: bool) -> None:
        heapq.heappush(self._events, (at, next(self._order), operation, on_time))

    def _ask(self, now: float, operation: Operation, on_time: bool) -> None:
        key = QueueKey("process", operation.number)
        answer = self.queue.ask(key, now, now, 1.0, self._max_wait)
        operation.on_time_retries += on_time
        if operation.is_new_attempt:
            operation.is_new_attempt = False
            operation.attempted_at = now
            operation.is_on_time_retry = on_time
        if isinstance(answer, Granted):
            operation.granted_at = now
        elif answer.is_kept:
            self._add(now + answer.seconds + 1e-6, operation, False)
        else:
            operation.refused_on_time += on_time
            self._refused(now, operation, answer)

    def _refused(self, now: float, operation: Operation, answer: Deferred) -> None:
        operation.attempts += 1
        operation.is_new_attempt = True
        if operation.attempts > MAX_ATTEMPTS:
            return
        if self._obeys:
            self._add(now + answer.seconds + 1e-6, operation, answer.is_own)
        else:
            self._add(now + EARLY_RETRY_SECONDS, operation, False)


def steady_arrivals(rate: float, begin: float, end: float) -> list[float]:
    """Returns equally spaced arrival times."""
    return [begin + number / rate for number in range(int((end - begin) * rate))]


def random_arrivals(rate: float, end: float, seed: int) -> list[float]:
    """Returns the arrival times of a Poisson process."""
    rng = random.Random(seed)
    times = [rng.expovariate(rate)]
    while times[-1] < end:
        times.append(times[-1] + rng.expovariate(rate))
    return times
