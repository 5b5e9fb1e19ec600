"""Estimates how many tokens a second were used recently."""

import math

HALF_LIFE_SECONDS = 2.0
"""Seconds after which a used token counts half. Demand comes in waves of some seconds; a shorter
half-life would mostly follow random variation."""


class RecentDemand:
    """A count with exponential decay. Times are in seconds of the steady clock."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Counts one token used now."""
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Returns the constant rate that would have produced the present count."""
        return self._decayed_count(now) * math.log(2) / HALF_LIFE_SECONDS

    def _decayed_count(self, now: float) -> float:
        return self._count * math.exp2(-max(now - self._updated_at, 0.0) / HALF_LIFE_SECONDS)
