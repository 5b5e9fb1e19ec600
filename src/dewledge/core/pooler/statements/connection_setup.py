"""What a shared database connection must be told before a session's statement may run there.

Inputs: what the session has (values, prepared statements) and what the connection has already.
Decision: the steps by which the connection gets what it lacks; everything is discarded where it has
values of another session. Reason: nothing of one session may be seen by another, and a statement
should cost no step that is not needed. It owns nothing: the connection notes what it was told.
"""

from collections.abc import Callable, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.session_state import PreparedShape, SessionState
from dewledge.core.pooler.statements.statements import (
    OWN_STATEMENT_ID,
    Reply,
    Statement,
    StatementKind,
)
from dewledge.core.shared.positions import LogPosition

MAX_PREPARED_PER_CONNECTION = 200
"""Statements prepared on one database connection. With more everything is discarded, so that the
memory of the database is bounded."""


class SetupStep(msgspec.Struct, frozen=True):
    """One statement of the proxy's own that prepares a connection."""

    kind: StatementKind
    name: str = ""
    argument: str = ""
    writes: bool = False


def prepared_name(shape: PreparedShape) -> str:
    """Returns the name of a shape at databases: the same for every session that prepares it."""
    digest = xxhash.xxh3_128_hexdigest(f"{int(shape.writes)} {shape.shape}".encode())
    return f"p{digest}"


def statement_for_database(session: SessionState, statement: Statement) -> Statement:
    """Returns a client's statement as a database gets it, under its own names."""
    if statement.kind is not StatementKind.EXECUTE:
        return statement
    name = prepared_name(session.prepared[statement.name])
    return Statement(statement.id, statement.kind, name=name, argument=statement.argument)


def plan_setup(
    session: SessionState, connection: DatabaseConnection, statement: Statement, is_pinned: bool
) -> Sequence[SetupStep]:
    """Returns the steps that give `connection` the session's state, and notes them as taken.

    is_pinned: whether the session's transaction has been on this connection already.
    A connection on which a step fails must be closed.
    """
    steps: list[SetupStep] = []
    shape = None
    if statement.kind is StatementKind.EXECUTE:
        shape = session.prepared[statement.name]
    foreign = connection.values.keys() - session.values.keys()
    crowded = len(connection.prepared) > MAX_PREPARED_PER_CONNECTION
    if not is_pinned and (foreign or crowded):
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


class SetupAnswers:
    """Collects the answers to setup statements sent at once; tells one verdict.

    `done` gets True if all succeeded, else the first bad answer, or None if the connection ended.
    """

    def __init__(self, pending: int, done: Callable[[Reply | None | bool], None]) -> None:
        self._pending = pending
        self._done = done
        self._told = False

    def take(self, reply: Reply | None) -> None:
        """Takes one answer; None if the connection ended."""
        self._pending -= 1
        if self._told:
            return
        if reply is None or reply.failure is not None:
            self._told = True
            self._done(reply)
        elif self._pending == 0:
            self._told = True
            self._done(True)


def send_setup(
    connection: DatabaseConnection,
    steps: Sequence[SetupStep],
    begin: StatementKind | None,
    floor: LogPosition | None,
    done: Callable[[Reply | None | bool], None],
) -> None:
    """Sends the steps and, last, the begin of a transaction, without waiting between them."""
    answers = SetupAnswers(len(steps) + (begin is not None), done)
    for step in steps:
        own = Statement(
            OWN_STATEMENT_ID, step.kind, name=step.name, argument=step.argument, writes=step.writes
        )
        connection.send(own, answers.take)
    if begin is not None:
        read_only = begin is StatementKind.BEGIN_READ_ONLY
        own = Statement(OWN_STATEMENT_ID, begin)
        connection.send(own, answers.take, floor if read_only else None)
