"""Brings a shared database connection into the state that a session's statement needs.

The setup sends only the session values and prepared statements that the connection lacks. If the
connection has values that the session does not set, or too many prepared statements, its whole
state is discarded first: no session may see the state of another. The connection records its state.
"""

from collections.abc import Callable, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.session_state import PreparedStatement, SessionState
from dewledge.core.pooler.statements.statements import (
    PROXY_STATEMENT_ID,
    Reply,
    Statement,
    StatementKind,
)
from dewledge.core.shared.positions import LogPosition

MAX_PREPARED_PER_CONNECTION = 200
"""Statements prepared on one connection; above this its state is discarded, which bounds the memory
used at the database."""


class SetupStep(msgspec.Struct, frozen=True):
    """A statement that the proxy sends to prepare a connection."""

    kind: StatementKind
    name: str = ""
    argument: str = ""
    writes: bool = False


def prepared_name(shape: PreparedStatement) -> str:
    """Returns the name of a prepared statement at databases; sessions with one shape share it."""
    digest = xxhash.xxh3_128_hexdigest(f"{int(shape.writes)} {shape.shape}".encode())
    return f"p{digest}"


def statement_for_database(session: SessionState, statement: Statement) -> Statement:
    """Returns the statement as sent to the database; EXECUTE gets the shared prepared name."""
    if statement.kind is not StatementKind.EXECUTE:
        return statement
    name = prepared_name(session.prepared[statement.name])
    return Statement(statement.id, statement.kind, name=name, argument=statement.argument)


def plan_setup(
    session: SessionState, connection: DatabaseConnection, statement: Statement, is_pinned: bool
) -> Sequence[SetupStep]:
    """Returns the steps that bring `connection` into the session's state.

    The connection records the new state at once, so the caller must close it if a step fails.
    is_pinned: whether the session's open transaction already uses the connection; its state is then
    not discarded.
    """
    steps: list[SetupStep] = []
    shape = None
    if statement.kind is StatementKind.EXECUTE:
        shape = session.prepared[statement.name]
    foreign_values = connection.values.keys() - session.values.keys()
    has_too_many = len(connection.prepared) > MAX_PREPARED_PER_CONNECTION
    if not is_pinned and (foreign_values or has_too_many):
        steps.append(SetupStep(StatementKind.DISCARD))
        connection.values.clear()
        connection.prepared.clear()
    for name, value in session.values.items():
        if connection.values.get(name) != value:
            steps.append(SetupStep(StatementKind.SET_VALUE, name, value))
            connection.values[name] = value
    if shape is not None:
        name = prepared_name(shape)
        if name not in connection.prepared:
            steps.append(SetupStep(StatementKind.PREPARE, name, shape.shape, shape.writes))
            connection.prepared.add(name)
    return steps


class SetupReplies:
    """Combines the replies to pipelined setup statements into one result.

    Calls `done` once: with True if all succeeded, otherwise with the first failed reply, or with
    None if the connection closed.
    """

    def __init__(self, pending: int, done: Callable[[Reply | None | bool], None]) -> None:
        self._pending = pending
        self._on_done = done
        self._is_reported = False

    def on_reply(self, reply: Reply | None) -> None:
        """Handles one reply; None if the connection closed."""
        self._pending -= 1
        if self._is_reported:
            return
        if reply is None or reply.failure is not None:
            self._is_reported = True
            self._on_done(reply)
        elif self._pending == 0:
            self._is_reported = True
            self._on_done(True)


def send_setup(
    connection: DatabaseConnection,
    steps: Sequence[SetupStep],
    begin: StatementKind | None,
    floor: LogPosition | None,
    done: Callable[[Reply | None | bool], None],
) -> None:
    """Sends the steps, then `begin` unless it is None, without waiting for replies in between.

    floor: minimum log position for a read-only transaction. done: see SetupReplies.
    """
    replies = SetupReplies(len(steps) + (begin is not None), done)
    for step in steps:
        message = Statement(
            PROXY_STATEMENT_ID,
            step.kind,
            name=step.name,
            argument=step.argument,
            writes=step.writes,
        )
        connection.send(message, replies.on_reply)
    if begin is not None:
        read_only = begin is StatementKind.BEGIN_READ_ONLY
        message = Statement(PROXY_STATEMENT_ID, begin)
        connection.send(message, replies.on_reply, floor if read_only else None)
