"""Runs the operations of the transactions of one database, and ends those that overstay."""

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.gateway.confirmation import Claim, Verdict
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.open_transactions import OpenTransactions
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.running_jobs import RunningJobs
from dewledge.core.proxy.gateway.statement_conclusion import StatementConclusion
from dewledge.core.proxy.gateway.transactions import RunningOperation, Transaction
from dewledge.core.proxy.jobs import JobDone, JobNotRun, JobResult, JobUnknown
from dewledge.errors import ErrorCode

ROLLBACK_TIMEOUT = 1.0
"""Seconds that a rollback gets at least: it is worth waiting for, as it saves the connection."""


class GatewayTransactions:
    """Runs BEGIN, operations, COMMIT and ROLLBACK of one database's transactions."""

    def __init__(
        self,
        context: GatewayContext,
        database: str,
        registry: RequestRegistry,
        jobs: RunningJobs,
        monitor: GroupMonitor,
        transactions: OpenTransactions,
    ) -> None:
        self._context = context
        self._database = database
        self._registry = registry
        self._jobs = jobs
        self._monitor = monitor
        self._open = transactions
        self._conclusion = StatementConclusion(database, registry, monitor)

    def begin(self, request: GatewayRequest, now: float) -> None:
        """Runs a BEGIN on an idle connection, which is then reserved."""
        connection = self._open.reserve()
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
        for transaction in self._open.all:
            if transaction.wrote and transaction.term < term:
                self._end_replaced(transaction, now)

    def _begin_ended(
        self,
        request: GatewayRequest,
        connection: int,
        term_before: int,
        result: JobResult,
        now: float,
    ) -> None:
        if isinstance(result, JobDone):
            self._begun(request, connection, term_before, result, now)
        elif isinstance(result, JobNotRun) and result.connection_usable:
            self._open.not_begun(connection, True, now)
            self._conclusion.conclude_not_run(request, result, now)
            self._open.on_slot_free(now)
        else:
            self._open.not_begun(connection, False, now)
            self._open.on_slot_free(now)
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
        transaction = self._open.begun(message.caller, connection, wrote, term, now)
        refusal = self._begin_refusal(request, result, now)
        if refusal is not None:
            self._open.end(transaction, ErrorCode.TRANSACTION_LOST, now)
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
            self._open.end(transaction, ErrorCode.TRANSACTION_LOST, at)
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
            self._open.end(transaction, ErrorCode.TRANSACTION_LOST, now, clean=True)
            if transaction.wrote:
                self._conclusion.conclude_write(request, result, running.term_before, now)
            else:
                self._registry.done(request, self._database, result)
        elif isinstance(result, JobNotRun):
            transaction.commit_sent = False
            self._open.end(transaction, ErrorCode.TRANSACTION_LOST, now)
            self._conclusion.conclude_not_run(request, result, now)
        else:
            self._open.end(transaction, ErrorCode.TRANSACTION_LOST, now)
            self._monitor.look_again(now)
            self._registry.unknown(request, result.code, result.message)

    def _rollback_ended(
        self, transaction: Transaction, request: GatewayRequest, result: JobResult, now: float
    ) -> None:
        clean = isinstance(result, JobDone)
        self._open.end(transaction, ErrorCode.TRANSACTION_LOST, now, clean=clean)
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
            self._open.end(transaction, transaction.ending, now)
        else:
            self._open.arm_idle_timer(transaction, now)
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
        self._open.end(transaction, code, now)
        message = "the database was replaced as primary"
        if running is None:
            return
        if commits:
            self._registry.unknown(running.request, ErrorCode.CONNECTION_LOST, message)
        else:
            self._registry.not_run(running.request, code, message)

    def _timeout(self, request: GatewayRequest, now: float) -> float:
        return min(request.deadline - now, self._context.settings.statement_timeout)
