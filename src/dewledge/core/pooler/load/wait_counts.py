"""Counts how accurate the expected waits of a queue were, and which refusals were unnecessary.

The counts are exported as metrics and logged as `WaitsCounted`. No decision depends on them, and
their memory is bounded.
"""

from collections import deque

import msgspec

MIN_COUNTED_SECONDS = 0.01
"""Shorter waits are raised to this. A statement whose expected and actual wait are both shorter is
not counted."""
QUARTER_RATIO = 0.25
"""Maximum error, relative to the expected wait, of the waits counted in `within_quarter`."""
DOUBLE_FACTOR = 2.0
"""Maximum factor between the expected and the actual wait, in either direction, of the waits
counted in `within_double`."""
MAX_REMEMBERED_REFUSALS = 256
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
        self._refused_latest_starts: deque[float] = deque(maxlen=MAX_REMEMBERED_REFUSALS)

    def record_served(self, expected_seconds: float, actual_seconds: float) -> None:
        """Counts a served statement with its expected and its actual wait."""
        if max(expected_seconds, actual_seconds) < MIN_COUNTED_SECONDS:
            return
        expected = max(expected_seconds, MIN_COUNTED_SECONDS)
        actual = max(actual_seconds, MIN_COUNTED_SECONDS)
        self.counts.served += 1
        self.counts.within_quarter += abs(actual - expected) <= QUARTER_RATIO * expected
        self.counts.within_double += expected / DOUBLE_FACTOR <= actual <= expected * DOUBLE_FACTOR

    def record_refused(self, latest_start: float) -> None:
        """Counts a refused statement and remembers its latest start (steady clock, seconds)."""
        self.counts.refused += 1
        self._refused_latest_starts.append(latest_start)

    def record_free_slots(self, now: float, free_slots: int) -> None:
        """Counts refused statements that could have used slots which are now free."""
        while self._refused_latest_starts and free_slots > 0:
            if self._refused_latest_starts.popleft() >= now:
                self.counts.refused_with_room += 1
                free_slots -= 1
