"""One client connection: what the proxy answers by itself, and what goes to a database."""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from dewledge.core.pooler.events import TransactionEnded
from dewledge.core.pooler.rate_limits.admission import Refusal
from dewledge.core.pooler.sessions.operation_admission import Decision, OperationAdmission
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import (
    MAX_PREPARED,
    MAX_VALUES,
    OpenTransaction,
    PreparedShape,
    SessionState,
)
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
    TransactionState,
)
from dewledge.core.shared.caller_credentials import credential_digest
from dewledge.errors import ErrorCode

MAX_PIPELINED = 64
STARTUP_HOLD_SECONDS = 1.6
"""A process that has no configuration yet lets a new session wait; clients leave after 2 s."""
COME_BACK_STARTING_MS = 500
COME_BACK_ENDING_MS = 100

_ENDS = frozenset({StatementKind.COMMIT, StatementKind.ROLLBACK})
_BEGINS = frozenset({StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY})
_RUNS = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT}
)


class ClientTransport(Protocol):
    """The client's side of a session; the shell meets it."""

    def send_ready(self) -> None:
        """Tells the client that its session stands."""

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Answers a statement."""

    def send_refusal(self, failure: Failure) -> None:
        """Refuses the session and closes the connection."""

    def close(self) -> None:
        """Closes the connection once everything sent has left."""


class ClientSession:
    """The state machine of one client connection. Statements run one after the other."""

    def __init__(self, name: str, services: PoolServices, transport: ClientTransport) -> None:
        self._name = name
        self._services = services
        self._transport = transport
        self._state: SessionState | None = None
        self._run: StatementRun | None = None
        self._admission = OperationAdmission(name, services)
        self._queue: deque[Statement | MalformedInput] = deque()
        self._ended = False
        self._leaving = False
        self._takes_more = False
        """Whether messages are being taken that came in one piece."""
        self._held: Startup | None = None

    @property
    def at_rest(self) -> bool:
        """Whether no statement is being answered and no transaction is open."""
        busy = self._is_answering or bool(self._queue) or self._takes_more
        return not busy and (self._state is None or self._state.transaction is None)

    @property
    def _is_answering(self) -> bool:
        return self._run is not None or self._admission.is_asking

    @property
    def has_started(self) -> bool:
        """Whether the session was accepted."""
        return self._state is not None

    def handle(self, message: ClientMessage) -> None:
        """Takes the next message of the client."""
        if self._ended:
            return
        if isinstance(message, Startup):
            self._start(message)
        elif isinstance(message, Terminate):
            self.end()
            self._transport.close()
        elif self._state is None or (isinstance(message, MalformedInput) and message.fatal):
            self._refuse(ErrorCode.MALFORMED_REQUEST, "not a message of this session")
        elif len(self._queue) >= MAX_PIPELINED:
            self._refuse(ErrorCode.MALFORMED_REQUEST, "too many statements without an answer")
        else:
            self._queue.append(message)
            self._serve_queue()

    def handle_all(self, messages: Iterable[ClientMessage]) -> None:
        """Takes messages that came together: a planned stop closes the session after the last."""
        self._takes_more = True
        for message in messages:
            self.handle(message)
        self._takes_more = False
        self._close_if_leaving()

    def leave(self) -> None:
        """Planned stop: closes at the next rest."""
        self._leaving = True
        self._close_if_leaving()

    def end_transaction(self, reason: str) -> None:
        """Rolls back an open transaction that rests; the next statement is told."""
        state = self._state
        if state is None or self._is_answering or state.transaction is None:
            return
        transaction = state.transaction
        if not transaction.failed:
            self._roll_back(state, transaction, reason)
            transaction.failed = True
            transaction.lost = True

    def resting_since(self) -> float | None:
        """Returns since when an open transaction with a connection rests, or None."""
        state = self._state
        if state is None or self._is_answering or state.transaction is None:
            return None
        transaction = state.transaction
        return transaction.last_used if transaction.connection is not None else None

    def end(self) -> None:
        """The client's connection is gone."""
        if self._ended:
            return
        self._ended = True
        self._queue.clear()
        self._admission.withdraw()
        if self._run is not None:
            self._run.abandon()
            if self._state is not None and self._state.transaction is not None:
                self._state.transaction.connection = None
            self._run = None
        state = self._state
        if state is not None and state.transaction is not None:
            self._roll_back(state, state.transaction, "client_left")
            state.transaction = None

    def _start(self, startup: Startup) -> None:
        if self._state is not None or self._held is not None:
            self._refuse(ErrorCode.MALFORMED_REQUEST, "the session stands already")
        elif not self._services.is_configured:
            self._held = startup
            self._services.wait_for_configuration(self._start_held)
            scheduler = self._services.scheduler
            scheduler.call_later(STARTUP_HOLD_SECONDS, self._refuse_held)
        else:
            self._accept(startup)

    def _accept(self, startup: Startup) -> None:
        routes = self._services.routes
        route = routes.find(startup.database)
        digest = credential_digest(startup.token)
        if route is None:
            self._refuse(ErrorCode.UNKNOWN_GROUP, "no route of this name")
        elif routes.authenticate(route, digest) is None:
            self._services.denials.note(self._name, route.name, routes.version)
            self._refuse(ErrorCode.UNAUTHENTICATED, "no caller has this token")
        else:
            self._state = SessionState(self._name, startup.database, digest)
            self._transport.send_ready()

    def _start_held(self) -> None:
        startup, self._held = self._held, None
        if startup is not None and not self._ended:
            self._start(startup)

    def _refuse_held(self) -> None:
        if self._held is not None and not self._ended:
            self._held = None
            message = f"not run, come back in {COME_BACK_STARTING_MS} ms"
            self._refuse(ErrorCode.OVERLOADED, message)

    def _refuse(self, code: ErrorCode, message: str) -> None:
        self.end()
        self._transport.send_refusal(Failure(code, message))

    def _serve_queue(self) -> None:
        while self._queue and not self._is_answering and not self._ended:
            self._serve(self._queue.popleft())

    def _serve(self, message: Statement | MalformedInput) -> None:
        state = self._state
        assert state is not None
        if isinstance(message, MalformedInput):
            self._fail(message.statement_id, ErrorCode.MALFORMED_REQUEST, message.message)
        elif state.transaction is not None and state.transaction.failed:
            self._serve_failed_transaction(state, state.transaction, message)
        elif message.kind in _BEGINS:
            self._begin(state, message)
        elif message.kind is StatementKind.ROLLBACK:
            self._rollback(state, message)
        elif message.kind in _RUNS:
            self._run_statement(state, message)
        else:
            self._change_session(state, message)

    def _serve_failed_transaction(
        self, state: SessionState, transaction: OpenTransaction, statement: Statement
    ) -> None:
        if statement.kind is StatementKind.ROLLBACK:
            state.transaction = None
            self._complete(statement)
        elif statement.kind is StatementKind.COMMIT:
            state.transaction = None
            self._fail(statement.id, ErrorCode.TRANSACTION_LOST, "rolled back")
        elif transaction.lost:
            transaction.lost = False
            self._fail(statement.id, ErrorCode.TRANSACTION_LOST, "rolled back")
        else:
            self._fail(statement.id, ErrorCode.MALFORMED_REQUEST, "the transaction has failed")

    def _begin(self, state: SessionState, statement: Statement) -> None:
        if state.transaction is not None:
            self._fail(statement.id, ErrorCode.MALFORMED_REQUEST, "a transaction is open")
            return
        route = self._authorized_route(state, statement)
        if route is None:
            return
        read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        now = self._services.scheduler.now()
        state.transaction = OpenTransaction(route, read_only, now)
        self._complete(statement)

    def _rollback(self, state: SessionState, statement: Statement) -> None:
        transaction = state.transaction
        if transaction is None:
            self._fail(statement.id, ErrorCode.MALFORMED_REQUEST, "no transaction is open")
            return
        self._roll_back(state, transaction, "")
        state.transaction = None
        self._complete(statement)

    def _roll_back(self, state: SessionState, transaction: OpenTransaction, reason: str) -> None:
        connection = transaction.connection
        if connection is None:
            return
        transaction.connection = None
        group = self._services.groups.get(transaction.route.group)
        if group is not None:
            group.roll_back(connection, self._services.scheduler)
        else:
            connection.close()
        if reason:
            event = TransactionEnded(state.name, connection.database_id, reason)
            self._services.record(event)

    def _run_statement(self, state: SessionState, statement: Statement) -> None:
        transaction = state.transaction
        if statement.kind is StatementKind.COMMIT and transaction is None:
            self._fail(statement.id, ErrorCode.MALFORMED_REQUEST, "no transaction is open")
            return
        if statement.kind is StatementKind.EXECUTE and statement.name not in state.prepared:
            if transaction is not None:
                self.end_transaction("unknown_statement")
                transaction.lost = False
            self._fail(statement.id, ErrorCode.UNKNOWN_STATEMENT, "no such name")
            return
        if transaction is None:
            self._begin_single(state, statement)
        elif self._may_go_on(state, transaction, statement):
            if transaction.is_admitted:
                self._start_run(state, transaction.route, statement)
            else:
                self._ask_admission(state, transaction.route, statement)

    def _begin_single(self, state: SessionState, statement: Statement) -> None:
        if self._services.is_ending:
            message = f"not run, come back in {COME_BACK_ENDING_MS} ms"
            self._fail(statement.id, ErrorCode.OVERLOADED, message)
            return
        route = self._authorized_route(state, statement)
        if route is not None:
            self._ask_admission(state, route, statement)

    def _authorized_route(self, state: SessionState, statement: Statement) -> Route | None:
        """Returns the route by the configuration in force, or refuses the statement."""
        routes = self._services.routes
        route = routes.find(state.database)
        if route is None:
            self._fail(statement.id, ErrorCode.UNKNOWN_GROUP, "no route of this name")
            return None
        caller = routes.authenticate(route, state.credential_digest)
        if caller is None:
            self._services.denials.note(self._name, route.name, routes.version)
            self._fail(statement.id, ErrorCode.UNAUTHENTICATED, "no caller has this token")
            return None
        state.caller = caller
        return route

    def end_if_denied(self) -> None:
        """Rolls back a transaction that rests if its client's token is not valid any more."""
        state = self._state
        if state is not None and state.transaction is not None and not self._is_allowed(state):
            self.end_transaction("token_taken_away")

    def _is_allowed(self, state: SessionState) -> bool:
        """Tells whether the transaction's caller still has the client's token."""
        assert state.transaction is not None
        caller = self._services.routes.authenticate(
            state.transaction.route, state.credential_digest
        )
        return caller == state.caller

    def _may_go_on(
        self, state: SessionState, transaction: OpenTransaction, statement: Statement
    ) -> bool:
        if self._is_allowed(state):
            return True
        self.end_transaction("token_taken_away")
        self._serve_failed_transaction(state, transaction, statement)
        return False

    def _ask_admission(self, state: SessionState, route: Route, statement: Statement) -> None:
        def decided(decision: Decision) -> None:
            if decision.refusal is not None:
                self._not_admitted(state, statement, decision.refusal)
                return
            if state.transaction is not None:
                state.transaction.is_admitted = True
            self._start_run(state, route, statement, decision.arrived, decision.decided_at)

        self._admission.ask(state, route, statement, decided)

    def _not_admitted(self, state: SessionState, statement: Statement, refusal: Refusal) -> None:
        if state.transaction is not None and statement.kind is StatementKind.COMMIT:
            state.transaction = None
        elif state.transaction is not None:
            state.transaction.failed = True
        message = f"not run, come back in {refusal.come_back_ms} ms"
        self._fail(statement.id, ErrorCode.RATE_LIMITED, message)
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
            self._fail(statement.id, ErrorCode.UNKNOWN_GROUP, "no route of this name")
            return
        if arrived is None:
            arrived = self._services.scheduler.now()
        answerer = self._answerer(statement.id, admitted_at)
        scope = StatementScope(self._services, group, route, state, statement, arrived)
        self._run = StatementRun(scope, answerer)
        self._run.start()

    def _answerer(self, statement_id: str, admitted_at: float | None) -> Callable[[Reply], None]:
        def answer(reply: Reply) -> None:
            self._run = None
            if admitted_at is not None and reply.failure is None:
                self._admission.note_served(admitted_at)
            if self._ended:
                return
            self._transport.send_reply(statement_id, reply)
            self._close_if_leaving()
            self._serve_queue()

        return answer

    def _change_session(self, state: SessionState, statement: Statement) -> None:
        if statement.kind is StatementKind.SET_VALUE:
            known = statement.name in state.values
            if not known and len(state.values) >= MAX_VALUES:
                self._fail(statement.id, ErrorCode.TOO_LARGE, "too many values")
                return
            state.values[statement.name] = statement.argument
        elif statement.kind is StatementKind.PREPARE:
            if statement.name not in state.prepared and len(state.prepared) >= MAX_PREPARED:
                self._fail(statement.id, ErrorCode.TOO_LARGE, "too many prepared statements")
                return
            shape = PreparedShape(statement.writes, statement.argument)
            state.prepared[statement.name] = shape
        else:
            state.prepared.pop(statement.name, None)
        self._complete(statement)

    def _complete(self, statement: Statement) -> None:
        self._transport.send_reply(statement.id, Reply(self._transaction_state()))
        self._close_if_leaving()

    def _fail(self, statement_id: str, code: ErrorCode, message: str) -> None:
        reply = Reply(self._transaction_state(), failure=Failure(code, message))
        self._transport.send_reply(statement_id, reply)
        self._close_if_leaving()

    def _transaction_state(self) -> TransactionState:
        state = self._state
        if state is None or state.transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if state.transaction.failed else TransactionState.OPEN

    def _close_if_leaving(self) -> None:
        if self._leaving and self.at_rest and not self._ended:
            self.end()
            self._transport.close()
