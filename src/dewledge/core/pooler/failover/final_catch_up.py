"""Limits the wait for the last commits of a primary that stepped down."""

FINAL_CATCH_UP_TIMEOUT_SECONDS = 0.6
"""Seconds that the candidate has to receive the last commits of a primary that stepped down; the
group has no primary in that time."""


class FinalCatchUp:
    """Time that a candidate has to receive the last commits; starts with the first question."""

    def __init__(self) -> None:
        self._started_at: float | None = None

    def has_ended(self, now: float) -> bool:
        """Returns whether the time is over; the first call starts it."""
        if self._started_at is None:
            self._started_at = now
        return now >= self._started_at + FINAL_CATCH_UP_TIMEOUT_SECONDS
