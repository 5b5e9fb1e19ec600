"""The votes of other processes that count at this one in one slot, and until when each counts.

Inputs: questions that carry a vote, with the moment (this process's own steady clock, seconds) of
the answer that the voter echoes. Decision: whose vote counts now. Reason: the moment that a vote
echoes lies before the voter sent it, and the voter votes for another process only when that vote
cannot count any more, so that no two clocks are compared and no vote counts at two processes.
"""

import math
from collections.abc import Collection

VOTE_LIFETIME_SECONDS = 1.0
"""Seconds for which a vote counts: two may be lost on the way without being missed; and so long a
vote counts for a process that is gone."""


class CountedVotes:
    """Of one slot."""

    def __init__(self) -> None:
        self._valid_until: dict[str, float] = {}
        """Until when the vote of each process counts."""
        self._withdrawn_at: dict[str, float] = {}
        """Votes of a process that echo an older answer were sent before it started anew."""

    def withdraw(self, asker: str, now: float) -> None:
        """Drops what a process sent before: it has just started and does not know it."""
        self._valid_until.pop(asker, None)
        self._withdrawn_at[asker] = now

    def add(self, asker: str, echoed_at: float) -> None:
        """Counts a vote, unless it was sent before the asker withdrew what it had sent."""
        if echoed_at < self._withdrawn_at.get(asker, -math.inf):
            return
        self._valid_until[asker] = max(
            self._valid_until.get(asker, -math.inf), echoed_at + VOTE_LIFETIME_SECONDS
        )

    def count_valid(self, voters: Collection[str], now: float) -> int:
        """Returns how many of the voters' votes count now."""
        return sum(until > now for name, until in self._valid_until.items() if name in voters)
