"""Session values and prepared statements: what a client's SET, PREPARE and DEALLOCATE change.

They are kept by the proxy alone; connection_setup.py tells them to a database connection when one
is used.
"""

from dewledge.core.pooler.sessions.session_state import (
    MAX_PREPARED_STATEMENTS,
    MAX_SESSION_VALUES,
    PreparedShape,
    SessionState,
)
from dewledge.core.pooler.statements.statements import Failure, Statement, StatementKind
from dewledge.errors import ErrorCode


def apply_session_change(state: SessionState, statement: Statement) -> Failure | None:
    """Sets a value, prepares or deallocates a statement; returns why it is not done, if so."""
    if statement.kind is StatementKind.SET_VALUE:
        known = statement.name in state.values
        if not known and len(state.values) >= MAX_SESSION_VALUES:
            return Failure(ErrorCode.TOO_LARGE, "too many values")
        state.values[statement.name] = statement.argument
    elif statement.kind is StatementKind.PREPARE:
        if statement.name not in state.prepared and len(state.prepared) >= MAX_PREPARED_STATEMENTS:
            return Failure(ErrorCode.TOO_LARGE, "too many prepared statements")
        shape = PreparedShape(statement.writes, statement.argument)
        state.prepared[statement.name] = shape
    else:
        state.prepared.pop(statement.name, None)
    return None
