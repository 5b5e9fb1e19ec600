"""Applies a client's SET, PREPARE and DEALLOCATE to its session state.

Only the proxy stores values and prepared statements; connection_setup.py applies them to a database
connection before use.
"""

from dewledge.core.pooler.sessions.session_state import (
    MAX_PREPARED_STATEMENTS,
    MAX_SESSION_VALUES,
    PreparedStatement,
    SessionState,
)
from dewledge.core.pooler.statements.statements import Failure, Statement, StatementKind
from dewledge.errors import ErrorCode


def apply_session_change(state: SessionState, statement: Statement) -> Failure | None:
    """Sets a value, or prepares or deallocates a statement; returns a failure or None."""
    if statement.kind is StatementKind.SET_VALUE:
        is_set = statement.name in state.values
        if not is_set and len(state.values) >= MAX_SESSION_VALUES:
            return Failure(ErrorCode.TOO_LARGE, "too many values")
        state.values[statement.name] = statement.argument
    elif statement.kind is StatementKind.PREPARE:
        if statement.name not in state.prepared and len(state.prepared) >= MAX_PREPARED_STATEMENTS:
            return Failure(ErrorCode.TOO_LARGE, "too many prepared statements")
        shape = PreparedStatement(statement.writes, statement.argument)
        state.prepared[statement.name] = shape
    else:
        state.prepared.pop(statement.name, None)
    return None
