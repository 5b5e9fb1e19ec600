"""The share of a slot's votes that this process holds, and the time for which it held it.

Buckets fill by `share_seconds`: a second with half of all votes counts for half a second, so what
all grantors of a slot give out together sums up to the rate.
"""

import math


class VoteFraction:
    """Of one slot. Times in seconds of the process's steady clock."""

    def __init__(self) -> None:
        self.full_rate_seconds = 0.0
        """The share held so far, over time."""
        self.fraction = 0.0
        """As it was noted last, from 0 to 1; since then it can have fallen only."""
        self.filled_since = 0.0
        """A bucket that nobody has asked for yet has filled since then, in `share_seconds`: since
        the share fell last or the limits changed."""
        self._recorded_at = 0.0

    def record(self, fraction: float, now: float) -> bool:
        """Notes the share held now, before a question's vote is counted; returns whether it fell.

        Votes are renewed by questions only, and each question is noted, so it was no smaller in
        between.
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
        """A question's vote has been counted: the share is this from now on."""
        self.fraction = fraction

    def restart_filling(self) -> None:
        """The limits changed: what buckets gained before that counts no more."""
        self.filled_since = math.inf
