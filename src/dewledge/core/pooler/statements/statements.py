"""What a client may ask for in a session, and what a database answers: immutable values.

The codecs of platform/ make them from bytes, and the core passes them on. NOT_RUN_CODES is what the
promise "not run" rests on.
"""

from enum import StrEnum

import msgspec

from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

OWN_STATEMENT_ID = "-"
"""The id of statements that the proxy sends of its own."""


class StatementKind(StrEnum):
    """What a statement does. The last three are sent by the proxy alone.

    STEP_DOWN tells a primary of a lower term than its argument to lead no more.
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


TAKES_SLOT = frozenset(
    {StatementKind.READ, StatementKind.WRITE, StatementKind.EXECUTE, StatementKind.COMMIT}
)
"""What runs in one of a database's slots, or is refused as overloaded while none is free."""
OWN_QUESTIONS = frozenset({StatementKind.STATUS, StatementKind.STEP_DOWN})
"""What the proxy asks a database about itself. Which database is primary depends on the answer, so
the question waits for no statement of a client."""


class Statement(msgspec.Struct, frozen=True):
    """One statement.

    text: as the client wrote it; it reaches the database unchanged.
    name: of a session value or of a prepared statement.
    argument: the value, the shape to prepare, or what follows the name of a prepared statement.
    writes: whether a prepared shape writes.
    """

    id: str
    kind: StatementKind
    text: str = ""
    name: str = ""
    argument: str = ""
    writes: bool = False


class TransactionState(StrEnum):
    """Where a session or a database connection stands after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Failure(msgspec.Struct, frozen=True):
    """Why a statement was not done; the code says what is known of its effect."""

    code: ErrorCode
    message: str = ""
    come_back_ms: int = 0
    """When whoever asked may come back, milliseconds from now; 0 where nothing is known."""


class Reply(msgspec.Struct, frozen=True):
    """A whole answer: rows with a signature, or a failure."""

    state: TransactionState
    rows: tuple[str, ...] = ()
    signature: str = "-"
    failure: Failure | None = None
    position: LogPosition | None = None


class Startup(msgspec.Struct, frozen=True):
    """The first message of a client's connection."""

    database: str
    token: str = ""


class Terminate(msgspec.Struct, frozen=True):
    """A client's planned end of its connection."""


class MalformedInput(msgspec.Struct, frozen=True):
    """Bytes that are no message; `fatal` where the connection cannot go on."""

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
"""Failures of a database, or of a process before it: the statement surely did not run."""
