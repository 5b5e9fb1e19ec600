"""The transaction of a session: its begin, its end, and what a failed one still answers.

It owns no state: the transaction is kept in SessionState, its connection goes back to the group. A
transaction has a database connection from its first statement on; BEGIN alone reaches no database.
"""

from dewledge.core.pooler.events import TransactionEnded
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_replies import SessionReplies
from dewledge.core.pooler.sessions.session_state import OpenTransaction, SessionState
from dewledge.core.pooler.statements.statements import Statement, StatementKind
from dewledge.errors import ErrorCode


class SessionTransactions:
    """Of one session."""

    __slots__ = ("_replies", "_services")

    def __init__(self, services: PoolServices, replies: SessionReplies) -> None:
        self._services = services
        self._replies = replies

    def begin(self, state: SessionState, statement: Statement, route: Route) -> None:
        """The client begins a transaction on a route that it may use."""
        read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        now = self._services.scheduler.now()
        state.transaction = OpenTransaction(route, read_only, now)
        self._replies.complete(state, statement)

    def rollback(self, state: SessionState, statement: Statement) -> None:
        """The client asks for a rollback."""
        transaction = state.transaction
        if transaction is None:
            message = "no transaction is open"
            self._replies.fail(state, statement.id, ErrorCode.MALFORMED_REQUEST, message)
            return
        self._roll_back(state, transaction, "")
        state.transaction = None
        self._replies.complete(state, statement)

    def answer_in_failed(
        self, state: SessionState, transaction: OpenTransaction, statement: Statement
    ) -> None:
        """Answers a statement of a transaction that has failed: only its end is taken."""
        if statement.kind is StatementKind.ROLLBACK:
            state.transaction = None
            self._replies.complete(state, statement)
        elif statement.kind is StatementKind.COMMIT:
            state.transaction = None
            self._replies.fail(state, statement.id, ErrorCode.TRANSACTION_LOST, "rolled back")
        elif transaction.is_loss_unreported:
            transaction.is_loss_unreported = False
            self._replies.fail(state, statement.id, ErrorCode.TRANSACTION_LOST, "rolled back")
        else:
            message = "the transaction has failed"
            self._replies.fail(state, statement.id, ErrorCode.MALFORMED_REQUEST, message)

    def end_idle(self, state: SessionState, reason: str) -> None:
        """Rolls back a transaction that rests, if one is open; the next statement is told."""
        transaction = state.transaction
        if transaction is not None and not transaction.failed:
            self._roll_back(state, transaction, reason)
            transaction.failed = True
            transaction.is_loss_unreported = True

    def abandon(self, state: SessionState) -> None:
        """The client is gone: rolls back what is open."""
        if state.transaction is not None:
            self._roll_back(state, state.transaction, "client_left")
            state.transaction = None

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
