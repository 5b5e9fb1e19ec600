"""The HTTP status of each answer."""

from dewledge.core.proxy.calls import Outcome
from dewledge.errors import ErrorCode

OK = 200
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

_BY_CODE = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.UNKNOWN_FIELD: 400,
    ErrorCode.BAD_SESSION_TOKEN: 400,
    ErrorCode.INVALID_RESOURCE: 400,
    ErrorCode.UNKNOWN_KIND: 400,
    ErrorCode.DUPLICATE_NAME: 400,
    ErrorCode.DANGLING_REFERENCE: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.UNKNOWN_ADDRESS: 404,
    ErrorCode.UNKNOWN_GROUP: 404,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.METHOD_NOT_ALLOWED: 405,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.IDEMPOTENCY_MISMATCH: 409,
    ErrorCode.UNKNOWN_TRANSACTION: 409,
    ErrorCode.TRANSACTION_LOST: 409,
    ErrorCode.TRANSACTION_BUSY: 409,
    ErrorCode.REVISION_CONFLICT: 409,
    ErrorCode.STATEMENT_FAILED: 422,
    ErrorCode.OVERLOADED: 429,
    ErrorCode.STORE_RATE_LIMITED: 429,
    ErrorCode.INTERNAL: 500,
}


def status_of_refusal(code: ErrorCode) -> int:
    """Returns the status of a request that was not run."""
    return _BY_CODE.get(code, UNAVAILABLE)


def status_of(outcome: Outcome, code: ErrorCode | None) -> int:
    """Returns the status that goes with an outcome and its code."""
    if outcome is Outcome.DONE:
        return OK
    if outcome is Outcome.UNKNOWN:
        return GATEWAY_TIMEOUT
    return status_of_refusal(code or ErrorCode.INTERNAL)
