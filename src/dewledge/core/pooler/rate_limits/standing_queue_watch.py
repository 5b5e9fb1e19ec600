"""Tells a standing queue for tokens from one that drains.

Inputs: the wait that each new operation would have (seconds, now, at the grantor) over the last
BLOCKS spans of BLOCK_SECONDS. Decision: whether the queue stands, for STANDING_AFTER_SECONDS from
then on. Reason: operations that were held up by an outage come together; their queue becomes
shorter, and holding them serves them all. A caller that steadily asks for more than its limit has a
queue that never becomes shorter: waiting in it serves no operation more and makes each of them
late. As CoDel does for packets, the least wait over an interval tells the two apart; besides, a
long queue that becomes shorter is left alone.
"""

from collections import deque

ACCEPTABLE_WAIT_SECONDS = 0.15
"""Seconds of wait that are no fault: some round trips between processes, so that no token is left
over while somebody waits. As the longest wait of a standing queue it left nothing that could be
served after a wave of demand, so there the operation's own accepted
wait counts."""
INTERVAL_SECONDS = 0.5
"""Seconds of a span whose longest wait is compared with that of the span before."""
MIN_INTERVALS = 3
"""Intervals; spans one after the other in which a queue was longer than usual before it may be
found to stand. What an outage held up comes within the first two of them."""
MIN_DRAIN_RATE = 0.1
"""Seconds of wait by which a draining queue falls each second: usual demand leaves more of the rate
than this, and the error of some tens of operations is smaller."""
MIN_PERSISTENT_TOKENS = 20
"""Tokens in whose time a queue stands at least: the demand of a caller of few operations a second
differs by chance for that long."""
MIN_PERSISTENT_SECONDS = 2.0
"""Seconds for which a queue stands after an operation was too many: demand comes in waves of some
seconds, and each one would else begin with operations that are late."""


class PersistentQueueDetector:
    """Of one queue. Times of the grantor's steady clock, in seconds."""

    def __init__(self) -> None:
        self._max_waits: deque[float] = deque(maxlen=MIN_INTERVALS)
        """The longest wait in each of the last spans, the present one last."""
        self._interval_began_at = 0.0
        self._persistent_until = 0.0

    def is_persistent(self, now: float) -> bool:
        """Tells whether operations are to be held only while they wait shortly."""
        return now < self._persistent_until

    def record_wait(
        self, wait: float, acceptable: float, now: float, token_interval: float = 0.0
    ) -> None:
        """Takes in for how long an operation that comes now would wait for its token.

        usual: a wait up to which the queue is not too long. gap: the seconds in which a token
        comes; by so much waits differ by chance.
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
        """An operation found the queue too long, though it is kept short."""
        self._persistent_until = now + max(
            MIN_PERSISTENT_SECONDS, MIN_PERSISTENT_TOKENS * token_interval
        )

    def _begin_interval(self, wait: float, now: float) -> None:
        self._max_waits.append(wait)
        self._interval_began_at = now

    def _end_interval(self, now: float, token_interval: float) -> None:
        if len(self._max_waits) < MIN_INTERVALS:
            return
        falls = self._max_waits[-2] - self._max_waits[-1]
        if falls < MIN_DRAIN_RATE * INTERVAL_SECONDS + token_interval:
            self.mark_persistent(now, token_interval)
            self._max_waits.clear()
