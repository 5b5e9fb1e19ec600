"""The fraction of a slot's votes that this process holds, now and over time.

Buckets use `full_rate_seconds` as their clock: a second with half of all votes advances it by half
a second. So all grantors of a slot together grant at most the full rate.
"""

import math


class VoteFraction:
    """The part of a slot's votes that this process holds. Times are in seconds, steady clock."""

    def __init__(self) -> None:
        self.full_rate_seconds = 0.0
        """The fraction of the votes integrated over time: seconds of filling at the full rate."""
        self.fraction = 0.0
        """The last recorded fraction, from 0 to 1. The true one may have fallen since, but not
        risen."""
        self.filled_since = 0.0
        """Value of `full_rate_seconds` when the fraction last fell or the limits last changed. A
        new bucket is filled as if it had been created then."""
        self._recorded_at = 0.0

    def record(self, fraction: float, now: float) -> bool:
        """Records the fraction held before a question's vote is counted; returns whether it fell.

        Only questions renew votes, and every question calls this, so the fraction was never smaller
        between two calls.
        """
        fell = fraction < self.fraction
        if fell:
            self.filled_since = math.inf
        self.full_rate_seconds += min(fraction, self.fraction) * (now - self._recorded_at)
        self.fraction = fraction
        self._recorded_at = now
        self.filled_since = min(self.filled_since, self.full_rate_seconds)
        return fell

    def set(self, fraction: float) -> None:
        """Sets the fraction after a question's vote was counted."""
        self.fraction = fraction

    def restart_filling(self) -> None:
        """Lets buckets created from now on start empty, after a change of the limits."""
        self.filled_since = math.inf
