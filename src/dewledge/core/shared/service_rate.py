"""Estimates how long statements occupy a database slot, from durations in seconds."""

MAX_STEP_FACTOR = 10.0
"""Factor: a longer duration than this multiple of the mean is reduced to it, which limits the
effect of a duration that includes a pause of the process."""
DEVIATIONS_ABOVE_MEAN = 2.0
"""Deviations added to the mean for a value that most durations do not exceed."""


class ServiceRate:
    """A running mean of the time for which a statement occupies a slot."""

    def __init__(self, initial_time: float, smoothing: float) -> None:
        self._mean = initial_time
        self._smoothing = smoothing

    @property
    def service_time(self) -> float:
        """Mean seconds for one statement."""
        return self._mean

    def note(self, duration: float) -> None:
        """Adds one duration in seconds, limited to MAX_STEP_FACTOR times the mean.

        The limit bounds the effect of a pause of the process; a database that became slow still
        raises the mean soon.
        """
        bounded = min(duration, MAX_STEP_FACTOR * self._mean)
        self._mean += self._smoothing * (bounded - self._mean)

    def expected_wait(self, ahead: float, slots: int) -> float:
        """Returns the seconds until a request starts that has `ahead` requests before it."""
        return (ahead + 1.0) * self._mean / max(slots, 1)


class TypicalMaxTime:
    """An upper estimate of a duration: the running mean plus some mean deviations."""

    def __init__(self, smoothing: float) -> None:
        self._smoothing = smoothing
        self._mean: float | None = None
        self._deviation = 0.0

    @property
    def seconds(self) -> float:
        """The estimate in seconds; 0 before the first duration."""
        return 0.0 if self._mean is None else self._mean + DEVIATIONS_ABOVE_MEAN * self._deviation

    def record(self, duration: float) -> None:
        """Adds one duration in seconds."""
        if self._mean is None:
            self._mean = duration
            return
        error = duration - self._mean
        self._mean += self._smoothing * error
        self._deviation += self._smoothing * (abs(error) - self._deviation)
