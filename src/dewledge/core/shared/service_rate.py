"""How long statements hold a slot of a database, as observed, and the wait that follows from it.

Owns running means of measured times, in seconds. Relies on its callers to measure; no clock here.
"""

MAX_STEP_FACTOR = 10.0
"""Multiple of the mean that one measured time counts for at most: a process that was frozen
measures its own standstill."""
DEVIATIONS = 2.0
"""Deviations above the mean that most measured times do not exceed."""


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
        bounded = min(duration, MAX_STEP_FACTOR * self._mean)
        self._mean += self._smoothing * (bounded - self._mean)

    def expected_wait(self, ahead: float, slots: int) -> float:
        """Returns the seconds until a request starts that has `ahead` requests before it."""
        return (ahead + 1.0) * self._mean / max(slots, 1)


class UsualTime:
    """A time that most measured ones do not exceed: the running mean and some mean deviations."""

    def __init__(self, smoothing: float) -> None:
        self._smoothing = smoothing
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def seconds(self) -> float:
        """The estimate; 0 until a time was measured."""
        return 0.0 if self._mean is None else self._mean + DEVIATIONS * self._deviation

    def note(self, duration: float) -> None:
        """Takes in one measured time, seconds."""
        if self._mean is None:
            self._mean = duration
            return
        error = duration - self._mean
        self._mean += self._smoothing * error
        self._deviation += self._smoothing * (abs(error) - self._deviation)
