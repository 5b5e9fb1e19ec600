"""One client statement on its way: connection, setup, sending, answer, retry.

A statement is sent again only while it surely did not run, or if it only reads. What is given up
on is answered at once; "not run" is only said of what never left, was refused by the database, or
stood in a transaction that cannot commit any more.
"""

import math
from collections.abc import Callable

from dewledge.core.pooler.databases.answer_watch import SUSPECT_AFTER_SECONDS, AnswerWatch
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.connection_setup import (
    plan_setup,
    send_setup,
    statement_for_database,
)
from dewledge.core.pooler.statements.database_search import DatabaseSearch
from dewledge.core.pooler.statements.held_connection import HeldConnection
from dewledge.core.pooler.statements.position_learning import PositionLearner
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from dewledge.core.pooler.statements.retry_outcomes import (
    ConnectionFate,
    Fail,
    InDoubt,
    Outcome,
    RerunRead,
    SendAgain,
    TransactionLost,
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
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.errors import ErrorCode

SETUP_LIMIT_SECONDS = 0.4
QUEUED_SETUP_SHARE = 0.5
"""What begins a transaction through another process may stand in that one's queue for so much of
the statement's time; the rest is for one try elsewhere if that process is silent."""
READ_ATTEMPT_SHARE = 0.5
"""A read that has no answer after this share of its time is tried once more elsewhere."""
QUEUED_READ_SHARE = 0.7
"""The same through another process, where it may stand in a queue: what is left is some times the
work of a read."""
MOVED_WAIT_SHARE = 0.25
"""Of the latency target: for so long a statement whose holder fell silent seeks another one, at
least; the time that the first one took was not the next one's."""


class StatementRun:
    """The state of one statement until its answer. `answer` is called once."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        route: Route,
        session: SessionState,
        statement: Statement,
        answer: Callable[[Reply], None],
        arrived: float,
    ) -> None:
        """`arrived`: when the client's statement came."""
        self._scheduler = services.scheduler
        self._group = group
        self._session = session
        self._statement = statement
        self._answer = answer
        self._transaction = session.transaction
        self._writes = session.writes(statement)
        self._is_commit = statement.kind is StatementKind.COMMIT
        self._work = self._work_of(statement)
        self._deadline = arrived + route.statement_timeout
        self._record = RunRecord(services, session, route, statement, arrived)
        self._timers = RunTimers(services.scheduler)
        self._held = HeldConnection(services, group, self._holder_judged)
        self._lead = PrimaryLeaseUse(group, self._transaction, self._writes, self._is_commit)
        self._learner = PositionLearner(group, session)
        self._watch = AnswerWatch(services.scheduler, group, self._held)
        self._search = DatabaseSearch(
            services,
            group,
            route,
            session,
            self._writes,
            self._record,
            self._timers,
            self._given,
            self._refuse,
            arrived,
        )
        self._second_reads = services.second_reads
        self._moved_wait = route.target_latency * MOVED_WAIT_SHARE
        self._sent_at = 0.0
        self._is_setting_up = False
        self._reruns = 0
        self._finished = False

    def _work_of(self, statement: Statement) -> Work:
        if self._transaction is not None:
            return Work.COMMIT if self._is_commit else Work.IN_TRANSACTION
        return Work.WRITE if self._writes else Work.READ

    def start(self) -> None:
        """Begins; the answer may come before this returns."""
        self._second_reads.note_request()
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            self._given(transaction.connection)
            return
        self._search.start()

    def abandon(self) -> None:
        """The client is gone: ends what has not been sent, and closes a connection in use."""
        if not self._finished:
            self._finished = True
            self._search.end()
            self._timers.clear()
            self._held.drop()

    # Preparing the connection.

    def _given(self, connection: DatabaseConnection) -> None:
        self._held.take(connection)
        # One in a transaction has cost work already: how long it waits is the holder's to say.
        set_up_by = min(self._set_up_limit(), self._search.turn_ends_at)
        connection.wait_until = math.inf if self._lead.is_pinned else set_up_by
        connection.in_time_until = self._search.in_time_until
        connection.arrived = self._search.first_arrived
        self._lead.plan(self._search.target)
        if self._lead.is_lacking(connection.database_id):
            self._withhold(is_begun=False)
            return
        steps = plan_setup(self._session, connection, self._statement, self._lead.is_pinned)
        begin = self._lead.begin_kind
        if not steps and begin is None:
            self._send(connection)
            return
        epoch = self._held.next_epoch()
        target = self._search.target
        floor = target.floor if target is not None else None
        self._watch.begin()
        self._is_setting_up = True
        self._timers.limit(self._set_up_limit(), self._setup_silent)
        send_setup(connection, steps, begin, floor, lambda verdict: self._set_up(epoch, verdict))

    def _set_up_limit(self) -> float:
        """Returns until when the answer to what begins the statement is awaited."""
        now = self._scheduler.now()
        limit = now + SETUP_LIMIT_SECONDS
        if self._is_queued_elsewhere:
            limit = max(limit, now + (self._search.give_up_at - now) * QUEUED_SETUP_SHARE)
        return limit

    @property
    def _is_queued_elsewhere(self) -> bool:
        """Whether another process has the statement wait in its queue, while that is of use."""
        database_id = self._held.database_id
        is_direct = self._group.holding(database_id).is_direct
        return self._search.is_useful and not is_direct

    def _withhold(self, is_begun: bool) -> None:
        """The statement does not leave: the primary is being replaced, or may be."""
        self._note("without_right")
        progress = Progress.IN_SETUP if is_begun else Progress.WAITING
        self._decide(Incident(Trouble.NO_LEASE, progress))

    def _set_up(self, epoch: int, verdict: Reply | None | bool) -> None:
        connection = self._held.connection
        if self._finished or epoch != self._held.epoch or connection is None:
            return
        self._is_setting_up = False
        if verdict is True and self._lead.is_lacking(connection.database_id):
            self._timers.clear_limit()
            self._withhold(is_begun=True)
            return
        if verdict is True:
            transaction = self._transaction
            if transaction is not None and transaction.connection is None:
                transaction.connection = connection
                transaction.leads = self._lead.has_begun
            self._send(connection)
            return
        self._timers.clear_limit()
        if isinstance(verdict, Reply) and verdict.failure is not None:
            self._watch.take(verdict, None)
            self._note(verdict.failure.code)
            self._set_up_refused(connection, verdict, verdict.failure)
            return
        self._note("closed")
        self._decide(Incident(Trouble.LOST, Progress.IN_SETUP))

    def _set_up_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._held.refute_primary(self._statement.id)
        if failure.code is ErrorCode.DATABASE_UNREACHABLE:
            self._held.suspect()
        self._search.note_refused(failure)
        refused = Incident(
            Trouble.REFUSED,
            Progress.IN_SETUP,
            failure,
            reply.state,
            has_unanswered=bool(connection.unanswered),
        )
        self._decide(refused)

    def _setup_silent(self) -> None:
        if self._finished or self._held.connection is None:
            return
        self._note("silent_setup")
        self._watch.limit_passed()
        self._is_setting_up = False
        self._decide(Incident(Trouble.SILENT, Progress.IN_SETUP))

    # A holder that falls silent.

    def _holder_judged(self, state: HolderState) -> None:
        """The process that carries the connection is judged anew; see HolderHealth.

        What the retry rule has wait on may run, and its answer is still awaited.
        """
        if self._finished or self._held.connection is None or state is HolderState.USABLE:
            return
        is_silent = state is HolderState.SILENT
        trouble = Trouble.HOLDER_SILENT if is_silent else Trouble.HOLDER_DOUBTED
        progress = Progress.IN_SETUP if self._is_setting_up else Progress.SENT
        judged = Incident(trouble, progress)
        has_room = needs_budget(judged, self._facts()) and self._second_reads.take()
        outcome = what_follows(
            Incident(trouble, progress, is_within_budget=has_room), self._facts()
        )
        if isinstance(outcome, WaitOn):
            return
        self._note("holder_silent")
        self._is_setting_up = False
        self._settle_connection(outcome.connection)
        self._follow(outcome)

    def _seek_longer(self) -> None:
        until = min(self._scheduler.now() + self._moved_wait, self._deadline)
        self._search.give_up_at = max(self._search.give_up_at, until)

    # Sending it.

    def _send(self, connection: DatabaseConnection) -> None:
        self._sent_at = self._scheduler.now()
        self._lead.note_sending()
        epoch = self._held.next_epoch()
        target = self._search.target
        floor = target.floor if self._transaction is None and target is not None else None
        limit = self._attempt_limit()
        self._timers.limit(limit, self._silent)
        if not self._lead.is_pinned:
            connection.wait_until = min(self._search.turn_ends_at, limit)
        self._watch.begin()
        self._watch_answer(epoch, SUSPECT_AFTER_SECONDS)
        statement = statement_for_database(self._session, self._statement)
        connection.send(statement, lambda reply: self._answered(epoch, reply), floor)

    def _watch_answer(self, epoch: int, seconds: float) -> None:
        def look() -> None:
            if not self._finished and epoch == self._held.epoch:
                self._watch.look(lambda remaining: self._watch_answer(epoch, remaining))

        self._timers.watch_answer(seconds, look)

    def _attempt_limit(self) -> float:
        if self._writes or self._transaction is not None or self._reruns:
            return self._deadline
        share = QUEUED_READ_SHARE if self._is_queued_elsewhere else READ_ATTEMPT_SHARE
        return self._sent_at + (self._deadline - self._sent_at) * share

    # What comes back.

    def _answered(self, epoch: int, reply: Reply | None) -> None:
        if self._finished or epoch != self._held.epoch:
            return
        self._timers.clear_limit()
        self._watch.take(reply, self._statement)
        if reply is None:
            self._note("lost")
            self._lost()
        elif reply.failure is None and self._answers_without_right():
            self._note("answer_without_right")
            self._lost(Trouble.NO_LEASE)
        elif reply.failure is not None:
            self._note(reply.failure.code)
            if self._transaction is not None:
                self._failed_in_transaction(reply, reply.failure)
            else:
                self._failed(reply.failure)
        else:
            self._note("done")
            self._done(reply)

    def _answers_without_right(self) -> bool:
        """Another may lead by now, so nothing is said of what the old primary has done."""
        connection = self._held.connection
        return connection is not None and self._lead.is_lacking(connection.database_id)

    def _done(self, reply: Reply) -> None:
        transaction = self._transaction
        self._lead.note_success(self._held.database_id)
        self._search.note_served()
        if transaction is None:
            if reply.position is not None:
                self._learner.take_single(
                    reply.position, self._sent_at, self._writes, self._lead.proves
                )
            self._give_back()
            self._finish(_for_client(reply, TransactionState.IDLE))
            return
        if reply.position is not None:
            self._learner.take_in_transaction(
                reply.position, self._sent_at, transaction, self._is_commit
            )
        transaction.last_used = self._scheduler.now()
        if self._is_commit:
            self._session.transaction = None
            self._held.release()
            self._finish(_for_client(reply, TransactionState.IDLE))
            return
        transaction.wrote = transaction.wrote or self._writes
        self._finish(_for_client(reply, TransactionState.OPEN))

    def _failed(self, failure: Failure) -> None:
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._held.refute_primary(self._statement.id)
        if failure.code is ErrorCode.DATABASE_UNREACHABLE:
            self._held.suspect()
        connection = self._held.connection
        if failure.code is ErrorCode.UNKNOWN_STATEMENT and connection is not None:
            connection.prepared.clear()
        outcome = what_follows(Incident(Trouble.REFUSED, Progress.SENT, failure), self._facts())
        self._settle_connection(outcome.connection)
        self._search.note_refused(failure)
        self._follow(outcome)

    def _failed_in_transaction(self, reply: Reply, failure: Failure) -> None:
        outcome = what_follows(
            Incident(Trouble.REFUSED, Progress.SENT, failure, reply.state), self._facts()
        )
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._held.refute_primary(self._statement.id)
        self._settle_connection(outcome.connection)
        self._follow(outcome)

    def _pause_and_send(self, seconds: float) -> None:
        connection = self._held.connection
        if connection is not None:
            self._timers.pause(seconds, lambda: self._send_again(connection))

    def _send_again(self, connection: DatabaseConnection) -> None:
        if not self._finished:
            self._send(connection)

    def _lost(self, trouble: Trouble = Trouble.LOST) -> None:
        """Of the sent statement no answer comes, or none that counts."""
        self._decide(Incident(trouble, Progress.SENT))

    def _silent(self) -> None:
        """No answer within the time of this attempt."""
        if self._finished or self._held.connection is None:
            return
        self._note("silent")
        self._watch.limit_passed()
        self._decide(Incident(Trouble.SILENT, Progress.SENT))

    # What follows a failure.

    def _decide(self, incident: Incident) -> None:
        outcome = what_follows(incident, self._facts())
        self._settle_connection(outcome.connection)
        self._follow(outcome)

    def _facts(self) -> StatementFacts:
        return StatementFacts(
            self._work,
            self._lead.is_pinned,
            self._reruns,
            self._scheduler.now(),
            self._search.give_up_at,
            self._deadline,
        )

    def _settle_connection(self, fate: ConnectionFate) -> None:
        if fate is ConnectionFate.RELEASED:
            self._held.release()
        elif fate is ConnectionFate.GIVEN_BACK:
            self._give_back()
        elif fate is ConnectionFate.ROLLED_BACK:
            self._held.roll_back()
        elif fate is ConnectionFate.CLOSED:
            self._held.drop()

    def _follow(self, outcome: Outcome) -> None:
        if isinstance(outcome, TryElsewhere):
            if outcome.seeks_longer:
                self._seek_longer()
            self._search.go_on()
        elif isinstance(outcome, RerunRead):
            self._reruns += outcome.is_counted
            self._rerun_read()
        elif isinstance(outcome, SendAgain):
            self._pause_and_send(outcome.pause_seconds)
        elif isinstance(outcome, InDoubt):
            self._leave_unknown(outcome.failure)
        elif isinstance(outcome, TransactionLost):
            self._lose_transaction(outcome.failure)
        elif isinstance(outcome, Fail):
            self._fail(outcome.failure)

    def _rerun_read(self) -> None:
        """Runs a read once more, within the time that is left."""
        self._search.give_up_at = self._deadline
        self._search.go_on()

    # Ending.

    def _leave_unknown(self, failure: Failure) -> None:
        """The commit was sent and its effect is not known."""
        self._session.transaction = None
        self._finish(Reply(TransactionState.IDLE, failure=failure))

    def _lose_transaction(self, failure: Failure) -> None:
        """Nothing of the transaction is kept: its commit was not sent, or did not run."""
        if self._transaction is not None:
            self._transaction.connection = None
        self._fail(failure)

    def _give_back(self) -> None:
        if self._lead.has_begun and not self._lead.is_pinned:
            self._held.roll_back()
        else:
            self._held.release()

    def _refuse(self, come_back_ms: int) -> None:
        message = f"not run, come back in {come_back_ms} ms"
        refused = Failure(ErrorCode.OVERLOADED, message, come_back_ms)
        self._decide(Incident(Trouble.NO_ROOM, Progress.WAITING, refused))

    def _fail(self, failure: Failure) -> None:
        state = TransactionState.IDLE
        if self._transaction is not None and self._is_commit:
            self._session.transaction = None
        elif self._transaction is not None:
            self._transaction.failed = True
            state = TransactionState.FAILED
        self._finish(Reply(state, failure=failure))

    def _finish(self, reply: Reply) -> None:
        if self._finished:
            return
        self._finished = True
        self._search.end()
        self._timers.clear()
        self._record.finish(reply, self._search.target)
        self._answer(reply)

    def _note(self, result: str) -> None:
        self._record.note(self._held.database_id, self._search.target, result)


def _for_client(reply: Reply, state: TransactionState) -> Reply:
    return Reply(state, rows=reply.rows, signature=reply.signature)
