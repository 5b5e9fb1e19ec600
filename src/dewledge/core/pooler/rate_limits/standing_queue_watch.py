"""Tells a line of tokens that drains from one that stands.

Operations that were held up by an outage come together; the line that they make becomes shorter,
and holding them serves them all. A caller that steadily asks for more than its limit has a line
that never becomes shorter: waiting in it serves no operation more, it only makes each of them late.
As CoDel does for packets, the least wait over an interval tells the two apart; besides, a long line
that becomes shorter is left alone.
"""

from collections import deque

STANDING_SECONDS = 0.15
"""A line in which operations wait no longer than this is no fault: some round trips between
processes, so that no token is left over while somebody waits."""
BLOCK_SECONDS = 0.5
"""The longest wait of each such span is compared with that of the span before."""
BLOCKS = 3
"""A line that was longer in so many spans one after the other may be found to stand. What an
outage held up comes within the first two of them."""
DRAINING_PACE = 0.1
"""A line drains if its wait falls by so many seconds a second: usual demand leaves more of the rate
than this, and the error of some tens of operations is smaller."""
STANDING_AFTER_TOKENS = 20
"""And for the time of so many tokens: the demand of a caller of few operations a second differs by
chance for that long."""
STANDING_AFTER_SECONDS = 2.0
"""It stands until no operation was too many for so long: demand comes in waves of some seconds, and
each one would else begin with operations that are late."""


class StandingQueueWatch:
    """Of one line. Times of the grantor's steady clock, in seconds."""

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

        usual: a wait up to which the line is not too long. gap: the seconds in which a token comes;
        by so much waits differ by chance.
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
        """An operation found the line too long, though it is kept short."""
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
