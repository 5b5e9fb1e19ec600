"""Distinguishes a persistent queue for tokens from one that drains.

After an outage the delayed operations arrive together; their queue shrinks, and holding them serves
them all. A caller that steadily exceeds its limit has a queue that never shrinks: waiting in it
serves no more operations and delays each one. The detector compares the waits over several
intervals, like CoDel, but accepts a long queue while it shrinks.
"""

from collections import deque

ACCEPTABLE_WAIT_SECONDS = 0.15
"""Seconds of wait that are always acceptable: some round trips between processes, so that no token
stays unused while an operation waits."""
INTERVAL_SECONDS = 0.5
"""Seconds of an interval whose maximum wait is compared with that of the interval before."""
MIN_INTERVALS = 3
"""Intervals in a row with too long a wait before a queue may be found persistent. The operations
delayed by an outage arrive within the first two."""
MIN_DRAIN_RATE = 0.1
"""Seconds of wait by which a draining queue shrinks each second. Normal demand leaves more of the
rate than this unused."""
MIN_PERSISTENT_TOKENS = 20
"""Tokens: a queue stays persistent at least until this many have been added. The demand of a caller
with few operations a second varies randomly for that long."""
MIN_PERSISTENT_SECONDS = 2.0
"""Seconds for which a queue stays persistent after an operation found it too long. Demand comes in
waves of some seconds; otherwise each wave would begin with operations that are served late."""


class PersistentQueueDetector:
    """The detector for a queue. Times are in seconds of the grantor's steady clock."""

    def __init__(self) -> None:
        self._max_waits: deque[float] = deque(maxlen=MIN_INTERVALS)
        """The maximum wait in each of the last intervals, the present one last."""
        self._interval_began_at = 0.0
        self._persistent_until = 0.0

    def is_persistent(self, now: float) -> bool:
        """Returns whether the queue is persistent now and should therefore be kept short."""
        return now < self._persistent_until

    def record_wait(
        self, wait: float, acceptable: float, now: float, token_interval: float = 0.0
    ) -> None:
        """Records how long an operation that arrives now would wait for a token.

        acceptable: the longest wait for which the queue is not too long. token_interval: the
        seconds between two tokens; waits vary randomly by this much.
        """
        if wait <= acceptable:
            self._max_waits.clear()
        elif not self._max_waits:
            self._begin_interval(wait, now)
        elif now - self._interval_began_at < INTERVAL_SECONDS:
            self._max_waits[-1] = max(self._max_waits[-1], wait)
        else:
            self._end_interval(now, token_interval)
            self._begin_interval(wait, now)

    def mark_persistent(self, now: float, token_interval: float = 0.0) -> None:
        """Marks the queue as persistent for a while; called for a queue that is too long."""
        self._persistent_until = now + max(
            MIN_PERSISTENT_SECONDS, MIN_PERSISTENT_TOKENS * token_interval
        )

    def _begin_interval(self, wait: float, now: float) -> None:
        self._max_waits.append(wait)
        self._interval_began_at = now

    def _end_interval(self, now: float, token_interval: float) -> None:
        if len(self._max_waits) < MIN_INTERVALS:
            return
        decrease = self._max_waits[-2] - self._max_waits[-1]
        if decrease < MIN_DRAIN_RATE * INTERVAL_SECONDS + token_interval:
            self.mark_persistent(now, token_interval)
            self._max_waits.clear()
