"""How long a database's address may take to accept a connection before it counts as missed.

Inputs: seconds that accepted connections took, each weighed less as others follow. Decision: the
timeout of a test, in seconds: their mean and four mean deviations, as for the retransmission timer
of TCP (RFC 6298), within bounds. Reason: two tests in sequence delay the replacement of a lost
primary by two timeouts. A machine that stands still for a moment must not take every database for
lost, so the least is some round trips between regions.
"""

MIN_TIMEOUT_SECONDS = 0.15
"""The shortest timeout in seconds: some round trips between regions."""
MAX_TIMEOUT_SECONDS = 0.3
"""The longest timeout in seconds, used until a connection was accepted: the fixed timeout that was
used before times were observed."""
DEVIATION_FACTOR = 4.0
"""Deviations above the mean: K of RFC 6298."""
MEAN_GAIN_RATIO = 0.125
"""Ratio; share of a new observation in the mean: alpha of RFC 6298."""
DEVIATION_GAIN_RATIO = 0.25
"""Ratio; share of a new observation in the mean deviation: beta of RFC 6298."""


class ReachLimit:
    """The limit of one process for all databases."""

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def observe(self, seconds: float) -> None:
        """A connection was accepted after `seconds`."""
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = seconds - self._mean
        self._mean += MEAN_GAIN_RATIO * error
        self._deviation += DEVIATION_GAIN_RATIO * (abs(error) - self._deviation)

    @property
    def seconds(self) -> float:
        """The limit; the longest one before anything was observed."""
        if self._mean is None:
            return MAX_TIMEOUT_SECONDS
        return min(
            max(self._mean + DEVIATION_FACTOR * self._deviation, MIN_TIMEOUT_SECONDS),
            MAX_TIMEOUT_SECONDS,
        )
