"""Dispatches the messages of a client connection, in order.

Owns the message queue and the statement that is being answered. SessionStart handles the startup,
SessionTransactions the transactions, OperationAdmission the caller's rate limit, and StatementRun
the statements for a database.
"""

from collections import deque
from collections.abc import Callable, Iterable

from dewledge.core.pooler.rate_limits.admission import Refusal
from dewledge.core.pooler.sessions.authorization import UNKNOWN_ROUTE_FAILURE, Authorization
from dewledge.core.pooler.sessions.client_transport import ClientTransport
from dewledge.core.pooler.sessions.operation_admission import AdmissionDecision, OperationAdmission
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_changes import apply_session_change
from dewledge.core.pooler.sessions.session_replies import SessionReplies
from dewledge.core.pooler.sessions.session_start import SessionStart
from dewledge.core.pooler.sessions.session_state import OpenTransaction, SessionState
from dewledge.core.pooler.sessions.session_transactions import SessionTransactions
from dewledge.core.pooler.statements.retry_times import RETRY_AFTER_STOPPING_MS, refusal
from dewledge.core.pooler.statements.statement_run import StatementRun
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import (
    ClientMessage,
    Failure,
    MalformedInput,
    Reply,
    Startup,
    Statement,
    StatementKind,
    Terminate,
)
from dewledge.errors import ErrorCode

MAX_PIPELINED_MESSAGES = 64
"""Messages that a client may have in the queue: limits the memory that it can use."""
MAX_QUEUED_BYTES = 4 * 1024 * 1024
"""Bytes of the messages in the queue at which no further one is taken."""

_TRANSACTION_ENDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})
_TRANSACTION_BEGINS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY})
_DATABASE_STATEMENTS = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT}
)


