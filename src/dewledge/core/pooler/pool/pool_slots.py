"""How many statements of one pool may be at its database at once, and what the pool has to give.

Where this process holds connections to the database, a `SlotWindow` bounds the statements. Where
other processes hold them, those bound the statements and this pool sets no bound.
"""

import math

from dewledge.core.pooler.load.wait_estimate import Capacity
from dewledge.core.pooler.pool.held_connections import HeldConnections
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Waiter


class PoolSlots:
    """The window of one pool, or none, beside the connections that are held."""

    def __init__(self, held: HeldConnections, window: SlotWindow | None) -> None:
        self._held = held
        self._window = window

    @property
    def is_bounded(self) -> bool:
        """Whether this process holds the connections and so bounds the statements."""
        return self._window is not None

    @property
    def size(self) -> int:
        """How many statements may be at the database at once."""
        limit = self._held.limit
        return limit if self._window is None else min(self._window.size, limit)

    @property
    def is_full(self) -> bool:
        """Whether the database refuses statements for want of slots."""
        return self._window is not None and self._window.is_full

    @property
    def room(self) -> float:
        """How many further statements may go to the database; infinite where none is bounded."""
        return math.inf if self._window is None else self._window.room(self._held.running)

    def has_room(self, waiter: Waiter) -> bool:
        """Tells whether a statement may go to the database now; an own question always may."""
        if self._window is None or waiter.demand is Demand.OWN:
            return True
        return self._window.allows(self._held.running)

    def capacity(self) -> Capacity:
        """Returns what the pool has to give now."""
        held = self._held
        is_opening = not held.idle and held.is_below_limit
        return Capacity(held.running, self.size, held.in_use, held.limit, is_opening)

    def renew(self, window: SlotWindow | None) -> None:
        """The database is reached by another route from now on."""
        self._window = window

    def note_served(self) -> None:
        """A statement ran."""
        if self._window is not None:
            self._window.note_served(self._held.limit)

    def note_refused(self, now: float) -> None:
        """The database refused a statement for want of a slot."""
        if self._window is not None:
            self._window.note_refused(now)
