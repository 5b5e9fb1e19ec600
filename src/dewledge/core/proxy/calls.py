"""What a caller asks for and what it is told: the types shared by edge, entry and gateway."""

from enum import StrEnum

import msgspec

from dewledge.errors import ErrorCode

Scalar = str | int | float | bool | None


class Access(StrEnum):
    """Whether a statement may change data. A statement is a read only if the caller says so."""

    READ = "read"
    WRITE = "write"


class Operation(StrEnum):
    """What is asked of a transaction's connection, or EXECUTE without a transaction."""

    EXECUTE = "execute"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Outcome(StrEnum):
    """The three things a caller can be told about the effect of its request."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """SQL text with its positional parameters."""

    sql: str
    parameters: tuple[Scalar, ...] = ()


class Rows(msgspec.Struct, frozen=True, array_like=True):
    """A result set; `affected` counts changed rows of a write."""

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    affected: int = 0


class CallerRequest(msgspec.Struct, frozen=True):
    """One authenticated request as the caller edge hands it to the entry.

    request_id: unique in this process, chosen by the edge.
    caller: name of the Caller resource whose token was presented.
    deadline: absolute time on the core's clock, seconds.
    session: the session token as received, or None.
    transaction: the id given by an earlier BEGIN, or None.
    """

    request_id: int
    caller: str
    group: str
    deadline: float
    operation: Operation = Operation.EXECUTE
    access: Access = Access.WRITE
    statement: Statement | None = None
    session: str | None = None
    transaction: str | None = None
    idempotency_key: str | None = None


class CallerAnswer(msgspec.Struct, frozen=True):
    """The final answer to one request.

    code: set unless the outcome is DONE.
    retry_after: seconds, where coming back can help.
    session: the new session token; None leaves the caller's token as it is.
    repeated: the outcome recorded by an earlier request with the same idempotency key.
    """

    outcome: Outcome
    code: ErrorCode | None = None
    message: str = ""
    rows: Rows | None = None
    retry_after: float | None = None
    session: str | None = None
    transaction: str | None = None
    served_by: str | None = None
    repeated: bool = False
