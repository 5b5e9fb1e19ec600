"""Begins and ends a session's transactions, and answers statements in a failed transaction.

SessionState holds the transaction, and the group takes back its connection. BEGIN alone reaches no
database: a transaction gets its connection with its first statement.
"""

from dewledge.core.pooler.events import TransactionEnded
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_replies import SessionReplies
from dewledge.core.pooler.sessions.session_state import OpenTransaction, SessionState
from dewledge.core.pooler.statements.statements import Statement, StatementKind
from dewledge.errors import ErrorCode


class SessionTransactions:
    """Begins, ends and rolls back the transactions of a session."""

    __slots__ = ("_replies", "_services")

    def __init__(self, services: PoolServices, replies: SessionReplies) -> None:
        self._services = services
        self._replies = replies

    def begin(self, state: SessionState, statement: Statement, route: Route) -> None:
        """Begins a transaction on an authorized route."""
        read_only = statement.kind is StatementKind.BEGIN_READ_ONLY
        now = self._services.scheduler.now()
        state.transaction = OpenTransaction(route, read_only, now)
        self._replies.complete(state, statement)

    def rollback(self, state: SessionState, statement: Statement) -> None:
        """Rolls back the open transaction at the client's request."""
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
        """Answers a statement in a failed transaction: only COMMIT and ROLLBACK are accepted."""
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
        """Rolls back an idle transaction, if one is open; the client's next statement fails."""
        transaction = state.transaction
        if transaction is not None and not transaction.failed:
            self._roll_back(state, transaction, reason)
            transaction.failed = True
            transaction.is_loss_unreported = True

    def abandon(self, state: SessionState) -> None:
        """Rolls back the open transaction: the client has left."""
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
