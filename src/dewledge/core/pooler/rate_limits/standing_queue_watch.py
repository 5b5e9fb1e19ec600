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

STANDING_SECONDS = 0.15
"""Seconds of wait that are no fault: some round trips between processes, so that no token is left
over while somebody waits. As the longest wait of a standing queue it left nothing that could be
served after a wave of demand, so there the operation's own accepted
wait counts."""
BLOCK_SECONDS = 0.5
"""Seconds of a span whose longest wait is compared with that of the span before."""
BLOCKS = 3
"""Intervals; spans one after the other in which a queue was longer than usual before it may be
found to stand. What an outage held up comes within the first two of them."""
DRAINING_PACE = 0.1
"""Seconds of wait by which a draining queue falls each second: usual demand leaves more of the rate
than this, and the error of some tens of operations is smaller."""
STANDING_AFTER_TOKENS = 20
"""Tokens in whose time a queue stands at least: the demand of a caller of few operations a second
differs by chance for that long."""
STANDING_AFTER_SECONDS = 2.0
"""Seconds for which a queue stands after an operation was too many: demand comes in waves of some
seconds, and each one would else begin with operations that are late."""


class StandingQueueWatch:
    """Of one queue. Times of the grantor's steady clock, in seconds."""

    def __init__(self) -> None:
        self._longest: deque[float] = deque(maxlen=BLOCKS)
        """The longest wait in each of the last spans, the present one last."""
        self._block_began_at = 0.0
        self._stands_until = 0.0

    def stands(self, now: float) -> bool:
        """Tells whether operations are to be held only while they wait shortly."""
        return now < self._stands_until

    def note(self, wait: float, usual: float, now: float, gap: float = 0.0) -> None:
        """Takes in for how long an operation that comes now would wait for its token.

        usual: a wait up to which the queue is not too long. gap: the seconds in which a token
        comes; by so much waits differ by chance.
        """
        if wait <= usual:
            self._longest.clear()
        elif not self._longest:
            self._begin_block(wait, now)
        elif now - self._block_began_at < BLOCK_SECONDS:
            self._longest[-1] = max(self._longest[-1], wait)
        else:
            self._end_block(now, gap)
            self._begin_block(wait, now)

    def note_too_many(self, now: float, gap: float = 0.0) -> None:
        """An operation found the queue too long, though it is kept short."""
        self._stands_until = now + max(STANDING_AFTER_SECONDS, STANDING_AFTER_TOKENS * gap)

    def _begin_block(self, wait: float, now: float) -> None:
        self._longest.append(wait)
        self._block_began_at = now

    def _end_block(self, now: float, gap: float) -> None:
        if len(self._longest) < BLOCKS:
            return
        falls = self._longest[-2] - self._longest[-1]
        if falls < DRAINING_PACE * BLOCK_SECONDS + gap:
            self.note_too_many(now, gap)
            self._longest.clear()
