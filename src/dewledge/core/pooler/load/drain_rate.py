"""How fast a queue drains: the measured time between two that leave it while others wait.

It holds all that a slot's time and the number of slots do not tell: slots that other processes use,
tries without one, connections that are opened first.
"""

import math

from dewledge.core.pooler.load.expected_wait import ExpectedWait

SMOOTHING = 0.15
"""Of each measured interval: half of the mean is of the last four or five, so that a queue that
stands still is known as such within some times the work of a statement."""
FRESH_SECONDS = 1.0
"""What was measured longer ago says nothing of a queue that stands now."""


class DrainRate:
    """Times of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._interval: float | None = None
        self._left_at = -math.inf
        self._is_backlog = False

    def note_left(self, now: float, waiting: int) -> None:
        """One left the queue for a slot; so many wait still."""
        if self._is_backlog:
            interval = now - self._left_at
            known = interval if self._interval is None else self._interval
            self._interval = known + SMOOTHING * (interval - known)
        self._left_at = now
        self._is_backlog = waiting > 0

    def note_empty(self) -> None:
        """Nobody waits: the time until the next one leaves measures nothing."""
        self._is_backlog = False

    def expected_wait(self, ahead: int, now: float) -> ExpectedWait | None:
        """Returns the wait behind `ahead` others; None where nothing was measured lately."""
        age = now - self._left_at
        if self._interval is None or not self._is_backlog or age > FRESH_SECONDS:
            return None
        return ExpectedWait(max((ahead + 1) * self._interval - age, 0.0), age)
