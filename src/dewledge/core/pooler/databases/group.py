"""The mutable state of a database group: its view, proven positions, pools and primary.

`Group` combines `group_view` (the registered databases and their roles), `group_pools`,
`proof_request`, `read_order` and `replica_lag`.

`usable_primary` and `failover/primary_lease` decide whether this process may use the primary now:
it must be reachable, directly or through a relay, this process's lease must allow it (`may_lead`),
and it must not have been draining for longer than the drain bound.
"""

import math
from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_pools import GroupPools
from dewledge.core.pooler.databases.group_view import LONG_AGO, DatabaseRecord, GroupView
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.databases.proof_request import ProofRequest
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
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator, load_report_of
from dewledge.core.pooler.statements.rollback import roll_back_then_release
from dewledge.core.pooler.statements.targets import Proof, ReadRequirements, Target, read_floor
from dewledge.core.shared.positions import LogPosition

LOST_LOG_TIMEOUT_SECONDS = 30.0
"""Seconds for which a primary that lacks known commits is refused, while no database holds them."""
NO_POSITION = LogPosition(0, 0)
"""The lowest position of a log."""


class Group:
    """Holds a group's current view and everything this process tracks about its databases."""

    def __init__(
        self,
        name: str,
        locality: Locality,
        opener: Opener,
        clock: Callable[[], float],
        drain_bound: float,
        direct_opener: Opener | None = None,
        primary_lease: PrimaryLease | None = None,
        read_choice: CompletionEstimator | None = None,
        judges_silence: bool = True,
        is_fair: bool = True,
    ) -> None:
        """Creates a group without databases.

        opener: opens connections, or channels through holders, for this process's clients.
        drain_bound: seconds for which a draining primary still gets new work. direct_opener: opens
        connections to databases for statements of other processes. right: the lease on the primary;
        by default the platform fences old primaries. choice: orders databases for reads by load
        reports; None to order by distance and by this process's own statements. judges_silence:
        whether silence of directly reached databases is detected. is_fair: whether callers get fair
        shares of slots and connections.
        """
        self.view = GroupView(name)
        self.primary_lease = primary_lease or PrimaryLease(Fencing.PLATFORM)
        self.history = FreshnessHistory()
        self.read_choice = read_choice
        """Orders databases for reads by load reports; None if these are disabled."""
        self.on_event: Callable[[PoolingEvent], None] = lambda event: None
        """Logs events of the group's databases."""
        self.relay: str | None = None
        """The address of a process that can reach the suspected database, None for none."""
        self.newest_term = 0
        """Highest term in an answer of a database to this process, 0 before the first answer."""
        self._clock = clock
        self._drain_bound = drain_bound
        self._suspected: str | None = None
        self._answered_at: dict[str, float] = {}
        self._log_lost_since: float | None = None
        self._observed_terms: dict[str, int] = {}
        self._lags = ReplicaLags(self.history)
        self._proof_request = ProofRequest(self.history, clock)
        self._primary_waiters: list[Callable[[], None]] = []
        make = PoolFactory(name, clock, self._record_event, judges_silence, is_fair)
        self._pools = GroupPools(make, self._find_record, opener, direct_opener or opener)
        self._reads = ReadOrder(locality, clock, self._lags, self._pools)

    @property
    def pools(self) -> dict[str, ConnectionPool]:
        """The pools for statements of this process's clients, by database id."""
        return self._pools.client_pools

    def set_connection_limit(self, limit: int) -> None:
        """Makes this process connect directly to each database, with up to `limit` connections."""
        self.set_holdings(lambda _record: Holding(limit))

    def set_holdings(self, find: Callable[[DatabaseRecord], Holding]) -> None:
        """Sets the function that decides how this process reaches each database."""
        self._pools.set_holdings(find)

    def holding(self, database_id: str) -> Holding:
        """Returns how this process reaches a database."""
        return self._pools.holding(database_id)

    def pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool of a database for statements of this process's clients."""
        return self._pools.pool(database_id)

    def peer_pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool for statements of other processes; its connections are always direct."""
        return self._pools.peer_pool(database_id)

    def all_pools(self) -> Sequence[ConnectionPool]:
        """Returns the pools of all databases."""
        return self._pools.all_pools()

    def trim_connections(self) -> None:
        """Closes connections that have been idle for a while."""
        for pool in self.all_pools():
            pool.trim()

    def change_view(self, view: GroupView) -> None:
        """Replaces the view, retires pools of removed databases and wakes waiting statements."""
        self.view = view
        self._pools.on_view_changed(self.may_serve)
        if self.usable_primary is not None:
            self._wake_waiters()

    @property
    def usable_primary(self) -> DatabaseRecord | None:
        """The primary if it can be reached and this process may use it now, else None."""
        primary = self.view.primary
        if primary is None or (primary.id == self._suspected and self.relay is None):
            return None
        if not self.may_lead(primary.id):
            return None
        usable = self.view.accepts_work(primary.id, self._clock(), self._drain_bound)
        return primary if usable else None

    @property
    def min_primary_position(self) -> LogPosition:
        """A position that the present primary has reached: its term and log never go back.

        The lowest one if no database has shown such a position for LOST_LOG_TIMEOUT_SECONDS since
        the primary's log was found to be lost: the group would stay without a primary for good.
        """
        lost_since = self._log_lost_since
        if lost_since is not None and self._clock() >= lost_since + LOST_LOG_TIMEOUT_SECONDS:
            return NO_POSITION
        return self._newest_known_position

    @property
    def _newest_known_position(self) -> LogPosition:
        proof = self.history.newest
        claim = self.primary_lease.claim
        term = max(self.newest_term, 0 if claim is None else claim.term)
        return max(LogPosition(term, 0), NO_POSITION if proof is None else proof.position)

    def record_lost_log(self) -> None:
        """Records that a database answered as primary and lacks commits that the group had."""
        if self._log_lost_since is None:
            self._log_lost_since = self._clock()

    def serves_until(self, database_id: str) -> float:
        """Returns until when a draining primary gets work; infinity if it is not draining."""
        since = self.view.draining_since.get(database_id)
        return math.inf if since is None else since + self._drain_bound

    def may_lead(self, database_id: str) -> bool:
        """Tells whether this process may use a database as primary now.

        Must be checked before a statement is sent and again when its answer arrives.
        """
        return self.primary_lease.allows(database_id, self._clock())

    def on_lease_renewed(self) -> None:
        """Wakes statements that wait for a primary; called when its lease was confirmed."""
        if self._primary_waiters and self.usable_primary is not None:
            self._wake_waiters()

    def set_suspected(self, database_id: str | None, relay: str | None) -> None:
        """Sets the database suspected to be unreachable, and a relay process that can reach it.

        Without a relay that database is not among the targets of statements. None means no
        database, or no relay.
        """
        if (database_id, relay) == (self._suspected, self.relay):
            return
        self._suspected = database_id
        self.relay = relay
        if database_id is not None:
            self.pool(database_id).close_idle()
            self.pool(database_id).clear_failure()
        if self.usable_primary is not None:
            self._wake_waiters()

    def relay_to(self, database_id: str) -> str | None:
        """Returns the address of the relay through which a database is reached, None for none."""
        return self.relay if database_id == self._suspected else None

    def record_proof(self, sent_at: float, position: LogPosition) -> None:
        """Records that `position` covers every commit acknowledged before `sent_at`."""
        self._proof_request.record(sent_at, position)

    def may_request_proof(self) -> bool:
        """Tells whether a read without a floor should go to the primary to obtain one.

        False while another read is doing so, because its answer serves both.
        """
        return self._proof_request.may_begin()

    def begin_proof_request(self) -> None:
        """Records that a read was sent to the primary to obtain a floor."""
        self._proof_request.begin()

    def end_proof_request(self) -> None:
        """Records that the read recorded by `begin_proof_request` ended, answered or not."""
        self._proof_request.end()

    def wait_for_proof(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when a proof arrives or the read that requested one has ended."""
        self._proof_request.wait(callback)

    def wait_for_primary(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when there is a usable primary."""
        self._primary_waiters.append(callback)

    def refute_primary(self, database_id: str) -> None:
        """Records that a database refused a statement because it is not the primary."""
        self.change_view(self.view.with_refuted(database_id))

    def targets(self, route: Route, writes: bool, need: ReadRequirements) -> Sequence[Target]:
        """Returns the databases that may serve a statement, best first."""
        primary = self.usable_primary
        if writes:
            return [] if primary is None else [Target(primary, Proof.NONE)]
        is_proven = primary is not None and self.primary_lease.is_leadership_proven(primary.id)
        options = ReadOptions(
            self.view,
            read_floor(route, self.history, need),
            primary,
            Proof.LEASE if is_proven else Proof.PRIMARY_TRANSACTION,
            self._suspected if self.relay is None else None,
            need.caller,
        )
        return self._reads.targets(options, self.read_choice)

    def observe_position(self, database_id: str, position: LogPosition) -> None:
        """Records the log position in a database's answer, and the time of the answer."""
        now = self._clock()
        self._answered_at[database_id] = now
        self._observed_terms[database_id] = position.term
        if self._log_lost_since is not None and position >= self._newest_known_position:
            self._log_lost_since = None
        self.newest_term = max(self.newest_term, position.term)
        self._lags.observe(database_id, position, now)

    def observed_term(self, database_id: str) -> int:
        """Returns the term in the last answer of a database to this process, 0 without one."""
        return self._observed_terms.get(database_id, 0)

    def last_answer_at(self, database_id: str) -> float:
        """Returns when a database last sent this process an answer with a log position."""
        return self._answered_at.get(database_id, LONG_AGO)

    def record_sent(self, database_id: str) -> None:
        """Records that a statement is sent to a database, for its lag estimate and its load."""
        self._lags.record_sent(database_id, self._clock())
        if self.read_choice is not None:
            self.read_choice.load_table.record_sent(database_id)

    def record_outcome(self, database_id: str, has_failed: bool, seconds: float) -> None:
        """Records whether a request to a database failed, and how many seconds it took."""
        if self.read_choice is not None:
            self.read_choice.failures.record(database_id, has_failed, self._clock(), seconds)

    def record_load_report(self, database_id: str, holder: str, report: LoadReport) -> None:
        """Records a load report for a database from a process that holds connections to it."""
        if self.read_choice is not None:
            self.read_choice.load_table.update(database_id, holder, report, self._clock())

    def load_report(self, database_id: str) -> LoadReport | None:
        """Returns this process's load report for a database; None if reports are disabled."""
        return None if self.read_choice is None else load_report_of(self.peer_pool(database_id))

    def roll_back(self, connection: DatabaseConnection, scheduler: Scheduler) -> None:
        """Rolls back a transaction on a client's connection, then releases it to its pool."""
        self.roll_back_on(connection, self.pool(connection.database_id), scheduler)

    def roll_back_on(
        self, connection: DatabaseConnection, pool: ConnectionPool, scheduler: Scheduler
    ) -> None:
        """Rolls back a transaction on a connection, then releases it to `pool`."""
        roll_back_then_release(connection, pool, scheduler)

    def may_serve(self, database_id: str) -> bool:
        """Tells whether a database may get new work.

        A draining replica may not; a draining primary may until the drain bound.
        """
        if not self.view.accepts_work(database_id, self._clock(), self._drain_bound):
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

    def _record_event(self, event: PoolingEvent) -> None:
        self.on_event(event)
