"""One database group at work: its view, its proven positions and the pools before it."""

from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooling.connection_pool import ConnectionPool, Opener
from dewledge.core.pooling.database_connection import DatabaseConnection
from dewledge.core.pooling.freshness import FreshnessHistory
from dewledge.core.pooling.group_view import DatabaseRecord, GroupView
from dewledge.core.pooling.routes import Route
from dewledge.core.pooling.scheduling import Scheduler
from dewledge.core.pooling.statements import Reply, StatementKind, TransactionState
from dewledge.core.pooling.targets import (
    Proof,
    ReadNeed,
    Target,
    read_floor,
    read_targets,
)

ROLLBACK_LIMIT_SECONDS = 2.0
UNREACHABLE_LOAD = 1000
"""Added to the load of a database that could not be reached a moment ago."""


class Place(msgspec.Struct, frozen=True):
    """Where this process stands: its zone, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def distance(self, zone: str) -> int:
        """Returns 0 for the own zone, 1 for another of the region, 2 for another region."""
        if zone == self.zone:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(self.zone) else 2


class Group:
    """The mutable holder of a group's immutable view."""

    def __init__(
        self,
        name: str,
        place: Place,
        opener: Opener,
        clock: Callable[[], float],
        drain_bound: float,
    ) -> None:
        self.view = GroupView(name)
        self.history = FreshnessHistory()
        self.pools: dict[str, ConnectionPool] = {}
        self._place = place
        self._opener = opener
        self._clock = clock
        self._drain_bound = drain_bound
        self._connection_limit = 1
        self._primary_waiters: list[Callable[[], None]] = []
        self._doubted: str | None = None
        self.relay: str | None = None
        """The address of a process that reaches a database which this one does not."""

    def set_connection_limit(self, limit: int) -> None:
        """Sets how many connections this process may hold to each database of the group."""
        self._connection_limit = limit
        for pool in self.pools.values():
            pool.limit = limit

    def pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool before a database."""
        pool = self.pools.get(database_id)
        if pool is None:
            pool = ConnectionPool(database_id, self._connection_limit, self._opener, self._clock)
            self.pools[database_id] = pool
        return pool

    def all_pools(self) -> Sequence[ConnectionPool]:
        """Returns the pools of all databases."""
        return list(self.pools.values())

    def trim_connections(self) -> None:
        """Closes connections that nobody has used for a while."""
        for pool in self.pools.values():
            pool.trim()

    def change_view(self, view: GroupView) -> None:
        """Takes the next view, ends pools of databases that leave, wakes who waits."""
        self.view = view
        now = self._clock()
        for database_id, pool in list(self.pools.items()):
            if database_id not in view.databases:
                pool.retire()
                if not pool.in_use:
                    del self.pools[database_id]
            elif not self._may_serve(database_id, now):
                pool.close_idle()
        if self.usable_primary is not None:
            self._wake_waiters()

    @property
    def usable_primary(self) -> DatabaseRecord | None:
        """The primary, unless it has been leaving for too long to be given new work."""
        primary = self.view.primary
        if primary is None or (primary.id == self._doubted and self.relay is None):
            return None
        usable = self.view.takes_work(primary.id, self._clock(), self._drain_bound)
        return primary if usable else None

    def set_doubt(self, database_id: str | None, relay: str | None) -> None:
        """Notes which database cannot be reached, and the process that can stand between.

        Without one no statement goes there while it is the primary.
        """
        if (database_id, relay) == (self._doubted, self.relay):
            return
        self._doubted = database_id
        self.relay = relay
        if database_id is not None:
            self.pool(database_id).close_idle()
            self.pool(database_id).forget_failure()
        if self.usable_primary is not None:
            self._wake_waiters()

    def relay_to(self, database_id: str) -> str | None:
        """Returns the address of the process through which a database is reached, if any."""
        return self.relay if database_id == self._doubted else None

    def wait_for_primary(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when a primary is known."""
        self._primary_waiters.append(callback)

    def refute_primary(self, database_id: str) -> None:
        """Notes that a database refused work because it is not the primary."""
        self.change_view(self.view.with_refuted(database_id))

    def targets(self, route: Route, writes: bool, need: ReadNeed) -> Sequence[Target]:
        """Returns the databases that may serve a statement, best first."""
        primary = self.usable_primary
        if writes:
            return [] if primary is None else [Target(primary, Proof.NONE)]
        floor = read_floor(route, self.history, need)
        excluded = self._doubted if self.relay is None else None
        return read_targets(self.view, floor, primary, self._distance, self._load, excluded)

    def roll_back(self, connection: DatabaseConnection, scheduler: Scheduler) -> None:
        """Ends a transaction on a connection, then takes the connection back into its pool."""
        pool = self.pool(connection.database_id)

        def give_up() -> None:
            connection.close()
            pool.release(connection)

        timer = scheduler.call_later(ROLLBACK_LIMIT_SECONDS, give_up)

        def rolled_back(reply: Reply | None) -> None:
            timer.cancel()
            if reply is None or reply.state is not TransactionState.IDLE:
                connection.close()
            pool.release(connection)

        connection.send_own(StatementKind.ROLLBACK, rolled_back)

    def _distance(self, record: DatabaseRecord) -> int:
        return self._place.distance(record.zone)

    def _load(self, record: DatabaseRecord) -> int:
        pool = self.pools.get(record.id)
        if pool is None:
            return 0
        return pool.load + (UNREACHABLE_LOAD if pool.is_unreachable else 0)

    def _may_serve(self, database_id: str, now: float) -> bool:
        if not self.view.takes_work(database_id, now, self._drain_bound):
            return False
        return database_id not in self.view.draining_since or self._is_primary(database_id)

    def _is_primary(self, database_id: str) -> bool:
        primary = self.view.primary
        return primary is not None and primary.id == database_id

    def _wake_waiters(self) -> None:
        waiters, self._primary_waiters = self._primary_waiters, []
        for callback in waiters:
            callback()
