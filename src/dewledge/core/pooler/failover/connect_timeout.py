"""Timeout for test connections to databases, adapted to observed connection times.

The timeout is a moving average plus four mean deviations, as in TCP's retransmission timer
(RFC 6298), within bounds. A short timeout matters because a lost primary is replaced only after
test connections to it have failed. The lower bound keeps a short stall of this machine from making
every database look unreachable.
"""

MIN_TIMEOUT_SECONDS = 0.15
"""Shortest timeout in seconds: several round trips between regions."""
MAX_TIMEOUT_SECONDS = 0.3
"""Longest timeout in seconds; also used before any connection time has been observed."""
DEVIATION_FACTOR = 4.0
"""Factor of the mean deviation that is added to the average: K of RFC 6298."""
MEAN_GAIN_RATIO = 0.125
"""Ratio: weight of a new observation in the moving average, alpha of RFC 6298."""
DEVIATION_GAIN_RATIO = 0.25
"""Ratio: weight of a new observation in the mean deviation, beta of RFC 6298."""


class ConnectTimeout:
    """Connection timeout of this process, the same for all databases."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def record_connect_time(self, seconds: float) -> None:
        """Records that a connection was accepted after `seconds`."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN_RATIO * error
        self._deviation += DEVIATION_GAIN_RATIO * (abs(error) - self._deviation)

    @property
    def seconds(self) -> float:
        """Current timeout in seconds."""
        if self._mean is None:
            return MAX_TIMEOUT_SECONDS
        return min(
            max(self._mean + DEVIATION_FACTOR * self._deviation, MIN_TIMEOUT_SECONDS),
            MAX_TIMEOUT_SECONDS,
        )
