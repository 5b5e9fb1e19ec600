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
from dewledge.core.pooler.statements.database_search import RETRY_PAUSE_SECONDS, DatabaseSearch
from dewledge.core.pooler.statements.held_connection import HeldConnection
from dewledge.core.pooler.statements.position_learning import PositionLearner
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from dewledge.core.pooler.statements.run_record import RunRecord
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statements import (
    NOT_RUN_CODES,
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
MAX_READ_RERUNS = 2
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
        if self._lead.is_pinned:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "the primary is being replaced")
            return
        if is_begun:
            self._give_back()
        else:
            self._held.release()
        self._search.go_on()

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
        self._set_up_lost()

    def _set_up_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._held.refute_primary(self._statement.id)
        if failure.code is ErrorCode.DATABASE_UNREACHABLE:
            self._held.suspect()
        clean = reply.state is TransactionState.IDLE and not connection.unanswered
        self._search.note_refused(failure)
        if not self._lead.is_pinned and clean and failure.code is not ErrorCode.WRONG_DATABASE:
            self._held.release()
            self._search.go_on()
            return
        self._set_up_lost()

    def _set_up_lost(self) -> None:
        """The statement has not been sent: another connection may serve it."""
        self._is_setting_up = False
        pinned = self._lead.is_pinned
        self._held.drop()
        if pinned:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "connection lost")
        else:
            self._search.go_on()

    def _setup_silent(self) -> None:
        if self._finished or self._held.connection is None:
            return
        self._note("silent_setup")
        self._watch.limit_passed()
        self._set_up_lost()

    # A holder that falls silent.

    def _holder_judged(self, state: HolderState) -> None:
        """The process that carries the connection is judged anew; see HolderHealth.

        A setup, which is nothing of the client's, goes to the next holder as soon as this one is in
        doubt. A read that was sent is asked once more when it is silent. All else is in doubt and
        stays: it may run.
        """
        if self._finished or self._held.connection is None or self._lead.is_pinned:
            return
        if self._is_setting_up and state is not HolderState.USABLE:
            self._note("holder_silent")
            self._seek_longer()
            self._set_up_lost()
        elif state is HolderState.SILENT and self._may_ask_again():
            self._note("holder_silent")
            self._held.drop()
            self._reruns += 1
            self._rerun_read()

    def _may_ask_again(self) -> bool:
        is_single_read = not self._writes and self._transaction is None
        if self._is_setting_up or not is_single_read or self._reruns:
            return False
        return self._second_reads.take()

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
            self._lost()
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
        if failure.code is ErrorCode.WRONG_DATABASE:
            self._held.drop()
        else:
            self._give_back()
        self._search.note_refused(failure)
        if failure.code in NOT_RUN_CODES:
            self._search.go_on()
        elif not self._writes and self._reruns < MAX_READ_RERUNS:
            self._reruns += 1
            self._rerun_read()
        else:
            self._fail(failure.code, failure.message)

    def _failed_in_transaction(self, reply: Reply, failure: Failure) -> None:
        connection = self._held.connection
        busy = failure.code is ErrorCode.OVERLOADED and reply.state is TransactionState.OPEN
        in_time = self._scheduler.now() + RETRY_PAUSE_SECONDS < self._search.give_up_at
        if busy and in_time and connection is not None:
            self._timers.pause(RETRY_PAUSE_SECONDS, lambda: self._send_again(connection))
            return
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._held.refute_primary(self._statement.id)
        if self._is_commit and failure.code not in NOT_RUN_CODES:
            self._leave_unknown(failure)
            return
        self._lose_transaction(failure.code, failure.message)

    def _send_again(self, connection: DatabaseConnection) -> None:
        if not self._finished:
            self._send(connection)

    def _lost(self) -> None:
        """The connection ended after the statement was sent."""
        self._held.drop()
        if self._transaction is not None and self._is_commit:
            self._leave_unknown(Failure(ErrorCode.CONNECTION_LOST, "outcome unknown"))
        elif self._transaction is not None:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "connection lost")
        elif self._writes:
            self._fail(ErrorCode.CONNECTION_LOST, "outcome unknown")
        else:
            self._rerun_read()

    def _silent(self) -> None:
        """No answer within the time of this attempt."""
        if self._finished or self._held.connection is None:
            return
        self._note("silent")
        self._watch.limit_passed()
        self._held.drop()
        if self._transaction is not None and self._is_commit:
            self._leave_unknown(Failure(ErrorCode.STATEMENT_TIMEOUT, "no answer"))
        elif self._transaction is not None:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "no answer, rolled back")
        elif self._writes or self._reruns:
            self._fail(ErrorCode.STATEMENT_TIMEOUT, "no answer")
        else:
            self._reruns += 1
            self._rerun_read()

    def _rerun_read(self) -> None:
        """Runs a read once more, within the time that is left."""
        if self._scheduler.now() >= self._deadline - RETRY_PAUSE_SECONDS:
            self._fail(ErrorCode.STATEMENT_TIMEOUT, "no answer")
            return
        self._search.give_up_at = self._deadline
        self._search.go_on()

    # Ending.

    def _leave_unknown(self, failure: Failure) -> None:
        """The commit was sent and its effect is not known."""
        self._session.transaction = None
        self._held.drop()
        self._finish(Reply(TransactionState.IDLE, failure=failure))

    def _lose_transaction(self, code: ErrorCode, message: str) -> None:
        """Nothing of the transaction is kept: its commit was not sent, or did not run."""
        self._held.roll_back()
        if self._transaction is not None:
            self._transaction.connection = None
        self._fail(code, message)

    def _give_back(self) -> None:
        if self._lead.has_begun and not self._lead.is_pinned:
            self._held.roll_back()
        else:
            self._held.release()

    def _refuse(self, come_back_ms: int) -> None:
        message = f"not run, come back in {come_back_ms} ms"
        self._fail(ErrorCode.OVERLOADED, message, come_back_ms)

    def _fail(self, code: ErrorCode, message: str, come_back_ms: int = 0) -> None:
        state = TransactionState.IDLE
        if self._transaction is not None and self._is_commit:
            self._session.transaction = None
        elif self._transaction is not None:
            self._transaction.failed = True
            state = TransactionState.FAILED
        self._finish(Reply(state, failure=Failure(code, message, come_back_ms)))

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
