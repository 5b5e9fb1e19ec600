"""Runs the operations of the transactions of one database, and ends those that overstay."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.gateway.confirmation import Claim, Verdict
from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.running_jobs import RunningJobs
from dewledge.core.proxy.gateway.statement_conclusion import StatementConclusion
from dewledge.core.proxy.gateway.transactions import RunningOperation, Transaction, TransactionTable
from dewledge.core.proxy.jobs import JobDone, JobNotRun, JobResult, JobUnknown
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode

ROLLBACK_TIMEOUT = 1.0
"""Least time for a rollback, seconds: it is worth waiting for, as it saves the connection."""


class _Bound(msgspec.Struct, frozen=True):
    """When the open transactions end at the latest, and the code that tells why."""

    when: float
    code: ErrorCode


class GatewayTransactions:
    """The transactions of one database. `held` counts the slots they take."""

    def __init__(
        self,
        context: GatewayContext,
        database: str,
        table: TransactionTable,
        registry: RequestRegistry,
        pool: ConnectionPool,
        jobs: RunningJobs,
        monitor: GroupMonitor,
        rate: ServiceRate,
        on_slot_free: Callable[[float], None],
    ) -> None:
        self._rate = rate
        self._on_slot_free = on_slot_free
        self._context = context
        self._database = database
        self._table = table
        self._registry = registry
        self._pool = pool
        self._jobs = jobs
        self._monitor = monitor
        self._conclusion = StatementConclusion(database, registry, monitor)
        self._open: dict[str, Transaction] = {}
        self._beginning = 0
        self._bound: _Bound | None = None

    @property
    def held(self) -> int:
        """Transactions open or beginning; each holds a connection and a slot."""
        return len(self._open) + self._beginning

    def begin(self, request: GatewayRequest, now: float) -> None:
        """Runs a BEGIN on an idle connection, which is then reserved."""
        connection = self._pool.lend()
        self._beginning += 1
        term_before = self._monitor.statuses.term(self._database)

        def ended(result: JobResult, at: float) -> None:
            self._begin_ended(request, connection, term_before, result, at)

        self._jobs.start(connection, request.message, self._timeout(request, now), ended, now)

    def operate(self, request: GatewayRequest, transaction: Transaction, now: float) -> None:
        """Runs one operation of an open transaction, or refuses it."""
        if transaction.busy:
            message = "another operation of this transaction is running"
            self._registry.not_run(request, ErrorCode.TRANSACTION_BUSY, message)
            return
        if request.deadline <= now:
            self._registry.not_run(request, ErrorCode.DEADLINE_EXCEEDED)
            return
        self._context.cancel(transaction.idle_timer)
        timeout = self._timeout(request, now)
        operation = request.message.operation
        if operation is Operation.COMMIT:
            transaction.commit_sent = True
        elif operation is Operation.ROLLBACK:
            timeout = max(timeout, ROLLBACK_TIMEOUT)
        elif request.message.access is Access.WRITE:
            transaction.wrote = True
        term_before = self._monitor.statuses.term(self._database)

        def ended(result: JobResult, at: float) -> None:
            self._operation_ended(transaction, result, at)

        job_id = self._jobs.start(transaction.connection, request.message, timeout, ended, now)
        transaction.running = RunningOperation(request, job_id, term_before)

    def handle_primary(self, primary: str, term: int, now: float) -> None:
        """Ends the writing transactions whose database was replaced by `primary` in a later term.

        They can never be committed, and their database may be one that does not answer any more.
        """
        if primary == self._database:
            return
        for transaction in list(self._open.values()):
            if transaction.wrote and transaction.term < term:
                self._end_replaced(transaction, now)

    def bound_all(self, limit: float, code: ErrorCode, now: float) -> None:
        """Gives every open transaction `limit` more seconds; later operations are told `code`."""
        self._bound = _Bound(now + limit, code)
        for transaction in self._open.values():
            self._apply_bound(transaction, self._bound)

    def lift_bounds(self) -> None:
        """Takes back `bound_all`."""
        self._bound = None
        for transaction in self._open.values():
            self._context.cancel(transaction.bound_timer)
            transaction.bound_timer = None

    def _begin_ended(
        self,
        request: GatewayRequest,
        connection: int,
        term_before: int,
        result: JobResult,
        now: float,
    ) -> None:
        self._beginning -= 1
        if isinstance(result, JobDone):
            self._begun(request, connection, term_before, result, now)
        elif isinstance(result, JobNotRun) and result.connection_usable:
            self._pool.give_back(connection, now)
            self._conclusion.conclude_not_run(request, result, now)
            self._on_slot_free(now)
        else:
            self._pool.discard(connection, now)
            self._on_slot_free(now)
            self._monitor.look_again(now)
            self._registry.not_run(request, result.code, result.message)

    def _begun(
        self,
        request: GatewayRequest,
        connection: int,
        term_before: int,
        result: JobDone,
        now: float,
    ) -> None:
        message = request.message
        wrote = message.access is Access.WRITE
        term = max(result.position.term, term_before)
        transaction = self._table.begin(
            message.caller, self._database, connection, wrote, term, now
        )
        self._open[transaction.transaction_id] = transaction
        settings = self._context.settings
        lost = ErrorCode.TRANSACTION_LOST
        transaction.age_timer = self._end_at(transaction, now + settings.transaction_limit, lost)
        self._arm_idle_timer(transaction, now)
        if self._bound is not None:
            self._apply_bound(transaction, self._bound)
        refusal = self._begin_refusal(request, result, now)
        if refusal is not None:
            self._end(transaction, lost, now)
            self._registry.not_run(request, refusal)
        elif message.confirm and message.access is Access.READ:
            self._confirm_begin(request, transaction, term_before, result, now)
        else:
            self._registry.done(request, self._database, result, transaction.transaction_id)

    def _begin_refusal(
        self, request: GatewayRequest, result: JobDone, now: float
    ) -> ErrorCode | None:
        if request.cancelled or request.peer_lost:
            return ErrorCode.CANCELLED
        if request.deadline <= now:
            return ErrorCode.DEADLINE_EXCEEDED
        if request.message.access is Access.READ:
            return self._conclusion.read_refusal(request, result)
        return None

    def _confirm_begin(
        self,
        request: GatewayRequest,
        transaction: Transaction,
        term_before: int,
        result: JobDone,
        now: float,
    ) -> None:
        def answer(verdict: Verdict, at: float) -> None:
            refusal = self._begin_refusal(request, result, at)
            if verdict is Verdict.CONFIRMED and refusal is None:
                self._registry.done(request, self._database, result, transaction.transaction_id)
                return
            self._end(transaction, ErrorCode.TRANSACTION_LOST, at)
            if refusal is not None:
                self._registry.not_run(request, refusal)
            else:
                self._conclusion.refuse_read(request, verdict)

        claim = Claim(self._database, result.position, term_before, write=False)
        self._monitor.confirm(claim, request.round_at_arrival, request.deadline, answer, now)

    def _operation_ended(self, transaction: Transaction, result: JobResult, now: float) -> None:
        running = transaction.running
        assert running is not None
        transaction.running = None
        operation = running.request.message.operation
        if operation is Operation.COMMIT:
            self._commit_ended(transaction, running, result, now)
        elif operation is Operation.ROLLBACK:
            self._rollback_ended(transaction, running.request, result, now)
        else:
            self._execute_ended(transaction, running, result, now)

    def _commit_ended(
        self, transaction: Transaction, running: RunningOperation, result: JobResult, now: float
    ) -> None:
        request = running.request
        if isinstance(result, JobDone):
            self._end(transaction, ErrorCode.TRANSACTION_LOST, now, clean=True)
            if transaction.wrote:
                self._conclusion.conclude_write(request, result, running.term_before, now)
            else:
                self._registry.done(request, self._database, result)
        elif isinstance(result, JobNotRun):
            transaction.commit_sent = False
            self._end(transaction, ErrorCode.TRANSACTION_LOST, now)
            self._conclusion.conclude_not_run(request, result, now)
        else:
            self._end(transaction, ErrorCode.TRANSACTION_LOST, now)
            self._monitor.look_again(now)
            self._registry.unknown(request, result.code, result.message)

    def _rollback_ended(
        self, transaction: Transaction, request: GatewayRequest, result: JobResult, now: float
    ) -> None:
        clean = isinstance(result, JobDone)
        self._end(transaction, ErrorCode.TRANSACTION_LOST, now, clean=clean)
        if isinstance(result, JobDone):
            self._registry.done(request, self._database, result)
        else:
            message = "the connection was closed, which rolls the transaction back"
            self._registry.not_run(request, ErrorCode.TRANSACTION_LOST, message)

    def _execute_ended(
        self, transaction: Transaction, running: RunningOperation, result: JobResult, now: float
    ) -> None:
        request = running.request
        broken = isinstance(result, JobUnknown)
        if broken or (isinstance(result, JobNotRun) and not result.connection_usable):
            transaction.ending = ErrorCode.TRANSACTION_LOST
        if transaction.ending is not None:
            self._end(transaction, transaction.ending, now)
        else:
            self._arm_idle_timer(transaction, now)
        if isinstance(result, JobUnknown):
            self._conclusion.conclude_unknown(request, result, now)
        elif isinstance(result, JobNotRun):
            self._conclusion.conclude_not_run(request, result, now)
        elif request.message.access is Access.READ:
            self._conclusion.conclude_read(request, result, running.term_before, now)
        else:
            self._registry.done(request, self._database, result)

    def _end_replaced(self, transaction: Transaction, now: float) -> None:
        """Ends a transaction of a replaced primary, and answers its operation if one is running.

        "Not run" is true whatever the database does: only this gateway could send the COMMIT, it
        never will, and closing the connection rolls back. A COMMIT that was sent may have taken
        effect before; its own answer says more, so it is awaited while the database answers.
        """
        code = ErrorCode.TRANSACTION_LOST
        running = transaction.running
        commits = running is not None and transaction.commit_sent
        if commits and self._monitor.statuses.status(self._database) is not None:
            return
        self._context.log("transaction_ended", database=self._database, code=code.value)
        if running is not None:
            self._jobs.abandon(running.job_id)
        self._end(transaction, code, now)
        message = "the database was replaced as primary"
        if running is None:
            return
        if commits:
            self._registry.unknown(running.request, ErrorCode.CONNECTION_LOST, message)
        else:
            self._registry.not_run(running.request, code, message)

    def _arm_idle_timer(self, transaction: Transaction, now: float) -> None:
        self._context.cancel(transaction.idle_timer)
        limit = self._context.settings.transaction_idle_limit
        lost = ErrorCode.TRANSACTION_LOST
        transaction.idle_timer = self._end_at(transaction, now + limit, lost)

    def _apply_bound(self, transaction: Transaction, bound: _Bound) -> None:
        if transaction.bound_timer is None:
            transaction.bound_timer = self._end_at(transaction, bound.when, bound.code)

    def _end_at(self, transaction: Transaction, when: float, code: ErrorCode) -> Timer:
        return self._context.call_at(when, lambda at: self._overstayed(transaction, code, at))

    def _overstayed(self, transaction: Transaction, code: ErrorCode, now: float) -> None:
        """Ends an idle transaction at once, a busy one when its operation has ended."""
        if transaction.busy:
            transaction.ending = transaction.ending or code
            return
        self._context.log("transaction_ended", database=self._database, code=code.value)
        self._end(transaction, code, now)

    def _end(
        self, transaction: Transaction, code: ErrorCode, now: float, clean: bool = False
    ) -> None:
        """Ends a transaction. Unless its connection is known clean, closing it rolls back."""
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        for timer in (transaction.idle_timer, transaction.age_timer, transaction.bound_timer):
            self._context.cancel(timer)
        self._table.end(transaction, code)
        self._rate.note(now - transaction.began_at)
        if clean:
            self._pool.give_back(transaction.connection, now)
        else:
            self._pool.discard(transaction.connection, now)
        self._on_slot_free(now)

    def _timeout(self, request: GatewayRequest, now: float) -> float:
        return min(request.deadline - now, self._context.settings.statement_timeout)
