"""How many tokens were taken lately, per second."""

import math

HALF_LIFE_SECONDS = 2.0
"""Seconds after which what was taken counts half: demand comes in waves of some seconds, and a rate
known for less is mostly chance."""


class RecentDemand:
    """A count that fades with time. Times of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """One more was taken."""
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the steady rate that would have left the present count."""
        return self._decayed_count(now) * math.log(2) / HALF_LIFE_SECONDS

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp2(-max(now - self._updated_at, 0.0) / HALF_LIFE_SECONDS)
