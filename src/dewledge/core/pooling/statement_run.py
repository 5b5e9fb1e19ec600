"""One client statement on its way: choice of the database, connection, setup, answer, retry.

A statement is sent again only while it surely did not run, or if it only reads. What is given up
on is answered at once; "not run" is only said of what never left, was refused by the database, or
stood in a transaction that cannot commit any more.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooling.connection_pool import Denial, Waiter
from dewledge.core.pooling.connection_setup import SetupStep, plan_setup, prepared_name
from dewledge.core.pooling.database_connection import DatabaseConnection
from dewledge.core.pooling.events import PrimaryRefuted, StatementAnswered
from dewledge.core.pooling.group import Group
from dewledge.core.pooling.routes import Route
from dewledge.core.pooling.scheduling import ScheduledCall
from dewledge.core.pooling.services import PoolServices
from dewledge.core.pooling.session_state import SessionState
from dewledge.core.pooling.statements import (
    NOT_RUN_CODES,
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.pooling.targets import Proof, ReadNeed, Target
from dewledge.errors import ErrorCode

SETUP_LIMIT_SECONDS = 0.4
RETRY_PAUSE_SECONDS = 0.03
SUSPECT_AFTER_SECONDS = 0.25
"""A statement without an answer for so long makes its database suspect; nothing else changes."""
READ_ATTEMPT_SHARE = 0.5
"""A read that has no answer after this share of its time is tried once more elsewhere."""
QUEUE_SHARE_OF_TARGET = 0.25
"""A statement that gets no database within this share of its latency target is refused."""
FAILOVER_SHARE_OF_TIMEOUT = 0.85
"""While there is no primary, a statement waits for one for this share of its time."""
MAX_READ_RERUNS = 2
COME_BACK_OVERLOADED_MS = 100
COME_BACK_NO_PRIMARY_MS = 500


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
    ) -> None:
        self._services = services
        self._group = group
        self._route = route
        self._session = session
        self._statement = statement
        self._answer = answer
        self._writes = self._does_write()
        self._transaction = session.transaction
        self._arrived = services.scheduler.now()
        self._deadline = self._arrived + route.statement_timeout
        self._give_up_at = self._arrived + route.target_latency * QUEUE_SHARE_OF_TARGET
        self._targets: list[Target] = []
        self._target: Target | None = None
        self._waiter: Waiter | None = None
        self._connection: DatabaseConnection | None = None
        self._timer: ScheduledCall | None = None
        self._pause: ScheduledCall | None = None
        self._suspicion: ScheduledCall | None = None
        self._sent_at = 0.0
        self._generation = 0
        self._reruns = 0
        self._opened_lead = False
        self._finished = False
        self._waits_for_primary = False
        self._way: list[str] = []

    def start(self) -> None:
        """Begins; the answer may come before this returns."""
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            self._connection = transaction.connection
            self._set_up(transaction.connection)
            return
        self._arm(self._give_up_at, self._give_up)
        self._plan()

    def abandon(self) -> None:
        """The client is gone: ends what has not been sent, and closes a connection in use."""
        if self._finished:
            return
        self._end_waiting()
        self._finished = True
        if self._connection is not None:
            self._drop_connection()

    def _does_write(self) -> bool:
        statement = self._statement
        if statement.kind is StatementKind.EXECUTE:
            return self._session.prepared[statement.name].writes
        return statement.kind is StatementKind.WRITE

    # Finding a database.

    def _plan(self) -> None:
        self._targets = list(self._find_targets())
        self._try_next()

    def _find_targets(self) -> Sequence[Target]:
        need = ReadNeed(self._arrived, self._session.floor)
        transaction = self._transaction
        if transaction is None:
            return self._group.targets(self._route, self._writes, need)
        if transaction.read_only:
            return self._group.targets(self._route, False, need)
        primary = self._group.usable_primary
        return [] if primary is None else [Target(primary, Proof.LEAD)]

    def _try_next(self) -> None:
        if self._finished:
            return
        if not self._targets:
            self._wait_and_plan()
            return
        self._target = self._targets.pop(0)
        self._waiter = Waiter(self._route.priority, self._given, self._denied)
        self._group.pool(self._target.database.id).acquire(self._waiter, self._session.values)

    def _wait_and_plan(self) -> None:
        if self._group.usable_primary is None:
            if not self._waits_for_primary:
                self._waits_for_primary = True
                limit = self._route.statement_timeout * FAILOVER_SHARE_OF_TIMEOUT
                self._give_up_at = self._arrived + limit
                self._arm(self._give_up_at, self._give_up)
            self._group.wait_for_primary(self._resume)
            return
        scheduler = self._services.scheduler
        self._pause = scheduler.call_later(RETRY_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        if not self._finished and self._connection is None:
            self._plan()

    def _denied(self, denial: Denial) -> None:
        self._waiter = None
        self._note(f"denied_{denial}")
        if denial is Denial.UNREACHABLE and self._target is not None:
            self._services.suspect(self._route.group, self._target.database.id)
        self._try_next()

    def _give_up(self) -> None:
        if self._finished or self._connection is not None:
            return
        self._end_waiting()
        come_back = COME_BACK_OVERLOADED_MS
        if self._waits_for_primary:
            come_back = COME_BACK_NO_PRIMARY_MS
        self._note("given_up")
        self._fail(ErrorCode.OVERLOADED, f"not run, come back in {come_back} ms")

    # Preparing the connection.

    def _given(self, connection: DatabaseConnection) -> None:
        self._waiter = None
        self._connection = connection
        self._set_up(connection)

    def _set_up(self, connection: DatabaseConnection) -> None:
        steps = plan_setup(self._session, connection, self._statement)
        begin = self._begin_kind()
        self._opened_lead = begin is StatementKind.BEGIN
        pending = len(steps) + (begin is not None)
        if not pending:
            self._send(connection)
            return
        self._generation += 1
        generation = self._generation
        self._arm(self._services.scheduler.now() + SETUP_LIMIT_SECONDS, self._setup_silent)
        collector = _SetupCollector(pending, lambda bad: self._set_up_done(generation, bad))
        for step in steps:
            self._send_step(connection, step, collector)
        if begin is not None:
            floor = self._target.floor if self._target is not None else None
            own = Statement("-", begin)
            connection.send(
                own, collector.take, floor if begin is StatementKind.BEGIN_READ_ONLY else None
            )

    def _begin_kind(self) -> StatementKind | None:
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            return None
        if self._target is None or self._target.proof is Proof.NONE:
            return None
        if self._target.proof is Proof.LEAD:
            return StatementKind.BEGIN
        return StatementKind.BEGIN_READ_ONLY if transaction is not None else None

    def _send_step(
        self, connection: DatabaseConnection, step: SetupStep, collector: "_SetupCollector"
    ) -> None:
        connection.send(
            Statement("-", step.kind, name=step.name, argument=step.argument, writes=step.writes),
            collector.take,
        )

    def _set_up_done(self, generation: int, bad: Reply | None | bool) -> None:
        if self._finished or generation != self._generation or self._connection is None:
            return
        connection = self._connection
        if bad is False:
            transaction = self._transaction
            if transaction is not None and transaction.connection is None:
                transaction.connection = connection
                transaction.leads = self._opened_lead
            self._send(connection)
            return
        self._cancel_timer()
        if isinstance(bad, Reply) and bad.failure is not None:
            self._note(bad.failure.code)
            self._set_up_refused(connection, bad, bad.failure)
            return
        self._note("closed")
        self._set_up_lost()

    def _set_up_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._refute()
        transaction = self._transaction
        pinned = transaction is not None and transaction.connection is not None
        clean = reply.state is TransactionState.IDLE and not connection.unanswered
        if not pinned and clean and failure.code is not ErrorCode.WRONG_DATABASE:
            self._release(connection)
            self._retry_unsent()
            return
        self._set_up_lost()

    def _set_up_lost(self) -> None:
        """The statement has not been sent: another connection may serve it."""
        in_transaction = self._transaction is not None and self._transaction.connection is not None
        self._drop_connection()
        if in_transaction:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "connection lost")
            return
        self._retry_unsent()

    def _setup_silent(self) -> None:
        if self._connection is None or self._finished:
            return
        self._note("silent_setup")
        self._suspect()
        self._set_up_lost()

    def _retry_unsent(self) -> None:
        if self._finished:
            return
        if self._services.scheduler.now() >= self._give_up_at:
            self._give_up()
            return
        self._arm(self._give_up_at, self._give_up)
        self._try_next()

    # Sending it.

    def _send(self, connection: DatabaseConnection) -> None:
        statement = self._statement
        self._sent_at = self._services.scheduler.now()
        self._generation += 1
        generation = self._generation
        floor = None
        if self._transaction is None and self._target is not None:
            floor = self._target.floor
        self._arm(self._attempt_limit(), self._silent)
        self._watch_answer(generation)
        connection.send(
            self._for_database(statement),
            lambda reply: self._answered(generation, reply),
            floor,
        )

    def _watch_answer(self, generation: int) -> None:
        def look() -> None:
            if not self._finished and generation == self._generation:
                self._suspect()

        if self._suspicion is not None:
            self._suspicion.cancel()
        self._suspicion = self._services.scheduler.call_later(SUSPECT_AFTER_SECONDS, look)

    def _for_database(self, statement: Statement) -> Statement:
        if statement.kind is not StatementKind.EXECUTE:
            return statement
        shape = self._session.prepared[statement.name]
        return Statement(
            statement.id,
            statement.kind,
            name=prepared_name(shape),
            argument=statement.argument,
        )

    def _attempt_limit(self) -> float:
        if self._writes or self._transaction is not None or self._reruns:
            return self._deadline
        remaining = self._deadline - self._sent_at
        return self._sent_at + remaining * READ_ATTEMPT_SHARE

    def _answered(self, generation: int, reply: Reply | None) -> None:
        if self._finished or generation != self._generation:
            return
        self._cancel_timer()
        if reply is None:
            self._note("lost")
            self._lost()
            return
        if reply.failure is not None:
            self._note(reply.failure.code)
            self._failed(reply, reply.failure)
            return
        self._note("done")
        self._done(reply)

    def _done(self, reply: Reply) -> None:
        self._learn_position(reply)
        transaction = self._transaction
        connection = self._connection
        if transaction is None:
            self._give_back()
            self._reply(reply, TransactionState.IDLE)
            return
        transaction.last_used = self._services.scheduler.now()
        if self._statement.kind is StatementKind.COMMIT:
            self._session.transaction = None
            if connection is not None:
                self._release(connection)
            self._reply(reply, TransactionState.IDLE)
            return
        if self._writes:
            transaction.wrote = True
        self._reply(reply, TransactionState.OPEN)

    def _learn_position(self, reply: Reply) -> None:
        if reply.position is None:
            return
        transaction = self._transaction
        history = self._group.history
        if transaction is None:
            if self._writes:
                self._session.raise_floor(reply.position)
            if self._writes or self._opened_lead:
                history.record(self._sent_at, reply.position)
                self._forget_old_lineage(reply)
            return
        if self._statement.kind is StatementKind.COMMIT:
            if transaction.wrote:
                self._session.raise_floor(reply.position)
                history.record(self._sent_at, reply.position)
        elif transaction.leads:
            history.record(self._sent_at, reply.position)

    def _forget_old_lineage(self, reply: Reply) -> None:
        """A proven primary of a later term holds all that is left of an earlier one."""
        floor = self._session.floor
        if floor is not None and reply.position is not None and floor.term < reply.position.term:
            self._session.floor = reply.position

    def _failed(self, reply: Reply, failure: Failure) -> None:
        if self._transaction is not None:
            self._failed_in_transaction(reply, failure)
            return
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._refute()
        if failure.code is ErrorCode.UNKNOWN_STATEMENT and self._connection is not None:
            self._connection.prepared.clear()
        if failure.code is ErrorCode.WRONG_DATABASE:
            self._drop_connection()
        else:
            self._give_back()
        if failure.code in NOT_RUN_CODES:
            self._retry_unsent()
            return
        if not self._writes and self._reruns < MAX_READ_RERUNS:
            self._reruns += 1
            self._retry_read()
            return
        self._fail(failure.code, failure.message)

    def _failed_in_transaction(self, reply: Reply, failure: Failure) -> None:
        is_commit = self._statement.kind is StatementKind.COMMIT
        retryable = failure.code is ErrorCode.OVERLOADED and reply.state is TransactionState.OPEN
        connection = self._connection
        now = self._services.scheduler.now()
        if retryable and connection is not None and now + RETRY_PAUSE_SECONDS < self._give_up_at:
            self._pause = self._services.scheduler.call_later(
                RETRY_PAUSE_SECONDS, lambda: self._resend(connection)
            )
            return
        if failure.code is ErrorCode.NOT_PRIMARY:
            self._refute()
        if is_commit and failure.code not in NOT_RUN_CODES:
            self._end_transaction_unknown(failure)
            return
        self._lose_transaction(failure.code, failure.message)

    def _resend(self, connection: DatabaseConnection) -> None:
        if not self._finished:
            self._send(connection)

    def _end_transaction_unknown(self, failure: Failure) -> None:
        self._session.transaction = None
        self._drop_connection()
        self._finish(Reply(TransactionState.IDLE, failure=failure))

    def _lose_transaction(self, code: ErrorCode, message: str) -> None:
        """Nothing of the transaction is kept: its commit was not sent, or did not run."""
        connection = self._connection
        if connection is not None and not connection.closed:
            self._roll_back(connection)
            self._connection = None
        is_commit = self._statement.kind is StatementKind.COMMIT
        transaction = self._transaction
        if transaction is not None:
            transaction.connection = None
            transaction.failed = True
        if is_commit:
            self._session.transaction = None
        state = TransactionState.IDLE if is_commit else TransactionState.FAILED
        self._finish(Reply(state, failure=Failure(code, message)))

    def _lost(self) -> None:
        """The connection ended after the statement was sent."""
        self._drop_connection()
        if self._transaction is not None:
            if self._statement.kind is StatementKind.COMMIT:
                failure = Failure(ErrorCode.CONNECTION_LOST, "outcome unknown")
                self._end_transaction_unknown(failure)
            else:
                self._lose_transaction(ErrorCode.TRANSACTION_LOST, "connection lost")
        elif self._writes:
            self._fail(ErrorCode.CONNECTION_LOST, "outcome unknown")
        else:
            self._retry_read()

    def _silent(self) -> None:
        """No answer within the time of this attempt."""
        if self._finished or self._connection is None:
            return
        self._note("silent")
        self._suspect()
        self._drop_connection()
        if self._transaction is not None and self._statement.kind is not StatementKind.COMMIT:
            self._lose_transaction(ErrorCode.TRANSACTION_LOST, "no answer, rolled back")
        elif self._transaction is not None:
            self._end_transaction_unknown(Failure(ErrorCode.STATEMENT_TIMEOUT, "no answer"))
        elif self._writes or self._reruns:
            self._fail(ErrorCode.STATEMENT_TIMEOUT, "no answer")
        else:
            self._reruns += 1
            self._retry_read()

    def _retry_read(self) -> None:
        """Runs a read once more; it has been late already, so it waits no longer than it may."""
        now = self._services.scheduler.now()
        if now >= self._deadline - RETRY_PAUSE_SECONDS:
            self._fail(ErrorCode.STATEMENT_TIMEOUT, "no answer")
            return
        self._give_up_at = self._deadline
        self._arm(self._deadline, self._give_up)
        if not self._targets:
            self._plan()
            return
        self._try_next()

    # Ending.

    def _refute(self) -> None:
        connection = self._connection
        if connection is None:
            return
        self._services.record(
            PrimaryRefuted(self._route.group, connection.database_id, self._statement.id)
        )
        self._group.refute_primary(connection.database_id)

    def _suspect(self) -> None:
        if self._connection is not None:
            self._services.suspect(self._route.group, self._connection.database_id)

    def _give_back(self) -> None:
        connection = self._connection
        if connection is None:
            return
        self._connection = None
        if self._opened_lead and self._transaction is None:
            self._roll_back(connection)
        else:
            self._release(connection)

    def _roll_back(self, connection: DatabaseConnection) -> None:
        self._group.roll_back(connection, self._services.scheduler)

    def _release(self, connection: DatabaseConnection) -> None:
        self._connection = None
        self._group.pool(connection.database_id).release(connection)

    def _drop_connection(self) -> None:
        """Closes a connection whose state is unknown; an answer pending there is never read."""
        connection = self._connection
        self._connection = None
        self._generation += 1
        if connection is not None:
            connection.close()
            self._group.pool(connection.database_id).release(connection)

    def _end_waiting(self) -> None:
        if self._waiter is not None:
            self._waiter.withdrawn = True
            self._waiter = None
        if self._pause is not None:
            self._pause.cancel()
        if self._suspicion is not None:
            self._suspicion.cancel()
        self._cancel_timer()

    def _fail(self, code: ErrorCode, message: str) -> None:
        transaction = self._transaction
        state = TransactionState.IDLE
        if transaction is not None:
            transaction.failed = True
            state = TransactionState.FAILED
            if self._statement.kind is StatementKind.COMMIT:
                self._session.transaction = None
                state = TransactionState.IDLE
        self._finish(Reply(state, failure=Failure(code, message)))

    def _reply(self, reply: Reply, state: TransactionState) -> None:
        self._finish(Reply(state, rows=reply.rows, signature=reply.signature))

    def _finish(self, reply: Reply) -> None:
        if self._finished:
            return
        self._end_waiting()
        self._finished = True
        self._log(reply)
        self._answer(reply)

    def _log(self, reply: Reply) -> None:
        now = self._services.scheduler.now()
        floor = self._target.floor if self._target is not None else None
        self._services.record(
            StatementAnswered(
                statement=self._statement.id,
                session=self._session.name,
                route=self._route.name,
                consistency=self._route.consistency,
                kind=self._statement.kind,
                way=",".join(self._way),
                outcome="done" if reply.failure is None else reply.failure.code,
                floor="" if floor is None else f"{floor.term}.{floor.offset}",
                waited_ms=int((now - self._arrived) * 1000),
                configuration=self._services.routes.version,
            )
        )

    def _note(self, outcome: str) -> None:
        database = "" if self._target is None else self._target.database.id
        if self._connection is not None:
            database = self._connection.database_id
        proof = "" if self._target is None else self._target.proof
        after = int((self._services.scheduler.now() - self._arrived) * 1000)
        self._way.append(f"{database}:{proof}:{outcome}@{after}")

    def _arm(self, when: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        scheduler = self._services.scheduler
        self._timer = scheduler.call_later(max(when - scheduler.now(), 0.0), callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _SetupCollector:
    """Collects the answers of the setup; tells once whether one was bad, and which."""

    def __init__(self, pending: int, done: Callable[[Reply | None | bool], None]) -> None:
        self._pending = pending
        self._done = done
        self._told = False

    def take(self, reply: Reply | None) -> None:
        """Takes one answer; None if the connection ended."""
        self._pending -= 1
        if self._told:
            return
        if reply is None or reply.failure is not None:
            self._told = True
            self._done(reply)
        elif self._pending == 0:
            self._told = True
            self._done(False)
