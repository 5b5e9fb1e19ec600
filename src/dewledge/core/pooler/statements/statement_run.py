"""Runs one client statement from its arrival to the reply.

StatementRun connects the parts: DatabaseSearch finds a connection, Attempt prepares it and sends
the statement, `decide_outcome` (retry_rule.py) decides what to do after a failure, ClientReply
builds the reply, and StatementDeadlines computes every time limit.
"""

from collections.abc import Callable

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.statements.attempt import Attempt, Setup
from dewledge.core.pooler.statements.borrowed_connection import BorrowedConnection
from dewledge.core.pooler.statements.client_reply import ClientReply
from dewledge.core.pooler.statements.connection_setup import plan_setup
from dewledge.core.pooler.statements.database_search import DatabaseSearch, SearchCallbacks
from dewledge.core.pooler.statements.position_recorder import PositionRecorder
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from dewledge.core.pooler.statements.retry_outcomes import (
    ConnectionDisposition,
    KeepWaiting,
    Outcome,
    RerunRead,
    Resend,
    TryElsewhere,
)
from dewledge.core.pooler.statements.retry_rule import (
    Incident,
    Progress,
    RetryClass,
    StatementFacts,
    Trouble,
    decide_outcome,
    needs_retry_budget,
)
from dewledge.core.pooler.statements.retry_times import refusal
from dewledge.core.pooler.statements.run_record import RunRecord
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Reply
from dewledge.core.pooler.statements.wait_strategy import wait_strategy
from dewledge.errors import ErrorCode


