"""The share of a slot's votes that this process holds, and the time for which it held it.

Buckets fill by `share_seconds`: a second with half of all votes counts for half a second, so what
all grantors of a slot give out together sums up to the rate.
"""

import math


class HeldShare:
    """Of one slot. Times in seconds of the process's steady clock."""

    def __init__(self) -> None:
        self.share_seconds = 0.0
        """The share held so far, over time."""
        self.share = 0.0
        """As it was noted last, from 0 to 1; since then it can have fallen only."""
        self.filled_since = 0.0
        """A bucket that nobody has asked for yet has filled since then, in `share_seconds`: since
        the share fell last or the limits changed."""
        self._noted_at = 0.0

    def note(self, share: float, now: float) -> bool:
        """Notes the share held now, before a question's vote is counted; returns whether it fell.

        Votes are renewed by questions only, and each question is noted, so it was no smaller in
        between.
        """
        fell = share < self.share
        if fell:
            self.filled_since = math.inf
        self.share_seconds += min(share, self.share) * (now - self._noted_at)
        self.share = share
        self._noted_at = now
        self.filled_since = min(self.filled_since, self.share_seconds)
        return fell

    def set(self, share: float) -> None:
        """A question's vote has been counted: the share is this from now on."""
        self.share = share

    def begin_anew(self) -> None:
        """The limits changed: what buckets gained before that counts no more."""
        self.filled_since = math.inf
