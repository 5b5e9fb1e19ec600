"""Immutable values for client requests and database replies.

The codecs in platform/ convert them from and to bytes. NOT_RUN_CODES lists the failures on which a
statement can safely be sent again.
"""

from enum import StrEnum

import msgspec

from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

PROXY_STATEMENT_ID = "-"
"""The id of statements that the proxy itself sends."""


class StatementKind(StrEnum):
    """Kind of statement. DISCARD and those of ROLE_STATEMENTS are sent by the proxy only.

    STEP_DOWN demotes a primary whose term is lower than the argument. STOP_REPLICATION makes a
    replica receive nothing more until START_REPLICATION, the next promotion in its group, or its
    restart; its argument is a term above the newest one.
    """

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET_VALUE = "set_value"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    DISCARD = "discard"
    STATUS = "status"
    STEP_DOWN = "step_down"
    STOP_REPLICATION = "stop_replication"
    START_REPLICATION = "start_replication"


SLOT_STATEMENTS = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT}
)
"""Statements that occupy a slot of the database, or are refused as overloaded if none is free."""
ROLE_STATEMENTS = frozenset(
    {
        StatementKind.STATUS,
        StatementKind.STEP_DOWN,
        StatementKind.STOP_REPLICATION,
        StatementKind.START_REPLICATION,
    }
)
"""Statements by which the proxy queries or changes a database's role or replication. Client
statements never delay them, because the choice of the primary depends on the replies."""


class Statement(msgspec.Struct, frozen=True):
    """A statement that a client or the proxy sends.

    text: the client's text, forwarded unchanged. name: name of a session value or prepared
    statement. argument: the value, the shape to prepare, or the arguments of an execution.
    writes: whether a prepared shape writes.
    """

    id: str
    kind: StatementKind
    text: str = ""
    name: str = ""
    argument: str = ""
    writes: bool = False


class TransactionState(StrEnum):
    """Transaction state of a session or a database connection after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Failure(msgspec.Struct, frozen=True):
    """Reason why a statement failed; the code defines whether it may have taken effect."""

    code: ErrorCode
    message: str = ""
    come_back_ms: int = 0
    """Retry delay for the client, milliseconds from now; 0 if unknown."""


class Reply(msgspec.Struct, frozen=True):
    """A complete reply: rows with their signature, or a failure.

    state: transaction state after the statement. position: log position of the database.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    signature: str = "-"
    failure: Failure | None = None
    position: LogPosition | None = None


class Startup(msgspec.Struct, frozen=True):
    """The first message on a client connection: the database name and the credential."""

    database: str
    token: str = ""


class Terminate(msgspec.Struct, frozen=True):
    """Message by which a client closes its connection."""


class MalformedInput(msgspec.Struct, frozen=True):
    """Input that is not a valid message; if `fatal`, the connection must be closed."""

    statement_id: str
    message: str
    fatal: bool = False


ClientMessage = Startup | Statement | Terminate | MalformedInput

NOT_RUN_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.NOT_FRESH,
        ErrorCode.NOT_PRIMARY,
        ErrorCode.WRONG_DATABASE,
        ErrorCode.CONNECTION_LIMIT,
        ErrorCode.UNKNOWN_STATEMENT,
        ErrorCode.DATABASE_UNREACHABLE,
    }
)
"""Failure codes of databases and holders that guarantee that the statement did not run."""
