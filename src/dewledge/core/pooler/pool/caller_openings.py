"""For whom a pool opens connections, and which idle one it closes to make room for another caller.

A connection belongs to one caller. One is opened for each statement that waits for nothing but a
connection, as long as the pool is below its limit. At the limit an idle connection of a caller that
waits for nothing is closed first; for a caller that others pass in the queue because it has no
connection, also one of a caller above its share. `connection_shares` computes the shares.

Inputs: the queue of the pool, its connections and slots, all of this moment.
"""

from collections import Counter
from collections.abc import Iterable, Sequence

from dewledge.core.pooler.load.wait_queue import WaitQueue
from dewledge.core.pooler.pool.connection_shares import ConnectionShares
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.held_connections import HeldConnections
from dewledge.core.pooler.pool.pool_slots import PoolSlots
from dewledge.core.pooler.pool.waiter import Demand, Waiter


class CallerOpenings:
    """Opens connections of one pool for the callers that wait there."""

    def __init__(
        self, held: HeldConnections, slots: PoolSlots, waiters: WaitQueue[Waiter], is_fair: bool
    ) -> None:
        """`is_fair`: callers get fair shares of the connections; else arrival alone decides."""
        self._held = held
        self._slots = slots
        self._waiters = waiters
        self._is_fair = is_fair
        self._is_opening = False
        """Guards against an opening that ends within the call that begins it."""

    def open_if_useful(self) -> None:
        """Opens a connection for each statement that waits for nothing else."""
        if self._is_opening:
            return
        self._is_opening = True
        openings = self._held.openings
        asked: Counter[str] = Counter()
        for caller in self._wanted():
            asked[caller] += 1
            if openings.by_caller[caller] >= asked[caller] or openings.is_unreachable:
                continue
            if self._held.is_below_limit or self._make_room(caller):
                openings.open(caller)
        self._is_opening = False

    def open_ahead(self, caller: str) -> bool:
        """Opens a connection for a caller that others pass as it has none; True if it did.

        Else it would have none when its turn comes, and be passed for as long as others wait. At
        the limit it has one of a caller above its share, if it is below its own.
        """
        if not self._is_fair or not self._held.openings.may_open_ahead(caller):
            return False
        was_opening, self._is_opening = self._is_opening, True
        is_free = self._held.is_below_limit or self._make_room(caller)
        has_room = is_free or self._end(self._shares().above(caller))
        if has_room:
            self._held.openings.open(caller)
        self._is_opening = was_opening
        return has_room

    def _wanted(self) -> Sequence[str]:
        """For whom connections are wanted, a caller for each; who comes first is first."""
        servable = _servable_callers(self._waiters, self._slots.room)
        if self._is_fair and len(set(servable)) > 1:
            return self._shares().in_order(servable)
        return list(Counter(servable).elements())

    def _shares(self) -> ConnectionShares:
        held = self._held
        waiting = {waiter.caller for waiter in self._waiters.unordered()}
        opening = held.openings.by_caller
        return ConnectionShares(held.limit, held.idle, held.lent, opening, waiting)

    def _make_room(self, caller: str) -> bool:
        """Closes an idle connection of another caller that waits for nothing."""
        return self._end(self._shares().unused(caller, self._is_fair))

    def _end(self, connection: DatabaseConnection | None) -> bool:
        if connection is None:
            return False
        self._held.close_idle(connection)
        return True


def _servable_callers(waiters: Iterable[Waiter], room: float) -> Sequence[str]:
    """Returns the callers of the statements that only lack a connection, in their order.

    room: how many slots are free. Questions of the proxy's own need none and are the most urgent.
    """
    servable: list[str] = []
    for waiter in waiters:
        if waiter.demand is not Demand.OWN:
            if room < 1:
                break
            room -= 1
        servable.append(waiter.caller)
    return servable
