"""Session state of a peer's channel, stored at the holder: session values, prepared statements.

The state is applied to a database connection before a statement of the channel runs on it.
"""

from dewledge.core.pooler.sessions.session_state import PreparedStatement, SessionState
from dewledge.core.pooler.statements.statements import Statement, StatementKind

_STATE_KINDS = frozenset(
    {
        StatementKind.SET_VALUE,
        StatementKind.PREPARE,
        StatementKind.DEALLOCATE,
        StatementKind.DISCARD,
    }
)
"""Kinds of statements that change only the stored session state and are not sent to a database."""


class ChannelState:
    """Stores the session state of a channel."""

    __slots__ = ("state",)

    def __init__(self, name: str, caller: str) -> None:
        self.state = SessionState(name, "")
        self.state.caller = caller

    def handles(self, statement: Statement) -> bool:
        """Tells whether a statement changes only the stored session state."""
        return statement.kind in _STATE_KINDS

    def apply(self, statement: Statement) -> None:
        """Applies a statement for which `handles` is true to the stored state."""
        state = self.state
        if statement.kind is StatementKind.SET_VALUE:
            state.values[statement.name] = statement.argument
        elif statement.kind is StatementKind.PREPARE:
            shape = PreparedStatement(statement.writes, statement.argument)
            state.prepared[statement.name] = shape
        elif statement.kind is StatementKind.DEALLOCATE:
            state.prepared.pop(statement.name, None)
        else:
            state.values.clear()
            state.prepared.clear()

    def is_unknown(self, statement: Statement) -> bool:
        """Tells whether a statement executes a prepared statement that does not exist."""
        is_execute = statement.kind is StatementKind.EXECUTE
        return is_execute and statement.name not in self.state.prepared

    def writes(self, statement: Statement) -> bool:
        """Tells whether a statement writes, directly or by executing a prepared write."""
        if statement.kind is StatementKind.WRITE:
            return True
        shape = self.state.prepared.get(statement.name)
        return statement.kind is StatementKind.EXECUTE and shape is not None and shape.writes
