"""What a client's connection keeps: values, prepared statements, the open transaction, a floor.

State without rules: SessionTransactions, change_session and StatementRun change it. It ends with
the client's connection, and nothing of it is stored.
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
"""Values that a session may set; a count. Bounds the memory of one client."""
MAX_PREPARED_STATEMENTS = 256
"""Statements that a session may prepare; a count. Bounds the memory of one client."""


class PreparedShape(msgspec.Struct, frozen=True):
    """What a prepared name stands for."""

    writes: bool
    shape: str


class OpenTransaction:
    """A client's transaction; it has a database connection from its first statement on."""

    __slots__ = (
        "connection",
        "failed",
        "is_admitted",
        "last_used",
        "leads",
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
        """Whether it was counted for its caller's limit."""
        self.is_loss_unreported = False
        self.leads = False
        self.wrote = False
        self.last_used = now


class SessionState:
    """The state of one client connection."""

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
        """`credential_digest`: of the client's credential, which itself is not kept."""
        self.name = name
        self.database = database
        self.credential_digest = credential_digest
        self.caller = NO_CALLER
        """Whose connections carry what runs now: set with each statement that begins something."""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedShape] = {}
        self.transaction: OpenTransaction | None = None
        self.floor: LogPosition | None = None
        self.ticket: Ticket | None = None
        """Of an operation that was refused with a moment to come back."""

    def writes(self, statement: Statement) -> bool:
        """Tells whether a statement writes; one to execute has to be prepared here."""
        if statement.kind is StatementKind.EXECUTE:
            return self.prepared[statement.name].writes
        return statement.kind is StatementKind.WRITE

    @property
    def transaction_state(self) -> TransactionState:
        """Where the session stands, as an answer tells its client."""
        if self.transaction is None:
            return TransactionState.IDLE
        return TransactionState.FAILED if self.transaction.failed else TransactionState.OPEN

    def raise_floor(self, position: LogPosition | None) -> None:
        """Notes the position of an own commit; later reads must show it."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position
