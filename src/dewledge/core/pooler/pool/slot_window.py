"""Limits the statements of this process at a database, adapting to the database's refusals.

A database executes as many concurrent statements as it has slots, which it shares among several
processes, and refuses the others. The window grows with each executed statement and is cut by a
refusal. Additive increase and multiplicative decrease divide the slots among processes that do not
know of each other, like the congestion window of TCP (Chiu and Jain 1989).

Without a window, a free slot would go to the next statement that happens to be retried, regardless
of its urgency. With one, statements wait in the queue of the pool, which serves the most urgent
first.
"""

import math
from collections.abc import Callable

GROWTH_PER_STATEMENT = 0.2
"""Statements; each executed statement enlarges the window by this number divided by its size. At 40
statements a second, the size grows from one to three within a second."""
CUT_RATIO = 0.75
"""Part of the size that remains after a refusal. More than the half of TCP, since a refused
statement costs a few milliseconds and an unused slot a whole statement."""
MIN_CUT_INTERVAL_SECONDS = 0.05
"""Minimum interval between two cuts: refusals within it have the same cause."""
MIN_SIZE = 1.0
"""Statements that are always allowed: at least one must be sent to find out whether a slot is
free."""
MIN_REPORT_INTERVAL_SECONDS = 1.0
"""Minimum interval between two reports that the database is full; `is_full` is not set more
often."""

WindowCallback = Callable[[bool, int, int], None]
"""Called when `SlotWindow.is_full` changes, with its new value, the size of the window and the
maximum size."""


class SlotWindow:
    """The limit of statements at a database; it starts at its maximum."""

    def __init__(
        self, max_size: int, on_change: WindowCallback = lambda is_full, size, max_size: None
    ) -> None:
        """Creates a window of the maximum size.

        Args:
            max_size: The maximum size, the number of connections of the pool.
            on_change: Called when the database becomes full, and when the window is back at its
                maximum.
        """
        self._size = float(max(max_size, 1))
        self._max_size = max_size
        self._on_change = on_change
        self._cut_at = -math.inf
        self._reported_at = -math.inf
        self.is_full = False
        """Whether the database has refused a statement since the window was last at its maximum."""

    @property
    def size(self) -> int:
        """How many statements of this process may be at the database."""
        return int(self._size)

    def allows(self, running: int) -> bool:
        """Tells whether another statement may be sent beside `running` ones."""
        return running < int(self._size)

    def free_slots(self, running: int) -> int:
        """Returns how many more statements may be sent beside `running` ones."""
        return max(int(self._size) - running, 0)

    def record_served(self, max_size: int) -> None:
        """Records an executed statement; `max_size` is the current maximum size."""
        self._max_size = max_size
        self._size = min(self._size + GROWTH_PER_STATEMENT / self._size, float(max(max_size, 1)))
        if self.is_full and self._size >= max_size:
            self.is_full = False
            self._on_change(False, int(self._size), max_size)

    def record_refused(self, now: float) -> None:
        """Records a statement that the database refused because its slots are in use."""
        if now >= self._cut_at + MIN_CUT_INTERVAL_SECONDS:
            self._cut_at = now
            self._size = max(self._size * CUT_RATIO, MIN_SIZE)
        if not self.is_full and now >= self._reported_at + MIN_REPORT_INTERVAL_SECONDS:
            self.is_full = True
            self._reported_at = now
            self._on_change(True, int(self._size), self._max_size)
