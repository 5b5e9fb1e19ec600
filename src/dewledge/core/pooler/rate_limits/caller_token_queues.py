"""The queues for one caller's tokens at its grantor: by urgency, then in the order of arrival.

A caller at its limit cannot run all its operations, so the least urgent ones are refused first.
Each urgency has a queue of its own over the caller's one bucket. A queue sees the bucket without
the tokens reserved for more urgent operations (reserved_bucket.py). So more urgent operations get
the next tokens, and a retry time sent to a less urgent operation stays valid while demand is as
usual. With one urgency there is one queue.
"""

from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.recent_demand import RecentDemand
from dewledge.core.pooler.rate_limits.reserved_bucket import ReservedBucket
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Deferred, Granted, TokenQueue

LOWEST_URGENCY = 7
"""Levels of urgency run from 0, the highest, to this one; operations with a larger number share its
queue. Bounds the number of queues of a caller."""


class _UrgencyQueue:
    """The queue for an urgency level, and the recent demand of its operations."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = ReservedBucket(bucket)
        self.queue = TokenQueue(self.bucket)
        self.demand = RecentDemand()


class CallerTokenQueues:
    """The queues for a caller's tokens. Soft state; the bucket alone enforces the limit."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self._queues: dict[int, _UrgencyQueue] = {}

    def __len__(self) -> int:
        """Number of operations with a position in a queue of any urgency."""
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
        """Grants a token, or returns when to ask again.

        urgency: 0 is the highest. The other parameters are those of `TokenQueue.ask`.
        """
        level = min(max(urgency, 0), LOWEST_URGENCY)
        level_queue = self._queue_of(level)
        more_urgent_rate = self._more_urgent_rate(level, now) / fraction
        level_queue.bucket.set_reserve(self._more_urgent_waiting(level), more_urgent_rate)
        result = level_queue.queue.ask(key, now, bucket_time, fraction, max_wait)
        if isinstance(result, Granted) and not result.age:
            level_queue.demand.record(now)
        return result

    def _queue_of(self, urgency: int) -> _UrgencyQueue:
        queue = self._queues.get(urgency)
        if queue is None:
            queue = self._queues[urgency] = _UrgencyQueue(self.bucket)
        return queue

    def _more_urgent_waiting(self, urgency: int) -> int:
        """Returns the number of more urgent operations with a position."""
        return sum(len(each.queue) for level, each in self._queues.items() if level < urgency)

    def _more_urgent_rate(self, urgency: int, now: float) -> float:
        """Returns how many tokens a second more urgent operations recently used."""
        queues = self._queues.items()
        return sum(each.demand.per_second(now) for level, each in queues if level < urgency)
