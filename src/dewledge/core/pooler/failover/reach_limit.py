"""How long a database's address may take to accept a connection before it counts as missed.

Learned from the connections that were accepted: their mean and four mean deviations, as for the
retransmission timer of TCP, within bounds. A machine that stands still for a moment must not take
every database for lost, so the least is some round trips between regions.
"""

LEAST_SECONDS = 0.15
MOST_SECONDS = 0.3
DEVIATIONS = 4.0
MEAN_SHARE = 0.125
DEVIATION_SHARE = 0.25


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
        self._mean += MEAN_SHARE * error
        self._deviation += DEVIATION_SHARE * (abs(error) - self._deviation)

    @property
    def seconds(self) -> float:
        """The limit; the longest one before anything was observed."""
        if self._mean is None:
            return MOST_SECONDS
        return min(max(self._mean + DEVIATIONS * self._deviation, LEAST_SECONDS), MOST_SECONDS)
