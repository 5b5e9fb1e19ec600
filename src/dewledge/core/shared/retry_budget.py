"""The retry budget: retries are a bounded share of the traffic, so that they cannot amplify it.

Inputs: each request, each wish to retry. Decision: whether one retry may be made now. Reason: where
all fails, retries of all would multiply the load that makes it fail.
"""


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    ratio: retries earned by each request. reserve: the most that is saved up, and the start.
    """

    def __init__(self, ratio: float, reserve: float) -> None:
        if ratio < 0 or reserve < 0:
            raise ValueError("ratio and reserve must not be negative")
        self._ratio = ratio
        self._reserve = reserve
        self._available = reserve

    @property
    def available(self) -> float:
        """Retries that may be made now."""
        return self._available

    def note_request(self) -> None:
        """Counts one request that came in."""
        self._available = min(self._reserve, self._available + self._ratio)

    def take(self) -> bool:
        """Takes one retry; returns False, and takes nothing, if the budget is spent."""
        if self._available < 1:
            return False
        self._available -= 1
        return True
