"""Applies a client's SET, PREPARE and DEALLOCATE to its session state.

Only the proxy stores values and prepared statements; connection_setup.py applies them to a database
connection before use.
"""

from dewledge.core.pooler.sessions.session_state import (
    MAX_PREPARED_STATEMENTS,
    MAX_SESSION_VALUES,
    MAX_STATE_BYTES,
    PreparedStatement,
    SessionState,
)
from dewledge.core.pooler.statements.statements import Failure, Statement, StatementKind
from dewledge.errors import ErrorCode


def apply_session_change(state: SessionState, statement: Statement) -> Failure | None:
    """Sets a value, or prepares or deallocates a statement; returns a failure or None."""
    if statement.kind is StatementKind.SET_VALUE:
        return _set_value(state, statement)
    if statement.kind is StatementKind.PREPARE:
        return _prepare(state, statement)
    state.prepared.pop(statement.name, None)
    return None


def _set_value(state: SessionState, statement: Statement) -> Failure | None:
    previous = state.values.get(statement.name)
    if previous is None and len(state.values) >= MAX_SESSION_VALUES:
        return Failure(ErrorCode.TOO_LARGE, "too many values")
    failure = _check_size(state, statement, previous)
    if failure is None:
        state.values[statement.name] = statement.argument
    return failure


def _prepare(state: SessionState, statement: Statement) -> Failure | None:
    previous = state.prepared.get(statement.name)
    if previous is None and len(state.prepared) >= MAX_PREPARED_STATEMENTS:
        return Failure(ErrorCode.TOO_LARGE, "too many prepared statements")
    failure = _check_size(state, statement, None if previous is None else previous.shape)
    if failure is None:
        shape = PreparedStatement(statement.writes, statement.argument)
        state.prepared[statement.name] = shape
    return failure


def _check_size(state: SessionState, statement: Statement, previous: str | None) -> Failure | None:
    """Returns the failure if the session would keep too much; `previous`: what is replaced."""
    replaced = 0 if previous is None else len(statement.name) + len(previous)
    size = state.kept_bytes - replaced + len(statement.name) + len(statement.argument)
    if size <= MAX_STATE_BYTES:
        return None
    return Failure(
        ErrorCode.TOO_LARGE,
        f"values and prepared statements of {size} bytes, at most {MAX_STATE_BYTES} are kept",
    )
