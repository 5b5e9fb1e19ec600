"""One database at its gateway: its connections, its queue, its statements and transactions.

Dispatch is by pull: a connection that becomes free takes the next request.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.resources import DatabaseSpec
from dewledge.core.proxy.gateway.admission import Refusal
from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.connection_target import ConnectionTarget
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.database_queues import DatabaseQueues
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.open_failure_log import OpenFailureLog
from dewledge.core.proxy.gateway.open_transactions import OpenTransactions
from dewledge.core.proxy.gateway.report import DatabaseReport, GatewayRole
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.running_jobs import RunningJobs
from dewledge.core.proxy.gateway.statement_conclusion import StatementConclusion
from dewledge.core.proxy.gateway.statement_runner import StatementRunner
from dewledge.core.proxy.gateway.transaction_operations import GatewayTransactions
from dewledge.core.proxy.gateway.transactions import Transaction, TransactionTable
from dewledge.core.proxy.gateway.waiting_room import (
    DRAINED,
    ISOLATED,
    UNREACHABLE,
    TimeNeeded,
    WaitingRoom,
)
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode


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
        self._search_interval = settings.no_primary_interval
        self._stand_in_timer: Timer | None = None
        self._target = ConnectionTarget()
        self._open_failures = OpenFailureLog(context, name)
        self._pool = ConnectionPool(context, name, self._opened, self._open_failed)
        monitor.on_answer(name, self._pool.retry_soon)
        self._jobs = RunningJobs(context, monitor.look_again)
        smoothing = settings.service_time_smoothing
        self._rate = ServiceRate(settings.initial_service_time, smoothing)
        conclusion = StatementConclusion(name, registry, monitor)
        self._runner = StatementRunner(
            conclusion, self._pool, self._jobs, monitor.statuses, self._rate, self._dispatch
        )
        transaction_rate = ServiceRate(settings.initial_service_time, smoothing)
        self._transactions = OpenTransactions(
            context, name, table, self._pool, transaction_rate, self._dispatch
        )
        self._operations = GatewayTransactions(
            context, name, registry, self._jobs, monitor, self._transactions
        )
        monitor.on_primary(name, self._operations.handle_primary)
        self._queues = DatabaseQueues(
            self._new_waiting_room(self._rate), self._new_waiting_room(transaction_rate)
        )

    @property
    def role(self) -> GatewayRole:
        """What this proxy is for the database."""
        return self._target.role

    @property
    def drained(self) -> bool:
        """Whether the database takes no new work."""
        return self._target.drained

    @property
    def is_idle(self) -> bool:
        """Nothing waits or runs, and no transaction is open."""
        return not (len(self._queues) or len(self._jobs) or self._transactions.held)

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
            waiting=len(self._queues),
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
            self._target.configure(spec)
        self._target.role = role
        now_drained = drained or spec is None
        if now_drained and not self.drained:
            self._drain(now)
        elif self.drained and not now_drained:
            self._transactions.lift_bounds()
        self._target.drained = now_drained
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
        self._queues.room_of(request).admit(request, weight, slots, now)
        self._dispatch(now)

    def operate(self, request: GatewayRequest, transaction: Transaction, now: float) -> None:
        """Runs an operation of an open transaction."""
        self._operations.operate(request, transaction, now)

    def withdraw(self, request: GatewayRequest) -> bool:
        """Removes a request that waits; False if it has started."""
        return self._queues.room_of(request).withdraw(request)

    def set_serving(self, serving: bool, now: float) -> None:
        """Cut off, this proxy gives up what waits and opens no connection."""
        if serving:
            self._pool.resume(now)
            return
        self._pool.hold()
        self._queues.refuse_all(ISOLATED)

    def leave(self, now: float) -> None:
        """Bounds the open transactions; what waits and runs is still served."""
        limit = self._context.settings.leave_transaction_limit
        self._transactions.bound_all(limit, ErrorCode.LEAVING, now)

    @property
    def _has_free_slot(self) -> bool:
        return self._runner.running + self._transactions.held < self._target.slots

    @property
    def _transaction_limit(self) -> int:
        return max(1, int(self._target.slots * self._context.settings.transaction_share))

    @property
    def _may_begin(self) -> bool:
        return self._transactions.held < self._transaction_limit

    @property
    def _statement_slots(self) -> int:
        free = self._target.slots - self._transactions.held
        if self._pool.open_count:
            free = min(free, self._pool.open_count)
        return max(free, 1)

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
        retry_after = self._rate.expected_wait(self._queues.statement_count, self._statement_slots)
        self._registry.not_run(request, code, "not started before its deadline", retry_after)

    def _drain(self, now: float) -> None:
        self._queues.refuse_all(DRAINED)
        limit = self._context.settings.drain_transaction_limit
        self._transactions.bound_all(limit, ErrorCode.DATABASE_DRAINED, now)

    def _stand_in(self, now: float) -> None:
        """Serves in place of the active gateway: all connections, until it is asked no more."""
        linger = self._context.settings.stand_in_linger
        self._target.stand_in(now + linger)
        self._context.cancel(self._stand_in_timer)
        self._stand_in_timer = self._context.call_at(now + linger, self._adjust_pool)
        self._adjust_pool(now)

    def _adjust_pool(self, now: float) -> None:
        standby = self._context.settings.standby_connections
        count = self._target.count(self.is_idle, standby, now)
        self._pool.configure(self._target.address, count, now)

    def _dispatch(self, now: float) -> None:
        """Gives free connections to waiting requests, as long as slots last."""
        while len(self._queues) and self._pool.has_idle and self._has_free_slot:
            request = self._queues.next(self._may_begin, now)
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
        if len(self._queues):
            return False
        if request.begins_transaction and not self._may_begin:
            return False
        return self._pool.has_idle and self._has_free_slot

    def _start(self, request: GatewayRequest, now: float) -> None:
        if request.begins_transaction:
            self._operations.begin(request, now)
        else:
            self._run(request, now)

    def _run(self, request: GatewayRequest, now: float) -> None:
        timeout = min(request.deadline - now, self._context.settings.statement_timeout)
        self._runner.run(request, timeout, now)

    def _opened(self, now: float) -> None:
        self._open_failures.note_success()
        self._dispatch(now)

    def _open_failed(self, code: ErrorCode, now: float) -> None:
        self._open_failures.note_failure(code, now)
        if code is ErrorCode.CONNECTION_LIMIT or self._pool.open_count:
            return
        self._queues.refuse_all(UNREACHABLE)
        self._monitor.look_again(now)
