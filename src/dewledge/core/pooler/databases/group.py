"""One database group at work: its view, what is proven of it, its pools, its primary.

`Group` joins the parts, which are in modules of their own: `group_view` (what is known of
the databases), `group_pools`, `proof_seeking`, `read_order`, `replica_lag`.

Who may use the primary now is decided here and in `failover/primary_lease`: `usable_primary` is the
primary of the view, if it can be reached, if this process's lease allows it (`may_lead`), and if it
has not been leaving for longer than the drain bound.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_pools import GroupPools
from dewledge.core.pooler.databases.group_view import LONG_AGO, DatabaseRecord, GroupView
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.databases.proof_seeking import ProofSeeking
from dewledge.core.pooler.databases.read_order import ReadOptions, ReadOrder
from dewledge.core.pooler.databases.replica_lag import ReplicaLags
from dewledge.core.pooler.events import PoolingEvent
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.pool_factory import PoolFactory
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sharing.holders import Holding
from dewledge.core.pooler.statements.read_choice import ReadChoice, report_of
from dewledge.core.pooler.statements.rollback import roll_back_then_release
from dewledge.core.pooler.statements.targets import Proof, ReadNeed, Target, read_floor
from dewledge.core.shared.positions import LogPosition


class Group:
    """The mutable holder of a group's immutable view."""

    def __init__(
        self,
        name: str,
        place: Locality,
        opener: Opener,
        clock: Callable[[], float],
        drain_bound: float,
        direct_opener: Opener | None = None,
        right: PrimaryLease | None = None,
        choice: ReadChoice | None = None,
        judges_silence: bool = True,
        is_fair: bool = True,
    ) -> None:
        """`direct_opener`: opens connections that other processes' statements may use.

        right: the lease of the primary; by default the platform fences. choice: of databases for
        reads by load reports; None for own counts. judges_silence: of databases that are reached
        directly; see DatabaseSilence. is_fair: callers get fair shares of slots and connections.
        """
        self.view = GroupView(name)
        self.right = right or PrimaryLease(Fencing.PLATFORM)
        self.history = FreshnessHistory()
        self.choice = choice
        """By what databases are chosen for reads; None for own counts and the distance."""
        self.record: Callable[[PoolingEvent], None] = lambda event: None
        """Called with what is to be logged of the group's databases."""
        self.relay: str | None = None
        """The address of a process that reaches a database which this one does not."""
        self._clock = clock
        self._drain_bound = drain_bound
        self._doubted: str | None = None
        self._heard_at: dict[str, float] = {}
        self._lags = ReplicaLags(self.history)
        self._seeking = ProofSeeking(self.history, clock)
        self._primary_waiters: list[Callable[[], None]] = []
        make = PoolFactory(name, clock, self._record, judges_silence, is_fair)
        self._pools = GroupPools(make, self._find_record, opener, direct_opener or opener)
        self._reads = ReadOrder(place, clock, self._lags, self._pools)

    @property
    def pools(self) -> dict[str, ConnectionPool]:
        """The pools for the statements of this process's clients, by database."""
        return self._pools.own

    def set_connection_limit(self, limit: int) -> None:
        """Has this process hold up to `limit` connections to each database of the group itself."""
        self.set_holdings(lambda _record: Holding(limit))

    def set_holdings(self, find: Callable[[DatabaseRecord], Holding]) -> None:
        """Sets by what rule this process reaches each database."""
        self._pools.set_holdings(find)

    def holding(self, database_id: str) -> Holding:
        """Returns how this process reaches a database."""
        return self._pools.holding(database_id)

    def pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool before a database, for the statements of this process's clients."""
        return self._pools.pool(database_id)

    def lending_pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool for other processes' statements: always of connections held here."""
        return self._pools.lending_pool(database_id)

    def all_pools(self) -> Sequence[ConnectionPool]:
        """Returns the pools of all databases."""
        return self._pools.all()

    def trim_connections(self) -> None:
        """Closes connections that nobody has used for a while."""
        for pool in self.all_pools():
            pool.trim()

    def change_view(self, view: GroupView) -> None:
        """Takes the next view, ends pools of databases that leave, wakes who waits."""
        self.view = view
        self._pools.follow_view(self.may_serve)
        if self.usable_primary is not None:
            self._wake_waiters()

    @property
    def usable_primary(self) -> DatabaseRecord | None:
        """The primary, unless it has been leaving for too long to be given new work."""
        primary = self.view.primary
        if primary is None or (primary.id == self._doubted and self.relay is None):
            return None
        if not self.may_lead(primary.id):
            return None
        usable = self.view.takes_work(primary.id, self._clock(), self._drain_bound)
        return primary if usable else None

    def may_lead(self, database_id: str) -> bool:
        """Tells whether this process may use a database as primary now.

        Asked before a statement is sent, and again when its answer comes.
        """
        return self.right.allows(database_id, self._clock())

    def right_confirmed(self) -> None:
        """The lease of primaries has been renewed."""
        if self._primary_waiters and self.usable_primary is not None:
            self._wake_waiters()

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

    def record_proof(self, sent_at: float, position: LogPosition) -> None:
        """Notes that every commit acknowledged before `sent_at` is within `position`."""
        self._seeking.record(sent_at, position)

    def may_seek_proof(self) -> bool:
        """Tells whether a read without a floor should go to the primary to get one.

        While another is on its way there, its answer will serve both.
        """
        return self._seeking.may_begin()

    def begin_seeking(self) -> None:
        """A read goes to the primary, and its answer will be a floor for others."""
        self._seeking.begin()

    def end_seeking(self) -> None:
        """That read has ended, with an answer or without."""
        self._seeking.end()

    def wait_for_proof(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when a floor is known, or when one should be sought anew."""
        self._seeking.wait(callback)

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
        is_proven = primary is not None and self.right.is_proven(primary.id)
        options = ReadOptions(
            self.view,
            read_floor(route, self.history, need),
            primary,
            Proof.RIGHT if is_proven else Proof.LEAD,
            self._doubted if self.relay is None else None,
            need.caller,
        )
        return self._reads.targets(options, self.choice)

    def observe_position(self, database_id: str, position: LogPosition) -> None:
        """Notes the position in a database's answer, and that it answered."""
        now = self._clock()
        self._heard_at[database_id] = now
        self._lags.observe(database_id, position, now)

    def heard_at(self, database_id: str) -> float:
        """Returns when a database last answered a statement of this process."""
        return self._heard_at.get(database_id, LONG_AGO)

    def note_tried(self, database_id: str) -> None:
        """Notes that a statement is given to a database, so that its answer is awaited first."""
        self._lags.note_tried(database_id, self._clock())
        if self.choice is not None:
            self.choice.book.note_sent(database_id)

    def note_outcome(self, database_id: str, has_failed: bool, seconds: float) -> None:
        """Notes whether a database did what was asked of it, so many seconds later."""
        if self.choice is not None:
            self.choice.failures.note(database_id, has_failed, self._clock(), seconds)

    def take_load(self, database_id: str, holder: str, report: LoadReport) -> None:
        """Takes what a process that holds connections to a database reported of its load."""
        if self.choice is not None:
            self.choice.book.take(database_id, holder, report, self._clock())

    def load_report(self, database_id: str) -> LoadReport | None:
        """Returns the report of the load before a database; None if loads are not reported."""
        return None if self.choice is None else report_of(self.lending_pool(database_id))

    def roll_back(self, connection: DatabaseConnection, scheduler: Scheduler) -> None:
        """Ends a transaction on a connection, then takes the connection back into its pool."""
        self.roll_back_on(connection, self.pool(connection.database_id), scheduler)

    def roll_back_on(
        self, connection: DatabaseConnection, pool: ConnectionPool, scheduler: Scheduler
    ) -> None:
        """Ends a transaction on a connection of `pool`, then gives the connection back."""
        roll_back_then_release(connection, pool, scheduler)

    def may_serve(self, database_id: str) -> bool:
        """Tells whether a database may be given new work."""
        if not self.view.takes_work(database_id, self._clock(), self._drain_bound):
            return False
        return database_id not in self.view.draining_since or self._is_primary(database_id)

    def _is_primary(self, database_id: str) -> bool:
        primary = self.view.primary
        return primary is not None and primary.id == database_id

    def _wake_waiters(self) -> None:
        waiters, self._primary_waiters = self._primary_waiters, []
        for callback in waiters:
            callback()

    def _find_record(self, database_id: str) -> DatabaseRecord | None:
        return self.view.databases.get(database_id)

    def _record(self, event: PoolingEvent) -> None:
        self.record(event)
