"""Counts how accurate the expected waits of a queue were, and which refusals were unnecessary.

The counts are exported as metrics and logged as `WaitsCounted`. No decision depends on them, and
their memory is bounded.
"""

from collections import deque

import msgspec

LEAST_COUNTED_SECONDS = 0.01
"""Shorter waits, expected or actual, are not distinguished: such a statement is served at once."""
QUARTER = 0.25
"""Relative error of the expected wait up to which it counts as within a quarter."""
DOUBLE = 2.0
"""Factor between the expected and the actual wait, either way, up to which they count as within
double."""
MAX_REFUSED_KEPT = 256
"""Statements that were refused and are remembered until their deadline; bounds memory."""


class WaitCounts(msgspec.Struct):
    """Counters since the queue was created.

    Attributes:
        served: Statements that were served after an expected wait.
        within_quarter: Those whose actual wait was within a quarter of the expected one.
        within_double: Those whose actual wait was within a factor of two of the expected one.
        refused: Statements that were refused because no slot was expected to be free in time.
        refused_with_room: Those for which a slot was free before their deadline after all.
    """

    served: int = 0
    within_quarter: int = 0
    within_double: int = 0
    refused: int = 0
    refused_with_room: int = 0


class WaitRecord:
    """Maintains the counters of a queue."""

    def __init__(self) -> None:
        self.counts = WaitCounts()
        self._refused_until: deque[float] = deque(maxlen=MAX_REFUSED_KEPT)

    def note_served(self, expected_seconds: float, real_seconds: float) -> None:
        """Counts a served statement with its expected and its actual wait."""
        if max(expected_seconds, real_seconds) < LEAST_COUNTED_SECONDS:
            return
        expected = max(expected_seconds, LEAST_COUNTED_SECONDS)
        real = max(real_seconds, LEAST_COUNTED_SECONDS)
        self.counts.served += 1
        self.counts.within_quarter += abs(real - expected) <= QUARTER * expected
        self.counts.within_double += expected / DOUBLE <= real <= expected * DOUBLE

    def note_refused(self, latest_start: float) -> None:
        """Counts a refused statement whose latest start was `latest_start` (steady clock,
        seconds)."""
        self.counts.refused += 1
        self._refused_until.append(latest_start)

    def note_free(self, now: float, places: int) -> None:
        """Counts refused statements that could have used slots which are now free."""
        while self._refused_until and places > 0:
            if self._refused_until.popleft() >= now:
                self.counts.refused_with_room += 1
                places -= 1
