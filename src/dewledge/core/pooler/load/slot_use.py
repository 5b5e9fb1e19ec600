"""How much slot time of one database went to which caller, for metrics; bounded in memory."""

MOST_CALLERS = 64
"""Callers counted one by one; of more, the one with least makes room and its time is another's:
what is told of the largest is too much by at most a 64th of all."""


class SlotUse:
    """Seconds since the pool began. The space-saving summary of Metwally et al."""

    def __init__(self) -> None:
        self.total_seconds = 0.0
        self._by_caller: dict[str, float] = {}

    @property
    def largest_seconds(self) -> float:
        """Of the caller that used most, at most."""
        return max(self._by_caller.values(), default=0.0)

    def note(self, caller: str, seconds: float) -> None:
        """A statement of a caller held a slot for so long."""
        self.total_seconds += seconds
        known = self._by_caller.get(caller)
        if known is None and len(self._by_caller) >= MOST_CALLERS:
            least = min(self._by_caller, key=lambda name: self._by_caller[name])
            known = self._by_caller.pop(least)
        self._by_caller[caller] = (known or 0.0) + seconds
