"""Assigns the connections of a pool to statements.

An arriving statement gets an idle connection at once if it is first in the queue order and a slot
is free. Otherwise connections go to waiting statements in the order of the queue
(`load/wait_queue`): to the first one whose caller has an idle connection. A caller without an idle
connection does not block the statements behind it; with fair shares, a connection is opened
for it in advance (`caller_openings`).
"""

from collections.abc import Callable

from dewledge.core.pooler.pool.caller_openings import CallerOpenings
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.pool_connections import PoolConnections
from dewledge.core.pooler.pool.pool_slots import PoolSlots
from dewledge.core.pooler.pool.pool_waits import PoolWaits
from dewledge.core.pooler.pool.waiter import Demand, Waiter


class ConnectionDispatch:
    """Assigns the connections of a pool to statements."""

    def __init__(
        self,
        clock: Callable[[], float],
        connections: PoolConnections,
        slots: PoolSlots,
        waits: PoolWaits,
        openings: CallerOpenings,
    ) -> None:
        self._clock = clock
        self._connections = connections
        self._slots = slots
        self._waits = waits
        self._openings = openings

    def serve_on_arrival(self, waiter: Waiter, values: dict[str, str]) -> bool:
        """Assigns a connection to an arriving statement; False if it has to wait."""
        may_serve = self._waits.would_be_first(waiter) and self._slots.may_run(waiter)
        connection = self._connections.idle.pop_usable(waiter.caller, values) if may_serve else None
        if connection is None:
            return False
        self._assign(connection, waiter)
        return True

    def serve_waiters(self) -> None:
        """Assigns idle connections to waiting statements and opens the connections that are
        missing."""
        self._waits.queue.refresh(self._clock())
        while self._connections.idle and self._serve_first():
            pass
        if not self._waits.queue:
            self._waits.record_free_slots()
        self._openings.open_if_useful()

    def _serve_first(self) -> bool:
        """Serves the first waiting statement that can be served; False if there is none."""
        skipped_callers: set[str] = set()
        for waiter in self._waits.queue:
            if not self._slots.may_run(waiter):
                return False
            if waiter.caller in skipped_callers:
                continue
            connection = self._connections.idle.pop_usable(waiter.caller, {})
            if connection is not None:
                self._assign(connection, waiter)
                return True
            skipped_callers.add(waiter.caller)
            if self._openings.open_ahead(waiter.caller):
                return True
        return False

    def _assign(self, connection: DatabaseConnection, waiter: Waiter) -> None:
        """Assigns a connection to a statement and charges its caller."""
        self._connections.mark_in_use(connection)
        charge = self._waits.charge_served(waiter)
        is_single = waiter.demand is Demand.SINGLE
        connection.begin_loan(charge, self._clock(), is_single, waiter.priority)
        waiter.on_assigned(connection)
