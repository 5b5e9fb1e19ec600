"""The slots of a pool: how many of its statements may be at the database concurrently.

If this process holds the connections, a `SlotWindow` limits the statements. Otherwise the
connection holders limit them, and this pool does not.
"""

import math

from dewledge.core.pooler.load.wait_estimate import Capacity
from dewledge.core.pooler.pool.pool_connections import PoolConnections
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Waiter


class PoolSlots:
    """The slot window of a pool, if there is one, together with its connections."""

    def __init__(self, connections: PoolConnections, window: SlotWindow | None) -> None:
        self._connections = connections
        self._window = window

    @property
    def is_bounded(self) -> bool:
        """Whether this process holds the connections and therefore limits the statements."""
        return self._window is not None

    @property
    def size(self) -> int:
        """How many statements may be at the database concurrently."""
        limit = self._connections.limit
        return limit if self._window is None else min(self._window.size, limit)

    @property
    def is_full(self) -> bool:
        """Whether the database refuses statements because its slots are in use."""
        return self._window is not None and self._window.is_full

    @property
    def free_slots(self) -> float:
        """How many more statements may be sent to the database; infinite without a window."""
        return (
            math.inf if self._window is None else self._window.free_slots(self._connections.running)
        )

    def may_run(self, waiter: Waiter) -> bool:
        """Tells whether a statement may be sent to the database now; an internal one always may."""
        if self._window is None or waiter.demand is Demand.INTERNAL:
            return True
        return self._window.allows(self._connections.running)

    def capacity(self) -> Capacity:
        """Returns the current capacity of the pool."""
        connections = self._connections
        is_opening = not connections.idle and connections.is_below_limit
        return Capacity(
            connections.running, self.size, connections.in_use, connections.limit, is_opening
        )

    def replace_window(self, window: SlotWindow | None) -> None:
        """Replaces the window, because the route to the database has changed."""
        self._window = window

    def record_served(self) -> None:
        """Records that the database executed a statement."""
        if self._window is not None:
            self._window.record_served(self._connections.limit)

    def record_refused(self, now: float) -> None:
        """Records that the database refused a statement because its slots are in use."""
        if self._window is not None:
            self._window.record_refused(now)
