"""Operations of one caller before one queue of tokens, and clients that heed it or do not."""

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

AT_ONCE_SECONDS = 0.1
"""Clients that do not heed what they are told ask again after this, twice."""
TRIES = 3
BEARS = 2 * ACCEPTABLE_WAIT_SECONDS
"""For so long operations may be held and still be in time, unless a test says otherwise."""


class Operation(msgspec.Struct):
    """One operation of a client. Moments in seconds."""

    number: int
    arrived: float
    given_at: float | None = None
    tries: int = 1
    is_new_try: bool = True
    returned: int = 0
    """How often it came back at the moment that it was told."""
    refused_again: int = 0
    """How often it was refused then."""

    tried_at: float = 0.0
    """When it asked last, not counting the claims of a token that was promised."""
    is_back_as_told: bool = False
    """Whether that was at a moment of its own."""

    @property
    def held(self) -> float:
        """Returns for how long it was held before it got its token."""
        return math.inf if self.given_at is None else self.given_at - self.tried_at


class Crowd:
    """The clients of one caller. heeds: whether they come back as told."""

    def __init__(
        self, rate: float, size: float, heeds: bool, bears: float = BEARS, tokens: float = 0.0
    ) -> None:
        self.queue = TokenQueue(TokenBucket(rate, size, tokens, 0.0))
        self.operations: list[Operation] = []
        self._heeds = heeds
        self._bears = bears
        self._events: list[tuple[float, int, Operation, bool]] = []
        self._order = itertools.count()

    def play(self, arrivals: Iterable[float]) -> None:
        """Has an operation arrive at each of the moments; ends when none is left."""
        for number, at in enumerate(arrivals, start=len(self.operations) + 1):
            operation = Operation(number, at)
            self.operations.append(operation)
            self._add(at, operation, False)
        while self._events:
            at, _, operation, as_told = heapq.heappop(self._events)
            self._ask(at, operation, as_told)

    def given_between(self, begin: float, end: float) -> int:
        """Returns how many tokens were given."""
        given = [each.given_at for each in self.operations if each.given_at is not None]
        return sum(begin <= at < end for at in given)

    def _add(self, at: float, operation: Operation, as_told: bool) -> None:
        heapq.heappush(self._events, (at, next(self._order), operation, as_told))

    def _ask(self, now: float, operation: Operation, as_told: bool) -> None:
        key = QueueKey("process", operation.number)
        found = self.queue.ask(key, now, now, 1.0, self._bears)
        operation.returned += as_told
        if operation.is_new_try:
            operation.is_new_try = False
            operation.tried_at = now
            operation.is_back_as_told = as_told
        if isinstance(found, Granted):
            operation.given_at = now
        elif found.is_kept:
            self._add(now + found.seconds + 1e-6, operation, False)
        else:
            operation.refused_again += as_told
            self._refused(now, operation, found)

    def _refused(self, now: float, operation: Operation, found: Deferred) -> None:
        operation.tries += 1
        operation.is_new_try = True
        if operation.tries > TRIES:
            return
        if self._heeds:
            self._add(now + found.seconds + 1e-6, operation, found.is_own)
        else:
            self._add(now + AT_ONCE_SECONDS, operation, False)


def steady(rate: float, begin: float, end: float) -> list[float]:
    """Returns the moments of arrivals at equal distances."""
    return [begin + number / rate for number in range(int((end - begin) * rate))]


def by_chance(rate: float, end: float, seed: int) -> list[float]:
    """Returns the moments of arrivals that know nothing of each other."""
    chance = random.Random(seed)
    moments = [chance.expovariate(rate)]
    while moments[-1] < end:
        moments.append(moments[-1] + chance.expovariate(rate))
    return moments
