"""How good the expected waits of one queue were, and whom it refused without need.

Counted for metrics and the log line `WaitsCounted`. It decides nothing and is bounded in memory.
"""

from collections import deque

import msgspec

LEAST_COUNTED_SECONDS = 0.01
"""Seconds; shorter waits, expected and real, are of one kind: they are served at once."""
QUARTER = 0.25
"""Ratio; share of the expected wait; a real wait that differs by no more counts as within a
quarter."""
DOUBLE = 2.0
"""Factor; a real wait within it of the expected one, either way, counts as within double."""
MAX_REFUSED_KEPT = 256
"""Statements that were refused and are remembered until their time is over. Bounds memory."""


class WaitCounts(msgspec.Struct):
    """Counts since the queue began.

    served: waits that were expected and then known. within_quarter, within_double: the real wait
    was within a quarter, within a factor of two of what was expected on arrival.
    refused: told that there is no room in their time. refused_with_room: of those, how many could
    have had a slot that was free within their time.
    """

    served: int = 0
    within_quarter: int = 0
    within_double: int = 0
    refused: int = 0
    refused_with_room: int = 0


class WaitRecord:
    """Keeps the counts of one queue."""

    def __init__(self) -> None:
        self.counts = WaitCounts()
        self._refused_until: deque[float] = deque(maxlen=MAX_REFUSED_KEPT)

    def note_served(self, expected_seconds: float, real_seconds: float) -> None:
        """A statement was served whose wait was expected when it came."""
        if max(expected_seconds, real_seconds) < LEAST_COUNTED_SECONDS:
            return
        expected = max(expected_seconds, LEAST_COUNTED_SECONDS)
        real = max(real_seconds, LEAST_COUNTED_SECONDS)
        self.counts.served += 1
        self.counts.within_quarter += abs(real - expected) <= QUARTER * expected
        self.counts.within_double += expected / DOUBLE <= real <= expected * DOUBLE

    def note_refused(self, latest_start: float) -> None:
        """One was refused that would have had to start by `latest_start` (steady clock)."""
        self.counts.refused += 1
        self._refused_until.append(latest_start)

    def note_free(self, now: float, places: int) -> None:
        """So many slots are free while nobody waits for them."""
        while self._refused_until and places > 0:
            if self._refused_until.popleft() >= now:
                self.counts.refused_with_room += 1
                places -= 1
