"""How many statements this process keeps at one database, learned from the database's refusals.

Inputs: each statement that ran there, each that was refused for want of a slot, and the steady
clock in seconds.
Decision: the window grows by `GROWTH` over its size with each statement that ran and is cut to
`CUT_SHARE` by a refusal. Additive growth and a multiplicative cut share what is there between
processes that do not know each other, as for the congestion window of TCP (Chiu and Jain 1989).
Reason: a database runs as many statements at once as it has slots and refuses more. Other processes
use the same slots, so no share can be reckoned beforehand. Without a bound the refused statement
that happens to come next gets the free slot, however urgent the others are; with one they wait in
the pool's queue, where the more urgent comes first.
"""

import math
from collections.abc import Callable

GROWTH = 0.2
"""Statements; added to the size, divided by it, with each statement that ran: at 40 statements a
second a size of one grows to three within a second, some times what that rate needs."""
CUT_SHARE = 0.75
"""Ratio; share of the size that is left after a refusal: less than TCP's half takes away, since a
refused statement costs a few milliseconds and an empty slot a whole statement."""
CUT_SPACING_SECONDS = 0.05
"""Seconds; refusals closer than this are of one moment: some times the work of a statement."""
LEAST = 1.0
"""Statements; one is always let in: only its refusal or success tells whether there is room."""
TELL_SPACING_SECONDS = 1.0
"""Seconds; a database that is full now and then is told as such no more often than this."""

WindowCallback = Callable[[bool, int, int], None]
"""Takes whether the database is full, the size of the window, and the widest."""


class SlotWindow:
    """The window of one pool; it begins wide open."""

    def __init__(
        self, widest: int, changed: WindowCallback = lambda is_full, size, widest: None
    ) -> None:
        """`widest`: more is never needed, the connections of the pool.

        changed: called when the database begins to be full, and when it has room for all again.
        """
        self._size = float(max(widest, 1))
        self._widest = widest
        self._changed = changed
        self._cut_at = -math.inf
        self._told_at = -math.inf
        self.is_full = False
        """Whether the database has refused a statement since it last had room for all."""

    @property
    def size(self) -> int:
        """How many statements may be at the database from this process."""
        return int(self._size)

    def allows(self, running: int) -> bool:
        """Tells whether a further statement may go to the database beside `running` others."""
        return running < int(self._size)

    def room(self, running: int) -> int:
        """Returns how many further statements may go there."""
        return max(int(self._size) - running, 0)

    def note_served(self, widest: int) -> None:
        """A statement ran."""
        self._widest = widest
        self._size = min(self._size + GROWTH / self._size, float(max(widest, 1)))
        if self.is_full and self._size >= widest:
            self.is_full = False
            self._changed(False, int(self._size), widest)

    def note_refused(self, now: float) -> None:
        """The database refused a statement for want of a slot."""
        if now >= self._cut_at + CUT_SPACING_SECONDS:
            self._cut_at = now
            self._size = max(self._size * CUT_SHARE, LEAST)
        if not self.is_full and now >= self._told_at + TELL_SPACING_SECONDS:
            self.is_full = True
            self._told_at = now
            self._changed(True, int(self._size), self._widest)