class ClientSession:
    """State machine of a client connection; runs one statement at a time."""

    def __init__(self, name: str, services: PoolServices, transport: ClientTransport) -> None:
        self._services = services
        self._transport = transport
        self._state: SessionState | None = None
        self._run: StatementRun | None = None
        self._authorization = Authorization(name, services)
        self._start = SessionStart(
            name, services, self._authorization, self._on_accepted, self._refuse
        )
        self._replies = SessionReplies(transport, self._close_if_requested)
        self._transactions = SessionTransactions(services, self._replies)
        self._admission = OperationAdmission(name, services)
        self._queue: deque[Statement | MalformedInput] = deque()
        self._queued_bytes = 0
        self._ended = False
        self._closes_when_idle = False
        self._is_handling_batch = False
        """Whether `handle_all` is still handling messages that arrived together."""

    @property
    def is_idle(self) -> bool:
        """Whether no message is waiting or being answered, and no transaction is open."""
        busy = self._is_busy or bool(self._queue) or self._is_handling_batch
        return not busy and (self._state is None or self._state.transaction is None)

    @property
    def _is_busy(self) -> bool:
        return self._run is not None or self._admission.is_waiting

    def handle(self, message: ClientMessage) -> None:
        """Handles the next message of the client."""
        if self._ended:
            return
        if isinstance(message, Startup):
            self._start.begin(message)
        elif isinstance(message, Terminate):
            self.end()
            self._transport.close()
        elif self._state is None or (isinstance(message, MalformedInput) and message.fatal):
            self._refuse(_malformed("not a message of this session"))
        elif len(self._queue) >= MAX_PIPELINED_MESSAGES or self._queued_bytes >= MAX_QUEUED_BYTES:
            self._refuse(_malformed("too many statements without an answer"))
        else:
            self._queue.append(message)
            self._queued_bytes += _size_of(message)
            self._serve_queue()

    def handle_all(self, messages: Iterable[ClientMessage]) -> None:
        """Handles messages that arrived together; a planned stop closes the session after all."""
        self._is_handling_batch = True
        for message in messages:
            self.handle(message)
        self._is_handling_batch = False
        self._close_if_requested()

    def close_when_idle(self) -> None:
        """Closes the session as soon as it is idle, for a planned stop."""
        self._closes_when_idle = True
        self._close_if_requested()

    def end_transaction(self, reason: str) -> None:
        """Rolls back the open transaction if no statement is being answered.

        The client's next statement then fails with TRANSACTION_LOST.
        """
        if self._state is not None and not self._is_busy:
            self._transactions.end_idle(self._state, reason)

    def end_transaction_if_unauthorized(self) -> None:
        """Rolls back an idle transaction if the client's credential is no longer valid."""
        state = self._state
        if state is None or state.transaction is None:
            return
        if not self._authorization.is_transaction_authorized(state):
            self.end_transaction("token_taken_away")

    def idle_since(self) -> float | None:
        """Returns when the open transaction last used its connection (steady clock, seconds).

        None while a statement is being answered, and without a transaction that has a connection.
        """
        state = self._state
        if state is None or self._is_busy or state.transaction is None:
            return None
        transaction = state.transaction
        return transaction.last_used if transaction.connection is not None else None

    def end(self) -> None:
        """Ends the session: abandons the running statement and rolls back an open transaction."""
        if self._ended:
            return
        self._ended = True
        self._start.withdraw()
        self._queue.clear()
        self._admission.withdraw()
        if self._run is not None:
            self._run.abandon()
            if self._state is not None and self._state.transaction is not None:
                self._state.transaction.connection = None
            self._run = None
        if self._state is not None:
            self._transactions.abandon(self._state)

    def _on_accepted(self, state: SessionState) -> None:
        self._state = state
        self._transport.send_ready()

    def _refuse(self, failure: Failure) -> None:
        self.end()
        self._transport.send_refusal(failure)

    def _serve_queue(self) -> None:
        while self._queue and not self._is_busy and not self._ended:
            message = self._queue.popleft()
            self._queued_bytes -= _size_of(message)
            self._serve(message)

    def _serve(self, message: Statement | MalformedInput) -> None:
        state = self._state
        assert state is not None
        if isinstance(message, MalformedInput):
            self._fail(state, message.statement_id, _malformed(message.message))
        elif state.transaction is not None and state.transaction.failed:
            self._transactions.answer_in_failed(state, state.transaction, message)
        elif message.kind in _TRANSACTION_BEGINS:
            self._begin(state, message)
        elif message.kind is StatementKind.ROLLBACK:
            self._transactions.rollback(state, message)
        elif message.kind in _DATABASE_STATEMENTS:
            self._run_statement(state, message)
        else:
            self._change_session(state, message)

    def _begin(self, state: SessionState, statement: Statement) -> None:
        if state.transaction is not None:
            self._fail(state, statement.id, _malformed("a transaction is open"))
            return
        route = self._authorized_route(state, statement)
        if route is not None:
            self._transactions.begin(state, statement, route)

    def _run_statement(self, state: SessionState, statement: Statement) -> None:
        transaction = state.transaction
        if statement.kind is StatementKind.COMMIT and transaction is None:
            self._fail(state, statement.id, _malformed("no transaction is open"))
            return
        if statement.kind is StatementKind.EXECUTE and statement.name not in state.prepared:
            if transaction is not None:
                self.end_transaction("unknown_statement")
                transaction.is_loss_unreported = False
            self._fail(
                state,
                statement.id,
                Failure(ErrorCode.UNKNOWN_STATEMENT, "no such name"),
            )
            return
        if transaction is None:
            self._run_single_statement(state, statement)
        elif self._check_authorization(state, transaction, statement):
            if transaction.is_admitted:
                self._start_run(state, transaction.route, statement)
            else:
                self._request_admission(state, transaction.route, statement)

    def _run_single_statement(self, state: SessionState, statement: Statement) -> None:
        if self._services.is_ending:
            refused = refusal(ErrorCode.OVERLOADED, RETRY_AFTER_STOPPING_MS)
            self._fail(state, statement.id, refused)
            return
        route = self._authorized_route(state, statement)
        if route is not None:
            self._request_admission(state, route, statement)

    def _authorized_route(self, state: SessionState, statement: Statement) -> Route | None:
        """Returns the route by the current configuration, or None after refusing the statement."""
        authorized = self._authorization.authorize(state.database, state.credential_digest)
        if isinstance(authorized, Failure):
            self._fail(state, statement.id, authorized)
            return None
        state.caller = authorized.caller
        return authorized.route

    def _check_authorization(
        self, state: SessionState, transaction: OpenTransaction, statement: Statement
    ) -> bool:
        if self._authorization.is_transaction_authorized(state):
            return True
        self.end_transaction("token_taken_away")
        self._transactions.answer_in_failed(state, transaction, statement)
        return False

    def _request_admission(self, state: SessionState, route: Route, statement: Statement) -> None:
        def on_decided(decision: AdmissionDecision) -> None:
            if decision.refusal is not None:
                self._on_not_admitted(state, statement, decision.refusal)
                return
            if state.transaction is not None:
                state.transaction.is_admitted = True
            self._start_run(state, route, statement, decision.arrived, decision.decided_at)

        self._admission.request(state, route, statement, on_decided)

    def _on_not_admitted(self, state: SessionState, statement: Statement, refused: Refusal) -> None:
        if state.transaction is not None and statement.kind is StatementKind.COMMIT:
            state.transaction = None
        elif state.transaction is not None:
            state.transaction.failed = True
        failure = refusal(ErrorCode.RATE_LIMITED, refused.come_back_ms)
        self._fail(state, statement.id, failure)
        self._serve_queue()

    def _start_run(
        self,
        state: SessionState,
        route: Route,
        statement: Statement,
        arrived: float | None = None,
        admitted_at: float | None = None,
    ) -> None:
        group = self._services.groups.get(route.group)
        if group is None:
            self._fail(state, statement.id, UNKNOWN_ROUTE_FAILURE)
            return
        if arrived is None:
            arrived = self._services.scheduler.now()
        on_reply = self._reply_handler(statement.id, admitted_at)
        writes = state.writes(statement)
        scope = StatementScope(self._services, group, route, state, statement, writes, arrived)
        self._run = StatementRun(scope, on_reply)
        self._run.start()

    def _reply_handler(
        self, statement_id: str, admitted_at: float | None
    ) -> Callable[[Reply], None]:
        def answer(reply: Reply) -> None:
            self._run = None
            if admitted_at is not None and reply.failure is None:
                self._admission.record_served(admitted_at)
            if self._ended:
                return
            self._transport.send_reply(statement_id, reply)
            self._close_if_requested()
            self._serve_queue()

        return answer

    def _change_session(self, state: SessionState, statement: Statement) -> None:
        failure = apply_session_change(state, statement)
        if failure is None:
            self._replies.complete(state, statement)
        else:
            self._fail(state, statement.id, failure)

    def _fail(self, state: SessionState, statement_id: str, failure: Failure) -> None:
        self._replies.fail(state, statement_id, failure.code, failure.message)

    def _close_if_requested(self) -> None:
        if self._closes_when_idle and self.is_idle and not self._ended:
            self.end()
            self._transport.close()


def _size_of(message: Statement | MalformedInput) -> int:
    if isinstance(message, MalformedInput):
        return len(message.message)
    return len(message.text) + len(message.argument)


def _malformed(message: str) -> Failure:
    return Failure(ErrorCode.MALFORMED_REQUEST, message)
