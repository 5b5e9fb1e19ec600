"""Answers that the proxy gives a client by itself, without a database.

It owns nothing; the transaction's state in an answer is the session's of this moment.
"""

from collections.abc import Callable

from dewledge.core.pooler.sessions.client_transport import ClientTransport
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.statements import Failure, Reply, Statement
from dewledge.errors import ErrorCode


class SessionReplies:
    """Of one session."""

    __slots__ = ("_on_answered", "_transport")

    def __init__(self, transport: ClientTransport, on_answered: Callable[[], None]) -> None:
        """`answered`: called after each answer, when the session may be at rest."""
        self._transport = transport
        self._on_answered = on_answered

    def complete(self, state: SessionState, statement: Statement) -> None:
        """The statement is done."""
        self._transport.send_reply(statement.id, Reply(state.transaction_state))
        self._on_answered()

    def fail(self, state: SessionState, statement_id: str, code: ErrorCode, message: str) -> None:
        """The statement is not done."""
        reply = Reply(state.transaction_state, failure=Failure(code, message))
        self._transport.send_reply(statement_id, reply)
        self._on_answered()
