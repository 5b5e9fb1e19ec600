"""Whether a request may wait for a database, from the service rate that was measured there."""

import msgspec

from dewledge.errors import ErrorCode

LARGEST_STEP = 10.0


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not accepted; retry_after in seconds."""

    code: ErrorCode
    message: str
    retry_after: float | None = None


class ServiceRate:
    """The running mean of the time that one statement holds a slot."""

    def __init__(self, initial_time: float, smoothing: float) -> None:
        self._mean = initial_time
        self._smoothing = smoothing

    @property
    def service_time(self) -> float:
        """Seconds for one statement."""
        return self._mean

    def note(self, duration: float) -> None:
        """Takes in one measured time, seconds.

        One of a process that was frozen meanwhile says nothing, so a single one counts as at most
        `LARGEST_STEP` times the mean; a database that did become slow soon shows all the same.
        """
        bounded = min(duration, LARGEST_STEP * self._mean)
        self._mean += self._smoothing * (bounded - self._mean)

    def expected_wait(self, ahead: float, slots: int) -> float:
        """Returns the seconds until a request starts that has `ahead` requests before it."""
        return (ahead + 1.0) * self._mean / max(slots, 1)


def wait_refusal(expected_wait: float, remaining: float) -> Refusal | None:
    """Refuses a request that would most likely still wait at its deadline."""
    if expected_wait <= remaining:
        return None
    message = f"expected wait {expected_wait:.3f} s exceeds the remaining {remaining:.3f} s"
    return Refusal(ErrorCode.OVERLOADED, message, expected_wait)


def full_refusal(expected_wait: float) -> Refusal:
    """Refuses a request because the queue is full."""
    return Refusal(ErrorCode.OVERLOADED, "the queue of this database is full", expected_wait)
