"""Runs one client statement from its arrival to the reply.

StatementRun connects the parts: DatabaseSearch finds a connection, Attempt prepares it and sends
the statement, `decide_outcome` (retry_rule.py) decides what to do after a failure, ClientReply
builds the reply, and StatementDeadlines computes every time limit.
"""

from collections.abc import Callable

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.statements.attempt import Attempt, Setup
from dewledge.core.pooler.statements.client_reply import ClientReply
from dewledge.core.pooler.statements.come_back import refusal
from dewledge.core.pooler.statements.connection_setup import plan_setup
from dewledge.core.pooler.statements.database_search import DatabaseSearch, SearchEnds
from dewledge.core.pooler.statements.held_connection import HeldConnection
from dewledge.core.pooler.statements.position_recorder import PositionRecorder
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from dewledge.core.pooler.statements.retry_outcomes import (
    ConnectionFate,
    Outcome,
    RerunRead,
    SendAgain,
    TryElsewhere,
    WaitOn,
)
from dewledge.core.pooler.statements.retry_rule import (
    Incident,
    Progress,
    StatementFacts,
    Trouble,
    Work,
    needs_budget,
    what_follows,
)
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
        self._work = scope.work
        self._strategy = wait_strategy(scope.services.load_policy)
        self._deadlines = self._strategy.deadlines(scope)
        self._record = RunRecord(scope)
        self._timers = RunTimers(self._scheduler)
        self._held = HeldConnection(scope.services, scope.group, self._holder_judged)
        self._lease = PrimaryLeaseUse(scope.group, self._transaction, scope.writes, scope.is_commit)
        self._learner = PositionRecorder(scope, self._transaction)
        self._attempt = Attempt(scope, self._held, self._timers, self)
        self._reply = ClientReply(scope, self._transaction)
        ends = SearchEnds(self._given, self._refuse)
        self._search = DatabaseSearch(
            scope, self._strategy, self._deadlines, self._record, self._timers, ends
        )
        self._second_reads = scope.services.second_reads
        self._reruns = 0
        self._finished = False

    def start(self) -> None:
        """Starts the statement; the reply may be delivered before this method returns."""
        self._second_reads.note_request()
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            self._given(transaction.connection)
            return
        self._search.start()

    def abandon(self) -> None:
        """Ends the statement after a client disconnect and closes the connection in use."""
        if not self._finished:
            self._end()
            self._held.drop()

    # Connection setup and sending.

    def _given(self, connection: DatabaseConnection) -> None:
        self._held.hold(connection)
        target = self._search.target
        limit = self._deadlines.setup_deadline(self._scheduler.now(), self._is_queued_elsewhere)
        self._deadlines.set_connection_deadlines(connection, self._lease.is_pinned, limit)
        self._lease.begin_attempt(target)
        if self._lease.is_lacking(connection.database_id):
            self._withhold(Progress.WAITING)
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

    def _withhold(self, progress: Progress) -> None:
        """Stops before sending, because this process has no valid lease on the primary."""
        self._note("without_right")
        self._decide(Incident(Trouble.NO_LEASE, progress))

    def _send(self, connection: DatabaseConnection) -> None:
        now = self._attempt.note_sending()
        self._lease.record_send()
        target = self._search.target
        floor = target.floor if self._transaction is None and target is not None else None
        limit = self._deadlines.deadline
        if self._work is Work.READ and not self._reruns:
            limit = self._deadlines.attempt_deadline(now, self._is_queued_elsewhere)
        if not self._lease.is_pinned:
            connection.wait_until = self._deadlines.slot_wait_until(limit)
        self._attempt.send(connection, floor, limit)

    # AttemptListener: results of the steps of an attempt.

    def set_up(self, connection: DatabaseConnection) -> None:
        """Sends the statement on the prepared connection, if the lease still allows it."""
        if self._lease.is_lacking(connection.database_id):
            self._timers.clear_limit()
            self._withhold(Progress.IN_SETUP)
            return
        transaction = self._transaction
        if transaction is not None and transaction.connection is None:
            transaction.connection = connection
            transaction.leads = self._lease.opens_primary_transaction
        self._send(connection)

    def set_up_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        """Handles a failure that the database returned to a setup statement."""
        self._note(failure.code)
        self._held.report_failure(failure, self._scope.statement.id)
        self._search.note_refused(failure)
        has_unanswered = bool(connection.unanswered)
        refused = Incident(Trouble.REFUSED, Progress.IN_SETUP, failure, reply.state, has_unanswered)
        self._decide(refused)

    def set_up_failed(self, trouble: Trouble) -> None:
        """Handles a setup that ended with a closed connection or a timeout."""
        is_silent = trouble is Trouble.SILENT
        self._note("silent_setup" if is_silent else "closed")
        if is_silent:
            self._attempt.limit_passed()
        self._decide(Incident(trouble, Progress.IN_SETUP))

    def answered(self, reply: Reply | None) -> None:
        """Handles the reply to the statement; None if the connection closed without one."""
        if reply is None:
            self._note("lost")
            self._lost()
        elif reply.failure is None and self._answers_without_lease():
            self._note("answer_without_right")
            self._lost(Trouble.NO_LEASE)
        elif reply.failure is not None:
            self._note(reply.failure.code)
            self._refused(reply, reply.failure)
        else:
            self._note("done")
            self._done(reply)

    def _answers_without_lease(self) -> bool:
        """Whether the lease on the primary has lapsed since the statement was sent.

        Another database may be primary by then, so a success of the old one can't be reported.
        """
        connection = self._held.connection
        return connection is not None and self._lease.is_lacking(connection.database_id)

    def silent(self) -> None:
        """Handles an attempt that reached its time limit without a reply."""
        self._note("silent")
        self._attempt.limit_passed()
        self._decide(Incident(Trouble.SILENT, Progress.SENT))

    def _lost(self, trouble: Trouble = Trouble.LOST) -> None:
        """Handles a sent statement that has no reply, or none that may be used."""
        self._decide(Incident(trouble, Progress.SENT))

    def _refused(self, reply: Reply, failure: Failure) -> None:
        refused = Incident(Trouble.REFUSED, Progress.SENT, failure, reply.state)
        if self._transaction is not None:
            if failure.code is ErrorCode.NOT_PRIMARY:
                self._held.refute_primary(self._scope.statement.id)
            self._decide(refused)
            return
        outcome = what_follows(refused, self._facts())
        self._held.report_failure(failure, self._scope.statement.id)
        if failure.code is ErrorCode.UNKNOWN_STATEMENT:
            self._held.clear_prepared()
        self._settle_connection(outcome.connection)
        self._search.note_refused(failure)
        self._follow(outcome)

    def _holder_judged(self, state: HolderState) -> None:
        """Handles a changed health state of the process that holds the connection.

        On `WaitOn` the statement may still be running and its reply is still accepted.
        """
        if self._finished or self._held.connection is None or state is HolderState.USABLE:
            return
        is_silent = state is HolderState.SILENT
        trouble = Trouble.HOLDER_SILENT if is_silent else Trouble.HOLDER_DOUBTED
        progress = Progress.IN_SETUP if self._attempt.is_setting_up else Progress.SENT
        judged = Incident(trouble, progress)
        if needs_budget(judged, self._facts()) and self._second_reads.take():
            judged = Incident(trouble, progress, is_within_budget=True)
        outcome = what_follows(judged, self._facts())
        if isinstance(outcome, WaitOn):
            return
        self._note("holder_silent")
        self._attempt.stop_setup()
        self._settle_connection(outcome.connection)
        self._follow(outcome)

    def _decide(self, incident: Incident) -> None:
        outcome = what_follows(incident, self._facts())
        self._settle_connection(outcome.connection)
        self._follow(outcome)

    def _facts(self) -> StatementFacts:
        return StatementFacts(
            self._work,
            self._lease.is_pinned,
            self._reruns,
            self._scheduler.now(),
            self._deadlines.give_up_at,
            self._deadlines.deadline,
        )

    def _settle_connection(self, fate: ConnectionFate) -> None:
        has_begun = self._lease.opens_primary_transaction and not self._lease.is_pinned
        self._held.dispose(fate, has_begun)

    def _follow(self, outcome: Outcome) -> None:
        if isinstance(outcome, TryElsewhere):
            if outcome.seeks_longer:
                self._deadlines.extend_for_next_holder(self._scheduler.now())
            self._search.go_on()
        elif isinstance(outcome, RerunRead):
            self._reruns += outcome.is_counted
            self._rerun_read()
        elif isinstance(outcome, SendAgain):
            self._timers.resume_after(outcome.pause_seconds, self._send_again)
        elif not isinstance(outcome, WaitOn):
            self._finish(self._reply.for_outcome(outcome))

    def _rerun_read(self) -> None:
        """Searches a database to send the read again; it may use all the remaining time."""
        self._deadlines.extend_for_rerun()
        self._search.go_on()

    def _send_again(self) -> None:
        connection = self._held.connection
        if not self._finished and connection is not None:
            self._send(connection)

    def _done(self, reply: Reply) -> None:
        self._lease.record_success(self._held.database_id)
        self._search.note_served()
        self._learner.record(reply.position, self._attempt.sent_at, self._lease.proves_primary)
        answer = self._reply.success(reply, self._scheduler.now())
        if self._transaction is None:
            self._settle_connection(ConnectionFate.GIVEN_BACK)
        elif self._scope.is_commit:
            self._settle_connection(ConnectionFate.RELEASED)
        self._finish(answer)

    def _refuse(self, come_back_ms: int) -> None:
        """Fails the statement because the search found no connection in time."""
        refused = refusal(ErrorCode.OVERLOADED, come_back_ms)
        self._decide(Incident(Trouble.NO_ROOM, Progress.WAITING, refused))

    def _finish(self, reply: Reply) -> None:
        if self._finished:
            return
        self._end()
        self._record.finish(reply, self._search.target)
        self._answer(reply)

    def _end(self) -> None:
        self._finished = True
        self._attempt.end()
        self._search.end()
        self._timers.clear()

    def _note(self, result: str) -> None:
        self._record.record_attempt(self._held.database_id, self._search.target, result)
