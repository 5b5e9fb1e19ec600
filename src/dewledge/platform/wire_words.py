"""Keywords of the wire protocol and the enum members that they stand for."""

from dewledge.core.pooler.statements.statements import StatementKind, TransactionState
from dewledge.errors import ErrorCode

MAX_LINE_BYTES = 1024 * 1024
"""Bytes of a line without its end; a longer line is a protocol error."""
LINE_END = b"\r\n"
EMPTY_FIELD = "-"

STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
STATES_BY_LETTER = {letter: state for state, letter in STATE_LETTERS.items()}

CODE_WORDS = {
    ErrorCode.OVERLOADED: "BUSY",
    ErrorCode.TRANSACTION_LOST: "ABORTED",
    ErrorCode.NOT_FRESH: "LAGGING",
    ErrorCode.NOT_PRIMARY: "READONLY",
    ErrorCode.WRONG_DATABASE: "WRONGNODE",
    ErrorCode.CONNECTION_LIMIT: "TOOMANYCON",
    ErrorCode.DATABASE_UNREACHABLE: "BUSY",
    ErrorCode.CONNECTION_LOST: "INDOUBT",
    ErrorCode.STATEMENT_TIMEOUT: "TIMEOUT",
    ErrorCode.STATEMENT_FAILED: "FAILED",
    ErrorCode.MALFORMED_REQUEST: "MALFORMED",
    ErrorCode.UNKNOWN_STATEMENT: "NOSTMT",
    ErrorCode.UNKNOWN_GROUP: "NODB",
    ErrorCode.UNAUTHENTICATED: "DENIED",
    ErrorCode.RATE_LIMITED: "BUSY",
    ErrorCode.TOO_LARGE: "FAILED",
}
CODES = {
    "BUSY": ErrorCode.OVERLOADED,
    "ABORTED": ErrorCode.TRANSACTION_LOST,
    "LAGGING": ErrorCode.NOT_FRESH,
    "READONLY": ErrorCode.NOT_PRIMARY,
    "WRONGNODE": ErrorCode.WRONG_DATABASE,
    "TOOMANYCON": ErrorCode.CONNECTION_LIMIT,
    "INDOUBT": ErrorCode.CONNECTION_LOST,
    "TIMEOUT": ErrorCode.STATEMENT_TIMEOUT,
    "FAILED": ErrorCode.STATEMENT_FAILED,
    "MALFORMED": ErrorCode.MALFORMED_REQUEST,
    "NOSTMT": ErrorCode.UNKNOWN_STATEMENT,
    "NODB": ErrorCode.UNKNOWN_GROUP,
    "DENIED": ErrorCode.UNAUTHENTICATED,
}
FIXED_TEXTS = {
    StatementKind.BEGIN: "BEGIN",
    StatementKind.BEGIN_READ_ONLY: "BEGIN READ",
    StatementKind.COMMIT: "COMMIT",
    StatementKind.ROLLBACK: "ROLLBACK",
    StatementKind.DISCARD: "DISCARD",
    StatementKind.STATUS: "STATUS",
    StatementKind.START_REPLICATION: "RESUME",
}
READ_KEYWORD = "READ"
WRITE_KEYWORD = "WRITE"
STEP_DOWN_KEYWORD = "STEPDOWN"
STOP_REPLICATION_KEYWORD = "PAUSE"
