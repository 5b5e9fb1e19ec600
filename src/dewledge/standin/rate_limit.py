"""A token bucket with explicit time."""


class RateLimit:
    """Accepts `rate` calls a second, and bursts of up to `burst` calls."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = now

    def take(self, now: float) -> float | None:
        """Takes one call; returns None if accepted, else the seconds until one will be."""
        earned = (now - self._updated) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._updated = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        return (1.0 - self._tokens) / self._rate
