"""Whether a request may wait for a database, from the wait that is expected there."""

import msgspec

from dewledge.errors import ErrorCode


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not accepted; retry_after in seconds."""

    code: ErrorCode
    message: str
    retry_after: float | None = None


def wait_refusal(expected_wait: float, remaining: float) -> Refusal | None:
    """Refuses a request that would most likely still wait at its deadline."""
    if expected_wait <= remaining:
        return None
    message = f"expected wait {expected_wait:.3f} s exceeds the remaining {remaining:.3f} s"
    return Refusal(ErrorCode.OVERLOADED, message, expected_wait)


def full_refusal(expected_wait: float) -> Refusal:
    """Refuses a request because the queue is full."""
    return Refusal(ErrorCode.OVERLOADED, "the queue of this database is full", expected_wait)
