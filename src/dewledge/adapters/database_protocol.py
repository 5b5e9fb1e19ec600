"""The HTTP protocol of the stand-in databases: one persistent connection is one session.

POST /open, /execute, /begin, /commit and /rollback; GET /status needs no session. Bodies are
JSON of the types below. A place in the query of /open and /status names where the client is.
"""

from enum import StrEnum
from urllib.parse import urlencode

import msgspec

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.ports import ExecutionResult
from dewledge.errors import (
    ConnectionLimitReached,
    ConnectRefused,
    DatabaseError,
    ErrorCode,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)

OK_STATUS = 200
FAILURE_STATUS = 409
BAD_REQUEST_STATUS = 400

OPEN_PATH = "/open"
EXECUTE_PATH = "/execute"
BEGIN_PATH = "/begin"
COMMIT_PATH = "/commit"
ROLLBACK_PATH = "/rollback"
STATUS_PATH = "/status"


class ExecuteBody(msgspec.Struct, frozen=True):
    """The body of /execute."""

    statement: Statement
    access: Access


class FailureKind(StrEnum):
    """What is known of a request that was not carried out."""

    REFUSED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"
    CONNECT_REFUSED = "connect_refused"
    CONNECTION_LIMIT = "connection_limit"


class Failure(msgspec.Struct, frozen=True):
    """The body of an answer with FAILURE_STATUS."""

    kind: FailureKind
    code: ErrorCode
    message: str


_ERROR_TYPES: dict[FailureKind, type[DatabaseError]] = {
    FailureKind.REFUSED: StatementRefused,
    FailureKind.FAILED: StatementFailed,
    FailureKind.CONFLICT: TransactionConflict,
    FailureKind.CONNECT_REFUSED: ConnectRefused,
    FailureKind.CONNECTION_LIMIT: ConnectionLimitReached,
}
_KINDS = {error_type: kind for kind, error_type in _ERROR_TYPES.items()}

encode_body = msgspec.json.Encoder().encode
decode_execute = msgspec.json.Decoder(ExecuteBody).decode
decode_result = msgspec.json.Decoder(ExecutionResult).decode
decode_status = msgspec.json.Decoder(DatabaseStatus).decode
decode_failure = msgspec.json.Decoder(Failure).decode


def failure_of(error: DatabaseError) -> Failure:
    """Returns the body that carries `error`, which must be of one of the kinds above."""
    return Failure(_KINDS[type(error)], error.code, error.message)


def error_of(failure: Failure) -> DatabaseError:
    """Returns the error that a failure carries."""
    return _ERROR_TYPES[failure.kind](failure.message, failure.code)


def with_place(path: str, zone: str, region: str) -> str:
    """Returns the path with the client's place as its query."""
    return f"{path}?{urlencode({'zone': zone, 'region': region})}" if zone else path


NO_BODY = b""