class StatementRun:
    """Runs one statement and passes its reply to the callback `answer` exactly once."""

    def __init__(self, scope: StatementScope, answer: Callable[[Reply], None]) -> None:
        self._scope = scope
        self._scheduler = scope.services.scheduler
        self._session = scope.session
        self._answer = answer
        self._transaction = scope.session.transaction
        self._retry_class = scope.retry_class
        self._strategy = wait_strategy(scope.services.load_policy)
        self._deadlines = self._strategy.deadlines(scope)
        self._record = RunRecord(scope)
        self._timers = RunTimers(self._scheduler)
        self._held = BorrowedConnection(scope.services, scope.group, self._on_holder_state)
        self._lease = PrimaryLeaseUse(scope.group, self._transaction, scope.writes, scope.is_commit)
        self._position_recorder = PositionRecorder(scope, self._transaction)
        self._attempt = Attempt(scope, self._held, self._timers, self)
        self._reply = ClientReply(scope, self._transaction)
        callbacks = SearchCallbacks(self._on_connection, self._on_search_failed)
        self._search = DatabaseSearch(
            scope, self._strategy, self._deadlines, self._record, self._timers, callbacks
        )
        self._second_reads = scope.services.read_retry_budget
        self._reruns = 0
        self._finished = False

    def start(self) -> None:
        """Starts the statement; the reply may be delivered before this method returns."""
        self._second_reads.note_request()
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            self._on_connection(transaction.connection)
            return
        self._search.start()

    def abandon(self) -> None:
        """Ends the statement after a client disconnect and closes the connection in use."""
        if not self._finished:
            self._end()
            self._held.discard()

    # Connection setup and sending.

    def _on_connection(self, connection: DatabaseConnection) -> None:
        self._held.hold(connection)
        target = self._search.target
        limit = self._deadlines.setup_deadline(self._scheduler.now(), self._is_queued_elsewhere)
        self._deadlines.set_connection_deadlines(connection, self._lease.is_pinned, limit)
        self._lease.begin_attempt(target)
        if self._lease.lacks_lease(connection.database_id):
            self._stop_before_sending(Progress.WAITING)
            return
        steps = plan_setup(self._session, connection, self._scope.statement, self._lease.is_pinned)
        begin = self._lease.begin_kind
        if not steps and begin is None:
            self._send(connection)
            return
        setup = Setup(steps, begin, target.floor if target is not None else None)
        self._attempt.begin_setup(connection, setup, limit)

    @property
    def _is_queued_elsewhere(self) -> bool:
        """Whether the statement may wait in the queue of another process."""
        return self._strategy.is_queued_elsewhere(self._scope, self._held.database_id)

    def _stop_before_sending(self, progress: Progress) -> None:
        """Stops before sending, because this process has no valid lease on the primary."""
        self._record_attempt("without_right")
        self._apply_rule(Incident(Trouble.NO_LEASE, progress))

    def _send(self, connection: DatabaseConnection) -> None:
        now = self._attempt.record_sent_at()
        self._lease.record_send()
        target = self._search.target
        floor = target.floor if self._transaction is None and target is not None else None
        limit = self._deadlines.deadline
        if self._retry_class is RetryClass.READ and not self._reruns:
            limit = self._deadlines.attempt_deadline(now, self._is_queued_elsewhere)
        if not self._lease.is_pinned:
            connection.wait_until = self._deadlines.slot_wait_until(limit)
        self._attempt.send(connection, floor, limit)

    # AttemptListener: results of the steps of an attempt.

    def on_setup_done(self, connection: DatabaseConnection) -> None:
        """Sends the statement on the prepared connection, if the lease still allows it."""
        if self._lease.lacks_lease(connection.database_id):
            self._timers.clear_limit()
            self._stop_before_sending(Progress.IN_SETUP)
            return
        transaction = self._transaction
        if transaction is not None and transaction.connection is None:
            transaction.connection = connection
            transaction.requires_primary = self._lease.opens_primary_transaction
        self._send(connection)

    def on_setup_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        """Handles a failure that the database returned to a setup statement."""
        self._record_attempt(failure.code)
        self._held.report_failure(failure, self._scope.statement.id)
        self._search.record_refusal(failure)
        has_unanswered = bool(connection.unanswered_count)
        refused = Incident(Trouble.REFUSED, Progress.IN_SETUP, failure, reply.state, has_unanswered)
        self._apply_rule(refused)

    def on_setup_failed(self, trouble: Trouble) -> None:
        """Handles a setup that ended with a closed connection or a timeout."""
        is_silent = trouble is Trouble.SILENT
        self._record_attempt("silent_setup" if is_silent else "closed")
        if is_silent:
            self._attempt.stop_waiting()
        self._apply_rule(Incident(trouble, Progress.IN_SETUP))

    def on_reply(self, reply: Reply | None) -> None:
        """Handles the reply to the statement; None if the connection closed without one."""
        if reply is None:
            self._record_attempt("lost")
            self._lost()
        elif reply.failure is None and self._has_lost_lease():
            self._record_attempt("answer_without_right")
            self._lost(Trouble.NO_LEASE)
        elif reply.failure is None and self._lease.lacks_log(reply.position):
            self._record_attempt("answer_without_log")
            self._scope.group.record_lost_log()
            self._held.refute_primary(self._scope.statement.id)
            self._lost(Trouble.NO_LEASE)
        elif reply.failure is not None:
            self._record_attempt(reply.failure.code)
            self._on_failure(reply, reply.failure)
        else:
            self._record_attempt("done")
            self._on_success(reply)

    def _has_lost_lease(self) -> bool:
        """Returns whether the lease on the primary has lapsed since the statement was sent.

        Another database may have become primary, so a success must not be reported.
        """
        connection = self._held.connection
        return connection is not None and self._lease.lacks_lease(connection.database_id)

    def on_timeout(self) -> None:
        """Handles an attempt that reached its time limit without a reply."""
        self._record_attempt("silent")
        self._attempt.stop_waiting()
        self._apply_rule(Incident(Trouble.SILENT, Progress.SENT))

    def _lost(self, trouble: Trouble = Trouble.LOST) -> None:
        """Handles a statement that was sent, but got no reply while the lease was valid."""
        self._apply_rule(Incident(trouble, Progress.SENT))

    def _on_failure(self, reply: Reply, failure: Failure) -> None:
        refused = Incident(Trouble.REFUSED, Progress.SENT, failure, reply.state)
        if self._transaction is not None:
            if failure.code is ErrorCode.NOT_PRIMARY:
                self._held.refute_primary(self._scope.statement.id)
            self._apply_rule(refused)
            return
        outcome = decide_outcome(refused, self._facts())
        self._held.report_failure(failure, self._scope.statement.id)
        if failure.code is ErrorCode.UNKNOWN_STATEMENT:
            self._held.clear_prepared()
        self._dispose_connection(outcome.connection)
        self._search.record_refusal(failure)
        self._apply_outcome(outcome)

    def _on_holder_state(self, state: HolderState) -> None:
        """Handles a changed health state of the process that holds the connection.

        On `KeepWaiting` the statement may still be running and its reply is still accepted.
        """
        if self._finished or self._held.connection is None or state is HolderState.USABLE:
            return
        is_silent = state is HolderState.SILENT
        trouble = Trouble.HOLDER_SILENT if is_silent else Trouble.HOLDER_SUSPECTED
        progress = Progress.IN_SETUP if self._attempt.is_setting_up else Progress.SENT
        incident = Incident(trouble, progress)
        if needs_retry_budget(incident, self._facts()) and self._second_reads.take():
            incident = Incident(trouble, progress, is_within_budget=True)
        outcome = decide_outcome(incident, self._facts())
        if isinstance(outcome, KeepWaiting):
            return
        self._record_attempt("holder_silent")
        self._attempt.stop_setup()
        self._dispose_connection(outcome.connection)
        self._apply_outcome(outcome)

    def _apply_rule(self, incident: Incident) -> None:
        outcome = decide_outcome(incident, self._facts())
        self._dispose_connection(outcome.connection)
        self._apply_outcome(outcome)

    def _facts(self) -> StatementFacts:
        return StatementFacts(
            self._retry_class,
            self._lease.is_pinned,
            self._reruns,
            self._scheduler.now(),
            self._deadlines.give_up_at,
            self._deadlines.deadline,
        )

    def _dispose_connection(self, disposition: ConnectionDisposition) -> None:
        opened_transaction = self._lease.opens_primary_transaction and not self._lease.is_pinned
        self._held.dispose(disposition, opened_transaction)

    def _apply_outcome(self, outcome: Outcome) -> None:
        if isinstance(outcome, TryElsewhere):
            if outcome.seeks_longer:
                self._deadlines.extend_for_next_holder(self._scheduler.now())
            self._search.continue_search()
        elif isinstance(outcome, RerunRead):
            self._reruns += outcome.is_counted
            self._rerun_read()
        elif isinstance(outcome, Resend):
            self._timers.resume_after(outcome.pause_seconds, self._send_again)
        elif not isinstance(outcome, KeepWaiting):
            self._finish(self._reply.for_outcome(outcome))

    def _rerun_read(self) -> None:
        """Searches for a database and sends the read again; may use all the remaining time."""
        self._deadlines.extend_for_rerun()
        self._search.continue_search()

    def _send_again(self) -> None:
        connection = self._held.connection
        if not self._finished and connection is not None:
            self._send(connection)

    def _on_success(self, reply: Reply) -> None:
        self._lease.record_success(self._held.database_id)
        self._search.clear_ticket()
        self._position_recorder.record(
            reply.position, self._attempt.sent_at, self._lease.proves_primary
        )
        client_reply = self._reply.success(reply, self._scheduler.now())
        if self._transaction is None:
            self._dispose_connection(ConnectionDisposition.RELEASED_CLEAN)
        elif self._scope.is_commit:
            self._dispose_connection(ConnectionDisposition.RELEASED)
        self._finish(client_reply)

    def _on_search_failed(self, retry_after_ms: int) -> None:
        """Fails the statement because the search found no connection in time."""
        refused = refusal(ErrorCode.OVERLOADED, retry_after_ms)
        self._apply_rule(Incident(Trouble.NO_CONNECTION, Progress.WAITING, refused))

    def _finish(self, reply: Reply) -> None:
        if self._finished:
            return
        self._end()
        self._record.finish(reply, self._search.target)
        self._answer(reply)

    def _end(self) -> None:
        self._finished = True
        self._attempt.end()
        self._search.stop()
        self._timers.clear()

    def _record_attempt(self, result: str) -> None:
        self._record.record_attempt(self._held.database_id, self._search.target, result)
