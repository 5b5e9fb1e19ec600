"""The votes of other processes that are valid at this one in one slot.

A vote echoes the timestamp of this process's last answer to the voter, and expires
VOTE_LIFETIME_SECONDS after that timestamp. The timestamp is earlier than the sending of the vote,
and the voter votes for another process only once this vote has expired by its own clock. So no two
clocks are compared, and no vote is valid at two processes.
"""

import math
from collections.abc import Collection

VOTE_LIFETIME_SECONDS = 1.0
"""Seconds for which a vote is valid: two renewals may be lost. Votes for a failed process stay
valid as long."""


class CountedVotes:
    """The votes received for one slot."""

    def __init__(self) -> None:
        self._valid_until: dict[str, float] = {}
        """When the vote of each process expires."""
        self._withdrawn_at: dict[str, float] = {}
        """When each process withdrew its votes; votes that echo an earlier timestamp are
        ignored."""

    def withdraw(self, asker: str, now: float) -> None:
        """Drops the votes that a process sent until now, for example before it restarted."""
        self._valid_until.pop(asker, None)
        self._withdrawn_at[asker] = now

    def add(self, asker: str, echoed_at: float) -> None:
        """Counts a vote, unless it was sent before the voter withdrew its votes."""
        if echoed_at < self._withdrawn_at.get(asker, -math.inf):
            return
        self._valid_until[asker] = max(
            self._valid_until.get(asker, -math.inf), echoed_at + VOTE_LIFETIME_SECONDS
        )

    def count_valid(self, voters: Collection[str], now: float) -> int:
        """Returns how many of the voters have a valid vote now."""
        return sum(until > now for name, until in self._valid_until.items() if name in voters)
