"""Who gets the tokens of one caller at its grantor: the most urgent operations, then by arrival.

Inputs: the urgency of an operation (0 is the highest), the queues of all urgencies, the tokens a
second that each was given lately (half-life of some seconds). Decision: a token, or the moment of
one. Reason: a caller at its limit cannot have all that it asks for, so what it wants least is
refused first. Each urgency has a queue of its own over the caller's one bucket. A queue sees the
bucket without one token for each more urgent operation that waits and without what more urgent
operations usually take at once. So these have the next token, and a moment told to a less urgent
operation holds while the demand is as usual. With one urgency there is one queue.
"""

from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.recent_demand import RecentDemand
from dewledge.core.pooler.rate_limits.reserved_bucket import ReservedBucket
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Deferred, Granted, TokenQueue

LOWEST_URGENCY = 7
"""Levels of urgency run from 0 (the most urgent) to this one; less urgent operations share its
queue. Bounds the queues of a caller."""


class _UrgencyQueue:
    """The operations of one urgency, and what they were given lately."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = ReservedBucket(bucket)
        self.queue = TokenQueue(self.bucket)
        self.demand = RecentDemand()


class CallerTokenQueues:
    """Of one caller. Soft state; what is given is bounded by the bucket alone."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self._queues: dict[int, _UrgencyQueue] = {}

    def __len__(self) -> int:
        """How many operations have a position, of all urgencies."""
        return sum(len(each.queue) for each in self._queues.values())

    def ask(
        self,
        urgency: int,
        key: QueueKey | None,
        now: float,
        bucket_time: float,
        fraction: float,
        max_wait: float,
    ) -> Granted | Deferred:
        """Gives a token, or the moment of one.

        urgency: 0 is the highest. Else as for a queue (token_queue.py).
        """
        level = min(max(urgency, 0), LOWEST_URGENCY)
        own = self._queue_of(level)
        taken = self._more_urgent_rate(level, now) / fraction
        own.bucket.set_reserve(self._more_urgent_waiting(level), taken)
        found = own.queue.ask(key, now, bucket_time, fraction, max_wait)
        if isinstance(found, Granted) and not found.age:
            own.demand.record(now)
        return found

    def _queue_of(self, urgency: int) -> _UrgencyQueue:
        queue = self._queues.get(urgency)
        if queue is None:
            queue = self._queues[urgency] = _UrgencyQueue(self.bucket)
        return queue

    def _more_urgent_waiting(self, urgency: int) -> int:
        """Returns how many more urgent operations have a position."""
        return sum(len(each.queue) for other, each in self._queues.items() if other < urgency)

    def _more_urgent_rate(self, urgency: int, now: float) -> float:
        """Returns how many tokens a second the more urgent have had lately."""
        queues = self._queues.items()
        return sum(each.demand.per_second(now) for other, each in queues if other < urgency)
