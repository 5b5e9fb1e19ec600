"""What a peer's channel has set: values and prepared names, kept at the holder.

Owns the state of one channel's session; a connection is given it before a statement runs there.
"""

from dewledge.core.pooler.sessions.session_state import PreparedShape, SessionState
from dewledge.core.pooler.statements.statements import Statement, StatementKind

_KEPT_HERE = frozenset(
    {
        StatementKind.SET_VALUE,
        StatementKind.PREPARE,
        StatementKind.DEALLOCATE,
        StatementKind.DISCARD,
    }
)
"""Statements that change what is kept and reach no database."""


class KeptSession:
    """The session's state of one channel."""

    __slots__ = ("state",)

    def __init__(self, name: str, caller: str) -> None:
        self.state = SessionState(name, "")
        self.state.caller = caller

    def keeps(self, statement: Statement) -> bool:
        """Tells whether a statement changes only what is kept here."""
        return statement.kind in _KEPT_HERE

    def change(self, statement: Statement) -> None:
        """Takes a statement that is kept here."""
        state = self.state
        if statement.kind is StatementKind.SET_VALUE:
            state.values[statement.name] = statement.argument
        elif statement.kind is StatementKind.PREPARE:
            shape = PreparedShape(statement.writes, statement.argument)
            state.prepared[statement.name] = shape
        elif statement.kind is StatementKind.DEALLOCATE:
            state.prepared.pop(statement.name, None)
        else:
            state.values.clear()
            state.prepared.clear()

    def lacks_name_of(self, statement: Statement) -> bool:
        """Tells whether a statement executes a name that was never prepared."""
        is_execute = statement.kind is StatementKind.EXECUTE
        return is_execute and statement.name not in self.state.prepared

    def writes(self, statement: Statement) -> bool:
        """Tells whether a statement writes, be it by what its name stands for."""
        if statement.kind is StatementKind.WRITE:
            return True
        shape = self.state.prepared.get(statement.name)
        return statement.kind is StatementKind.EXECUTE and shape is not None and shape.writes
