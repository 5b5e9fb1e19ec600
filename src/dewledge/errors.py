"""Every error code of dewledge, and the exception tree that carries them.

A code is stable: callers and operators may match on it. docs/ERRORS.md lists each code with what
to do about it; a test keeps that page and this module equal.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum


class ErrorCode(StrEnum):
    """Stable codes, grouped by who can act on them."""

    # The caller's request is at fault.
    MALFORMED_REQUEST = "malformed_request"
    UNKNOWN_FIELD = "unknown_field"
    UNKNOWN_ADDRESS = "unknown_address"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_GROUP = "unknown_group"
    BAD_SESSION_TOKEN = "bad_session_token"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    STATEMENT_FAILED = "statement_failed"
    UNKNOWN_TRANSACTION = "unknown_transaction"
    TRANSACTION_LOST = "transaction_lost"
    TRANSACTION_BUSY = "transaction_busy"
    UNKNOWN_STATEMENT = "unknown_statement"

    # The system cannot take the request now; Retry-After says when to come back.
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    CANCELLED = "cancelled"
    NO_PRIMARY = "no_primary"
    NO_FRESH_REPLICA = "no_fresh_replica"
    NOT_FRESH = "not_fresh"
    NOT_PRIMARY = "not_primary"
    DATABASE_UNREACHABLE = "database_unreachable"
    DATABASE_DRAINED = "database_drained"
    CONNECTION_LIMIT = "connection_limit"
    WRONG_GATEWAY = "wrong_gateway"
    WRONG_DATABASE = "wrong_database"
    GATEWAY_UNREACHABLE = "gateway_unreachable"
    LEAVING = "leaving"
    ISOLATED = "isolated"
    NOT_READY = "not_ready"

    # The outcome is not known.
    CONNECTION_LOST = "connection_lost"
    NOT_CONFIRMED = "not_confirmed"
    STATEMENT_TIMEOUT = "statement_timeout"

    # Configuration.
    INVALID_RESOURCE = "invalid_resource"
    INVALID_SETTING = "invalid_setting"
    UNKNOWN_KIND = "unknown_kind"
    DUPLICATE_NAME = "duplicate_name"
    DANGLING_REFERENCE = "dangling_reference"
    REVISION_CONFLICT = "revision_conflict"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_RATE_LIMITED = "store_rate_limited"
    NO_MAJORITY = "no_majority"
    NOT_FOUND = "not_found"

    # A fault of dewledge itself, or of a peer.
    PROTOCOL = "protocol"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with an input.

    place: where, as a path a person can follow, such as ``groups.yaml#2 spec.databases[0]``.
    """

    place: str
    code: ErrorCode
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.code}: {self.message}"


class DewledgeError(Exception):
    """The root of the tree. ``code`` is stable, ``message`` is for people."""

    code: ErrorCode = ErrorCode.INTERNAL

    def __init__(self, message: str, code: ErrorCode | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class InvalidInput(DewledgeError):
    """Input with one or more findings, all collected before it is raised."""

    code = ErrorCode.MALFORMED_REQUEST

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings), findings[0].code)
        self.findings = tuple(findings)


class BadSessionToken(DewledgeError):
    """A session token that was not issued here, or not to this caller."""

    code = ErrorCode.BAD_SESSION_TOKEN


class ProtocolError(DewledgeError):
    """Bytes from a peer or a back end that do not decode to a known message."""

    code = ErrorCode.PROTOCOL


class StoreError(DewledgeError):
    """A call to the platform's table service or object store that did not succeed."""

    code = ErrorCode.STORE_UNAVAILABLE


class StoreOutcomeUnknown(StoreError):
    """The call may have taken effect: its answer was lost."""


class StoreConditionFailed(StoreError):
    """A conditional write found another version than it expected; nothing was changed."""

    code = ErrorCode.REVISION_CONFLICT


class StoreRateLimited(StoreError):
    """The platform refused the call for its rate; nothing was changed.

    retry_after: seconds to wait.
    """

    code = ErrorCode.STORE_RATE_LIMITED

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class DatabaseError(DewledgeError):
    """A back end call that failed; subclasses say what is known of its effect."""


class ConnectRefused(DatabaseError):
    """No connection was opened, so nothing was sent."""

    code = ErrorCode.DATABASE_UNREACHABLE


class ConnectionLimitReached(ConnectRefused):
    """The database is at its connection limit."""

    code = ErrorCode.CONNECTION_LIMIT


class ConnectionBroken(DatabaseError):
    """The connection failed after a statement was sent: its effect is unknown."""

    code = ErrorCode.CONNECTION_LOST


class StatementRefused(DatabaseError):
    """The database answered that it did not run the statement: not primary, or not serving."""

    code = ErrorCode.NOT_PRIMARY


class StatementFailed(DatabaseError):
    """The database ran into an error in the statement itself, and undid it."""

    code = ErrorCode.STATEMENT_FAILED


class TransactionConflict(StatementFailed):
    """The database undid the whole transaction for another one; running it again can succeed."""


class ConnectionClosed(StatementRefused):
    """The connection was found closed before the statement was sent."""

    code = ErrorCode.CONNECTION_LOST
