"""State of a client connection: values, prepared statements, transaction, minimum log position.

SessionTransactions, apply_session_change and StatementRun change the state. The state is never
persisted and ends with the client's connection.
"""

import msgspec

from dewledge.core.pooler.load.ticket import Ticket
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER, Route
from dewledge.core.pooler.statements.statements import (
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition

MAX_SESSION_VALUES = 256
"""Values that a session may set at most: limits the memory that a client can use."""
MAX_PREPARED_STATEMENTS = 256
"""Statements that a session may prepare at most: limits the memory that a client can use."""
MAX_STATE_BYTES = 2 * 1024 * 1024
"""Bytes of the values and prepared statements of a session: some messages of the largest size."""


class PreparedStatement(msgspec.Struct, frozen=True):
    """Statement prepared under a name."""

    writes: bool
    shape: str


class OpenTransaction:
    """A client's transaction; has a database connection from its first statement on."""

    __slots__ = (
        "connection",
        "failed",
        "is_admitted",
        "last_used",
        "requires_primary",
        "is_loss_unreported",
        "read_only",
        "route",
        "wrote",
    )

    def __init__(self, route: Route, read_only: bool, now: float) -> None:
        self.route = route
        self.read_only = read_only
        self.connection: DatabaseConnection | None = None
        self.failed = False
        self.is_admitted = False
        """Whether it was counted against its caller's rate limit."""
        self.is_loss_unreported = False
        """Whether the proxy rolled it back and has not reported that to the client yet."""
        self.requires_primary = False
        """Whether it was begun in a form that only a primary accepts."""
        self.wrote = False
        self.last_used = now


class SessionState:
    """State of a client connection."""

    __slots__ = (
        "caller",
        "database",
        "floor",
        "name",
        "prepared",
        "ticket",
        "credential_digest",
        "transaction",
        "values",
    )

    def __init__(self, name: str, database: str, credential_digest: str = "") -> None:
        """credential_digest: digest of the client's credential, stored instead of it."""
        self.name = name
        self.database = database
        self.credential_digest = credential_digest
        self.caller = NO_CALLER
        """Caller whose connections are used; set by the statement that begins an operation."""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedStatement] = {}
        self.transaction: OpenTransaction | None = None
        self.floor: LogPosition | None = None
        self.ticket: Ticket | None = None
        """Ticket of an operation that was refused with a retry time, None for none."""

    @property
    def kept_bytes(self) -> int:
        """Characters of all values and prepared statements, with their names."""
        values = sum(len(name) + len(value) for name, value in self.values.items())
        return values + sum(len(name) + len(each.shape) for name, each in self.prepared.items())

    def writes(self, statement: Statement) -> bool:
        """Returns whether a statement writes; an EXECUTE must name a prepared statement."""
        if statement.kind is StatementKind.EXECUTE:
            return self.prepared[statement.name].writes
        return statement.kind is StatementKind.WRITE

    @property
    def transaction_state(self) -> TransactionState:
        """Transaction state that answers report to the client."""
        if self.transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self.transaction.failed else TransactionState.OPEN

    def raise_min_position(self, position: LogPosition | None) -> None:
        """Raises the minimum position of later reads to that of a commit of this session."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position
