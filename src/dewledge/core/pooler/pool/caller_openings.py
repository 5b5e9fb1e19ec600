"""Decides for which callers a pool opens connections, and which idle ones it closes to make room.

Each connection belongs to one caller. Below its limit, the pool opens a connection for every
waiting statement that has a slot and lacks only a connection. At the limit, it first closes an idle
connection of a caller without waiting statements. For a caller that is skipped in the queue because
it has no connection, it also closes an idle connection of a caller over its fair share.
`connection_shares` computes the shares.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from dewledge.core.pooler.load.wait_queue import WaitQueue
from dewledge.core.pooler.pool.connection_shares import ConnectionShares
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.pool_connections import PoolConnections
from dewledge.core.pooler.pool.pool_slots import PoolSlots
from dewledge.core.pooler.pool.waiter import Demand, Waiter


class CallerOpenings:
    """Opens connections of a pool for the callers that have waiting statements."""

    def __init__(
        self,
        connections: PoolConnections,
        slots: PoolSlots,
        waiters: WaitQueue[Waiter],
        is_fair: bool,
    ) -> None:
        """With `is_fair`, callers get fair shares of the connections; otherwise arrival order
        decides."""
        self._connections = connections
        self._slots = slots
        self._waiters = waiters
        self._is_fair = is_fair
        self._is_opening = False
        """Prevents reentrance if an opening ends within the call that starts it."""

    def open_if_useful(self) -> None:
        """Opens a connection for each statement that lacks only a connection."""
        if self._is_opening:
            return
        self._is_opening = True
        openings = self._connections.openings
        wanted: Counter[str] = Counter()
        for caller in self._callers_to_open_for():
            wanted[caller] += 1
            if openings.by_caller[caller] >= wanted[caller] or openings.is_unreachable:
                continue
            if self._connections.is_below_limit or self._close_unused(caller):
                openings.open(caller)
        self._is_opening = False

    def open_ahead(self, caller: str) -> bool:
        """Opens a connection for a caller that is skipped because it has none; False if none was
        opened.

        Otherwise the caller would have no connection when its turn comes, and would be skipped for
        as long as others wait. At the limit, a connection of a caller over its fair share is
        closed, if this caller is below its own.
        """
        if not self._is_fair or not self._connections.openings.may_open_ahead(caller):
            return False
        was_opening, self._is_opening = self._is_opening, True
        has_capacity = self._connections.is_below_limit or self._close_unused(caller)
        may_open = has_capacity or self._close_idle(
            self._connection_shares().find_over_share(caller)
        )
        if may_open:
            self._connections.openings.open(caller)
        self._is_opening = was_opening
        return may_open

    def _callers_to_open_for(self) -> Sequence[str]:
        """Returns a caller for each connection that should be opened, in the order of opening."""
        servable = _servable_callers(self._waiters, self._slots.free_slots)
        if self._is_fair and len(set(servable)) > 1:
            return self._connection_shares().opening_order(servable)
        return list(Counter(servable).elements())

    def _connection_shares(self) -> ConnectionShares:
        """Computes the fair shares from the current connections and queue."""
        connections = self._connections
        waiting = {waiter.caller for waiter in self._waiters.unordered()}
        opening = connections.openings.by_caller
        return ConnectionShares(
            connections.limit, connections.idle, connections.in_use_connections, opening, waiting
        )

    def _close_unused(self, caller: str) -> bool:
        """Closes an idle connection of another caller that has no waiting statements."""
        return self._close_idle(self._connection_shares().find_unused(caller, self._is_fair))

    def _close_idle(self, connection: DatabaseConnection | None) -> bool:
        """Closes an idle connection; False if there is none."""
        if connection is None:
            return False
        self._connections.close_idle(connection)
        return True


def _servable_callers(waiters: Iterable[Waiter], free_slots: float) -> Sequence[str]:
    """Returns the callers of the statements that lack only a connection, in queue order.

    Args:
        waiters: The waiting statements in queue order.
        free_slots: The number of free slots. Internal statements need none and come first.
    """
    servable: list[str] = []
    for waiter in waiters:
        if waiter.demand is not Demand.INTERNAL:
            if free_slots < 1:
                break
            free_slots -= 1
        servable.append(waiter.caller)
    return servable
