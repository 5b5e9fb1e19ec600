"""Limits retries to a fraction of the requests.

Without a limit, the retries during an outage would multiply the load and prolong it.
"""


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    ratio: retries earned by each request. reserve: the maximum number of unused retries, also
    available at the start.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        if ratio < 0 or reserve < 0:
            raise ValueError("ratio and reserve must not be negative")
        self._ratio = ratio
        self._reserve = reserve
        self._available = reserve

    @property
    def available(self) -> float:
        """Number of retries that may be made now."""
        return self._available

    def note_request(self) -> None:
        """Adds the retries that one request earns."""
        self._available = min(self._reserve, self._available + self._ratio)

    def take(self) -> bool:
        """Uses one retry; returns False if none is available."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
