"""Slot time of a database by caller, for metrics; bounded in memory."""

MAX_CALLERS = 64
"""Callers that are counted separately. The largest total is overestimated by at most 1/64 of all
slot time."""


class SlotUse:
    """Slot time since the pool was created, in seconds.

    Uses the space-saving summary of Metwally et al.: a new caller replaces the one with the least
    time and inherits its total.
    """

    def __init__(self) -> None:
        self.total_seconds = 0.0
        self._by_caller: dict[str, float] = {}

    @property
    def largest_seconds(self) -> float:
        """Upper bound of the slot time of the caller that used most."""
        return max(self._by_caller.values(), default=0.0)

    def record(self, caller: str, seconds: float) -> None:
        """Adds the time for which a statement of a caller held a slot."""
        self.total_seconds += seconds
        previous = self._by_caller.get(caller)
        if previous is None and len(self._by_caller) >= MAX_CALLERS:
            smallest = min(self._by_caller, key=lambda name: self._by_caller[name])
            previous = self._by_caller.pop(smallest)
        self._by_caller[caller] = (previous or 0.0) + seconds
