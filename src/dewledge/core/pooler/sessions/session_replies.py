"""Answers that the proxy gives a client without involving a database.

Each answer carries the session's current transaction state.
"""

from collections.abc import Callable

from dewledge.core.pooler.sessions.client_transport import ClientTransport
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.statements import Failure, Reply, Statement
from dewledge.errors import ErrorCode


class SessionReplies:
    """Sends the proxy's own answers to one session's client."""

    __slots__ = ("_on_answered", "_transport")

    def __init__(self, transport: ClientTransport, on_answered: Callable[[], None]) -> None:
        """on_answered: called after each answer, when the session may have become idle."""
        self._transport = transport
        self._on_answered = on_answered

    def complete(self, state: SessionState, statement: Statement) -> None:
        """Answers that the statement succeeded."""
        self._transport.send_reply(statement.id, Reply(state.transaction_state))
        self._on_answered()

    def fail(self, state: SessionState, statement_id: str, code: ErrorCode, message: str) -> None:
        """Answers that the statement failed."""
        reply = Reply(state.transaction_state, failure=Failure(code, message))
        self._transport.send_reply(statement_id, reply)
        self._on_answered()
