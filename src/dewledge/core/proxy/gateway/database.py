"""One database at its gateway: its connections, its queue, its statements and transactions.

Dispatch is by pull: a connection that becomes free takes the next request.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.resources import DatabaseSpec
from dewledge.core.proxy.gateway.admission import Refusal
from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.open_failure_log import OpenFailureLog
from dewledge.core.proxy.gateway.report import DatabaseReport, GatewayRole
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.running_jobs import RunningJobs
from dewledge.core.proxy.gateway.statement_conclusion import StatementConclusion
from dewledge.core.proxy.gateway.transaction_operations import GatewayTransactions
from dewledge.core.proxy.gateway.transactions import Transaction, TransactionTable
from dewledge.core.proxy.gateway.waiting_room import (
    DRAINED,
    ISOLATED,
    UNREACHABLE,
    TimeNeeded,
    WaitingRoom,
)
from dewledge.core.proxy.jobs import JobDone, JobNotRun, JobResult, JobUnknown
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode

TIMED_OUT_SHARE = 0.95
"""A job that broke later than this share of its timeout timed out; earlier, the link broke."""


class GatewayDatabase:
    """Serves the requests for one database."""

    def __init__(
        self,
        context: GatewayContext,
        name: str,
        group: str,
        registry: RequestRegistry,
        monitor: GroupMonitor,
        table: TransactionTable,
        weight_of: Callable[[str], float],
    ) -> None:
        settings = context.settings
        self.name = name
        self.group = group
        self._context = context
        self._registry = registry
        self._monitor = monitor
        self._weight_of = weight_of
        self._address = ""
        self._slots = 0
        self._search_interval = settings.no_primary_interval
        self._connection_bound = 0
        self._running_statements = 0
        self._stands_in_until = float("-inf")
        self._stand_in_timer: Timer | None = None
        self._begin_next = True
        self._open_failures = OpenFailureLog(context, name)
        self._pool = ConnectionPool(context, name, self._opened, self._open_failed)
        monitor.on_answer(name, self._pool.retry_soon)
        self._jobs = RunningJobs(context, monitor.look_again)
        self._conclusion = StatementConclusion(name, registry, monitor)
        smoothing = settings.service_time_smoothing
        self._rate = ServiceRate(settings.initial_service_time, smoothing)
        self._transaction_rate = ServiceRate(settings.initial_service_time, smoothing)
        self._transactions = GatewayTransactions(
            context,
            name,
            table,
            registry,
            self._pool,
            self._jobs,
            monitor,
            self._transaction_rate,
            self._dispatch,
        )
        monitor.on_primary(name, self._transactions.handle_primary)
        self._statements = self._new_waiting_room(self._rate)
        self._begins = self._new_waiting_room(self._transaction_rate)
        self.role = GatewayRole.RELEASED
        self.drained = False

    @property
    def is_idle(self) -> bool:
        """Nothing waits or runs, and no transaction is open."""
        return not (self._has_waiting or len(self._jobs) or self._transactions.held)

    @property
    def is_disposable(self) -> bool:
        """Released, and neither work nor a connection is left."""
        return self.role is GatewayRole.RELEASED and self.is_idle and self._pool.is_empty

    def report(self) -> DatabaseReport:
        """Returns the present figures."""
        return DatabaseReport(
            database=self.name,
            role=self.role,
            drained=self.drained,
            waiting=len(self._statements) + len(self._begins),
            running=len(self._jobs),
            transactions=self._transactions.held,
            connections=self._pool.open_count,
            service_time=self._rate.service_time,
        )

    def configure(
        self, spec: DatabaseSpec | None, role: GatewayRole, drained: bool, now: float
    ) -> None:
        """Takes over role, limits and drain mark; a database without spec is gone for good."""
        if spec is not None:
            self._slots = spec.slots
            self._connection_bound = spec.max_connections
            self._address = spec.address
        self.role = role
        now_drained = drained or spec is None
        if now_drained and not self.drained:
            self._drain(now)
        elif self.drained and not now_drained:
            self._transactions.lift_bounds()
        self.drained = now_drained
        self._adjust_pool(now)
        self._dispatch(now)

    def submit(self, request: GatewayRequest, now: float) -> None:
        """Starts a statement or BEGIN, lets it wait, or refuses it at once."""
        refusal = self._refusal(request, now)
        if refusal is not None:
            self._refuse(request, refusal)
            return
        if self.role is not GatewayRole.ACTIVE:
            self._stand_in(now)
        if self._can_start(request):
            self._start(request, now)
            return
        weight = self._weight_of(request.message.caller)
        slots = self._transaction_limit if request.begins_transaction else self._statement_slots
        self._room_of(request).admit(request, weight, slots, now)
        self._dispatch(now)

    def operate(self, request: GatewayRequest, transaction: Transaction, now: float) -> None:
        """Runs an operation of an open transaction."""
        self._transactions.operate(request, transaction, now)

    def withdraw(self, request: GatewayRequest) -> bool:
        """Removes a request that waits; False if it has started."""
        return self._room_of(request).withdraw(request)

    def set_serving(self, serving: bool, now: float) -> None:
        """Cut off, this proxy gives up what waits and opens no connection."""
        if serving:
            self._pool.resume(now)
            return
        self._pool.hold()
        self._refuse_waiting(ISOLATED)

    def leave(self, now: float) -> None:
        """Bounds the open transactions; what waits and runs is still served."""
        limit = self._context.settings.leave_transaction_limit
        self._transactions.bound_all(limit, ErrorCode.LEAVING, now)

    @property
    def _has_waiting(self) -> bool:
        return bool(len(self._statements) or len(self._begins))

    @property
    def _has_free_slot(self) -> bool:
        return self._running_statements + self._transactions.held < self._slots

    @property
    def _transaction_limit(self) -> int:
        return max(1, int(self._slots * self._context.settings.transaction_share))

    @property
    def _statement_slots(self) -> int:
        free = self._slots - self._transactions.held
        if self._pool.open_count:
            free = min(free, self._pool.open_count)
        return max(free, 1)

    def _room_of(self, request: GatewayRequest) -> WaitingRoom:
        return self._begins if request.begins_transaction else self._statements

    def _new_waiting_room(self, rate: ServiceRate) -> WaitingRoom:
        needed = TimeNeeded(rate, lambda: self._monitor.confirmation_time)
        return WaitingRoom(self._context, rate, needed, self._refuse, self._expire)

    def _refusal(self, request: GatewayRequest, now: float) -> Refusal | None:
        if self._pool.failure is ErrorCode.DATABASE_UNREACHABLE and not self._pool.open_count:
            return msgspec.structs.replace(UNREACHABLE, retry_after=self._pool.retry_pause)
        writes = request.message.access is Access.WRITE
        if writes and self._monitor.waiting >= self._context.settings.max_unconfirmed:
            message = "too many writes wait for confirmation"
            return Refusal(ErrorCode.OVERLOADED, message, self._rate.service_time)
        return self._not_primary_refusal(request, now)

    def _not_primary_refusal(self, request: GatewayRequest, now: float) -> Refusal | None:
        """Refuses what needs a confirmed primary if a recent round shows that this is none."""
        if request.message.access is Access.READ and not request.message.confirm:
            return None
        code = self._monitor.write_refusal(self.name, now)
        if code is None:
            return None
        return Refusal(code, "not the primary of a majority", self._search_interval)

    def _refuse(self, request: GatewayRequest, refusal: Refusal) -> None:
        status = None
        if refusal.code is not ErrorCode.DATABASE_UNREACHABLE:
            status = self._monitor.statuses.status(self.name)
        self._registry.not_run(request, refusal.code, refusal.message, refusal.retry_after, status)

    def _expire(self, request: GatewayRequest) -> None:
        code = ErrorCode.DEADLINE_EXCEEDED
        if not self._pool.open_count and self._pool.failure is not None:
            code = self._pool.failure
        retry_after = self._rate.expected_wait(len(self._statements), self._statement_slots)
        self._registry.not_run(request, code, "not started before its deadline", retry_after)

    def _refuse_waiting(self, refusal: Refusal) -> None:
        self._statements.refuse_all(refusal)
        self._begins.refuse_all(refusal)

    def _drain(self, now: float) -> None:
        self._refuse_waiting(DRAINED)
        limit = self._context.settings.drain_transaction_limit
        self._transactions.bound_all(limit, ErrorCode.DATABASE_DRAINED, now)

    def _stand_in(self, now: float) -> None:
        """Serves in place of the active gateway: all connections, until it is asked no more."""
        linger = self._context.settings.stand_in_linger
        self._stands_in_until = now + linger
        self._context.cancel(self._stand_in_timer)
        self._stand_in_timer = self._context.call_at(now + linger, self._adjust_pool)
        self._adjust_pool(now)

    def _adjust_pool(self, now: float) -> None:
        self._pool.configure(self._address, self._pool_target(now), now)

    def _pool_target(self, now: float) -> int:
        if self.drained:
            return 0
        all_slots = min(self._slots, self._connection_bound)
        stands_in = self.role is GatewayRole.STANDBY and now < self._stands_in_until
        if self.role is GatewayRole.ACTIVE or stands_in or not self.is_idle:
            return all_slots
        if self.role is GatewayRole.STANDBY:
            return min(self._context.settings.standby_connections, all_slots)
        return 0

    def _dispatch(self, now: float) -> None:
        """Gives free connections to waiting requests, as long as slots last."""
        while self._has_waiting and self._pool.has_idle and self._has_free_slot:
            request = self._next_request(now)
            if request is None:
                break
            refusal = self._not_primary_refusal(request, now)
            if refusal is None:
                self._start(request, now)
            else:
                self._refuse(request, refusal)
        if self.role is not GatewayRole.ACTIVE and self.is_idle:
            self._adjust_pool(now)

    def _can_start(self, request: GatewayRequest) -> bool:
        """Tells whether a new request may start ahead of no one."""
        if self._has_waiting:
            return False
        if request.begins_transaction and self._transactions.held >= self._transaction_limit:
            return False
        return self._pool.has_idle and self._has_free_slot

    def _start(self, request: GatewayRequest, now: float) -> None:
        if request.begins_transaction:
            self._transactions.begin(request, now)
        else:
            self._run(request, now)

    def _next_request(self, now: float) -> GatewayRequest | None:
        """Takes a begin and a statement in turns while transactions have slots left."""
        rooms = [self._statements]
        if self._transactions.held < self._transaction_limit:
            rooms.insert(0 if self._begin_next else 1, self._begins)
        for room in rooms:
            request = room.next(now)
            if request is not None:
                self._begin_next = room is self._statements
                return request
        return None

    def _run(self, request: GatewayRequest, now: float) -> None:
        connection = self._pool.lend()
        self._running_statements += 1
        term_before = self._monitor.statuses.term(self.name)
        timeout = min(request.deadline - now, self._context.settings.statement_timeout)

        def ended(result: JobResult, at: float) -> None:
            self._running_statements -= 1
            self._settle_connection(connection, result, now, timeout, at)
            self._conclude(request, result, term_before, at)
            self._dispatch(at)

        self._jobs.start(connection, request.message, timeout, ended, now)

    def _settle_connection(
        self, connection: int, result: JobResult, started_at: float, timeout: float, now: float
    ) -> None:
        duration = now - started_at
        if not isinstance(result, JobNotRun):
            self._rate.note(duration)
        if isinstance(result, JobDone) or (
            isinstance(result, JobNotRun) and result.connection_usable
        ):
            self._pool.give_back(connection, now)
            return
        if result.code is ErrorCode.CONNECTION_LOST and duration < timeout * TIMED_OUT_SHARE:
            # Whatever cut this connection has most likely cut the idle ones as well.
            self._pool.close_idle()
        self._pool.discard(connection, now)

    def _conclude(
        self, request: GatewayRequest, result: JobResult, term_before: int, now: float
    ) -> None:
        if isinstance(result, JobNotRun):
            self._conclusion.conclude_not_run(request, result, now)
        elif isinstance(result, JobUnknown):
            self._conclusion.conclude_unknown(request, result, now)
        elif request.message.access is Access.READ:
            self._conclusion.conclude_read(request, result, term_before, now)
        else:
            self._conclusion.conclude_write(request, result, term_before, now)

    def _opened(self, now: float) -> None:
        self._open_failures.note_success()
        self._dispatch(now)

    def _open_failed(self, code: ErrorCode, now: float) -> None:
        self._open_failures.note_failure(code, now)
        if code is ErrorCode.CONNECTION_LIMIT or self._pool.open_count:
            return
        self._refuse_waiting(UNREACHABLE)
        self._monitor.look_again(now)
