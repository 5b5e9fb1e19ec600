"""The connection pool for one database.

`ConnectionPool` combines these parts:

- `pool_connections`: the connections, their number and limit; `connection_openings` opens them.
- `pool_slots`: how many statements may be at the database concurrently.
- `connection_dispatch`: which statement gets a connection next.
- `caller_openings`: for which callers connections are opened and closed.
- `pool_waits`: the queue, expected waits, refusals and retry times.
- `databases/database_silence`: whether the database has stopped answering.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.databases.database_silence import DatabaseSilence
from dewledge.core.pooler.load.slot_use import SlotUse
from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.load.wait_counts import WaitCounts
from dewledge.core.pooler.pool.caller_openings import CallerOpenings
from dewledge.core.pooler.pool.connection_dispatch import ConnectionDispatch
from dewledge.core.pooler.pool.connection_openings import ConnectionOpenings, OpeningOutcomes
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.fair_share_watch import OverFairShare
from dewledge.core.pooler.pool.idle_connections import IdleConnections
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.pool_connections import PoolConnections
from dewledge.core.pooler.pool.pool_slots import PoolSlots
from dewledge.core.pooler.pool.pool_waits import PoolWaits
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.statements.statements import SLOT_STATEMENTS, Reply, StatementKind
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode


class PoolRules(msgspec.Struct, frozen=True):
    """Optional rules of a pool.

    Attributes:
        silence: Detects that the database has stopped answering; None disables it.
        is_fair: Whether callers get fair shares of slots and connections; otherwise arrival order
            decides.
    """

    silence: DatabaseSilence | None = None
    is_fair: bool = True


class ConnectionPool:
    """Assigns connections to statements: the most recently used first, preferring equal session
    values.

    A connection belongs to one caller. Times are of the steady clock, in seconds.
    """

    def __init__(
        self,
        database_id: str,
        limit: int,
        opener: Opener,
        clock: Callable[[], float],
        window: SlotWindow | None = None,
        rules: PoolRules = PoolRules(),
    ) -> None:
        """Creates an empty pool.

        Args:
            database_id: The database that the connections lead to.
            limit: The maximum number of connections or channels.
            opener: Opens connections.
            clock: Returns the time of the steady clock.
            window: Limits the statements at the database; None if connection holders limit them.
            rules: Optional rules.
        """
        self.database_id = database_id
        self.is_retired = False
        self.last_served_at = -float("inf")
        """When the database last executed a statement of this process."""
        self.slot_use = SlotUse()
        """Slot time by caller."""
        self._clock = clock
        self._silence = rules.silence or DatabaseSilence(clock, is_judged=False)
        outcomes = OpeningOutcomes(self._on_opened, self._on_failed, self._on_closed)
        self._openings = ConnectionOpenings(database_id, opener, clock, self._silence, outcomes)
        self._connections = PoolConnections(limit, IdleConnections(clock), self._openings)
        self._slots = PoolSlots(self._connections, window)
        self._waits = PoolWaits(clock, self._slots.capacity, rules.is_fair)
        self._caller_openings = CallerOpenings(
            self._connections, self._slots, self._waits.queue, rules.is_fair
        )
        self._dispatch = ConnectionDispatch(
            clock, self._connections, self._slots, self._waits, self._caller_openings
        )

    @property
    def limit(self) -> int:
        """The maximum number of connections or channels."""
        return self._connections.limit

    @property
    def in_use(self) -> int:
        """The number of connections that statements use."""
        return self._connections.in_use

    @property
    def size(self) -> int:
        """The number of all connections, including those being opened."""
        return self._connections.size

    @property
    def waiting(self) -> int:
        """The number of statements that wait for a connection."""
        return len(self._waits.queue)

    @property
    def urgent_waiting(self) -> int:
        """The number of waiting statements with the urgency of the most urgent one."""
        return self._waits.queue.most_urgent_count

    @property
    def running(self) -> int:
        """The number of statements that are at the database or about to be sent there."""
        return self._connections.running

    @property
    def openings(self) -> int:
        """The number of connections that are being opened."""
        return self._openings.total

    @property
    def window_size(self) -> int:
        """How many statements may be at the database concurrently."""
        return self._slots.size

    @property
    def service_rate(self) -> ServiceRate:
        """The usual time for which a statement holds a slot, from its first sending to its
        answer."""
        return self._waits.rates.service

    @property
    def wait_counts(self) -> WaitCounts:
        """Counters of the accuracy of expected waits."""
        return self._waits.record.counts

    @property
    def load(self) -> int:
        """The number of statements that use a connection or wait for one."""
        return self._connections.in_use + len(self._waits.queue)

    @property
    def is_full(self) -> bool:
        """Whether the database refuses statements because its slots are in use."""
        return self._slots.is_full

    @property
    def is_unreachable(self) -> bool:
        """Whether an attempt to open a connection has just failed."""
        return self._openings.is_unreachable

    @property
    def is_silent(self) -> bool:
        """Whether replies are outstanding and the database has stopped answering."""
        return self._silent_from() <= self._clock()

    def has_idle(self, caller: str) -> bool:
        """Tells whether there is an idle connection of a caller."""
        return self._connections.idle.has(caller)

    def change_limit(self, limit: int) -> None:
        """Sets another limit; connections beyond it are closed when they are released."""
        self._connections.change_limit(limit)

    def acquire(self, waiter: Waiter, values: dict[str, str]) -> None:
        """Assigns a connection now or later, or denies it."""
        if self.is_retired:
            waiter.deny(Denial.CLOSED)
            return
        if self._rejects_waiting(waiter) and not self._silence.try_probe():
            waiter.deny(Denial.UNREACHABLE)
            return
        self._waits.arrive(waiter)
        if self._dispatch.serve_on_arrival(waiter, values):
            return
        if self._connections.has_no_usable and self.is_unreachable:
            waiter.deny(Denial.UNREACHABLE)
            return
        if isinstance(self._waits.add(waiter), WaitUntil):
            self._dispatch.serve_waiters()

    def recheck(self, waiter: Waiter) -> Verdict:
        """Refuses a waiting statement that can't be served in time, or returns when to check
        again."""
        if self._rejects_waiting(waiter):
            self._waits.queue.remove(waiter)
            waiter.deny(Denial.UNREACHABLE)
            return Refuse(RefusalCause.NO_CONNECTION, 0.0)
        verdict = self._waits.recheck(waiter)
        if isinstance(verdict, WaitUntil):
            return WaitUntil(min(verdict.at, self._silent_from()))
        return verdict

    def reserve_retry_time(self) -> float:
        """Reserves a retry time for a statement that gave up here, in seconds from now."""
        return self._waits.reserve_retry_time(None)

    def on_over_fair_share(self, callback: Callable[[OverFairShare], None]) -> None:
        """Sets the callback for callers over their fair share, which is called at most once a
        second."""
        self._waits.on_over_fair_share(callback)

    def record_answer(
        self,
        kind: StatementKind,
        reply: Reply,
        held_seconds: float | None = None,
        connection: DatabaseConnection | None = None,
    ) -> None:
        """Records the answer to a statement; serves waiting statements if this process holds the
        connections.

        Between the statements of a transaction its slot is free for others.

        Args:
            kind: The kind of the statement.
            reply: The answer of the database.
            held_seconds: How long the statement held its slot, including attempts that the database
                refused.
            connection: The connection of this pool that the statement used.
        """
        self._silence.record_answer()
        is_served = kind in SLOT_STATEMENTS and reply.failure is None
        if is_served:
            self.last_served_at = self._clock()
            if held_seconds is not None:
                self._waits.rates.record_slot_time(held_seconds, self._clock())
                self._settle(connection, held_seconds)
        if not self._slots.is_bounded:
            return
        if is_served:
            self._slots.record_served()
        elif reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED:
            self._slots.record_refused(self._clock())
        self._dispatch.serve_waiters()

    def release(self, connection: DatabaseConnection) -> None:
        """Returns a connection to the pool; it is closed if its state is unknown."""
        self._connections.mark_returned(connection)
        self._waits.rates.record_loan_time(self._clock() - connection.loan_began_at)
        connection.end_loan()
        has_capacity = not self.is_retired and self._connections.is_below_limit
        if has_capacity and self._connections.is_reusable(connection):
            self._connections.idle.add(connection)
        else:
            connection.close()
        self._dispatch.serve_waiters()

    def trim(self) -> None:
        """Closes connections that have been idle for too long, the longest idle first."""
        self._connections.idle.trim()

    def switch_route(self, window: SlotWindow | None = None) -> None:
        """Switches to another route to the database: connections of the old route are closed."""
        self._openings.begin_generation()
        self._slots.replace_window(window)
        self._openings.clear_failure()
        self.close_idle()

    def retire(self) -> None:
        """Stops assigning connections; those in use are closed when they are released."""
        self.is_retired = True
        self._connections.idle.close_all()
        self._waits.deny_all(Denial.CLOSED)

    def clear_failure(self) -> None:
        """Allows openings again at once after a failed one; for a changed route to the database."""
        self._openings.clear_failure()

    def close_idle(self) -> None:
        """Closes all idle connections."""
        self._connections.idle.close_all()

    def _silent_from(self) -> float:
        """Returns when the database will count as silent if it answers nothing until then.

        Infinite if other processes hold the connections: they judge the database, and this process
        judges them by their links (`load/holder_health`).
        """
        if not self._slots.is_bounded:
            return float("inf")
        return self._silence.silent_at(
            self._connections.in_use_connections, self._waits.rates.slot_seconds
        )

    def _rejects_waiting(self, waiter: Waiter) -> bool:
        """Tells whether a statement may not wait because the database is silent."""
        return waiter.demand is not Demand.INTERNAL and self._silence.detect_silence(
            self._silent_from()
        )

    def _settle(self, connection: DatabaseConnection | None, held_seconds: float) -> None:
        """Charges the caller of a statement for its actual slot time."""
        if connection is not None and connection.charge is not None:
            self._waits.settle(connection.charge, held_seconds)
            self.slot_use.record(connection.caller, held_seconds)

    def _on_opened(self, connection: DatabaseConnection, seconds: float) -> None:
        self._waits.rates.record_opening_time(seconds)
        if self.is_retired or connection.generation != self._openings.generation:
            connection.close()
            self._caller_openings.open_if_useful()
            return
        self._openings.clear_failure()
        self._connections.idle.add(connection)
        self._dispatch.serve_waiters()

    def _on_failed(self) -> None:
        if self._connections.has_no_usable:
            self._waits.deny_all(Denial.UNREACHABLE)

    def _on_closed(self, connection: DatabaseConnection) -> None:
        self._connections.idle.discard(connection)
        self._caller_openings.open_if_useful()
