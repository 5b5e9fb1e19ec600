"""The votes that this process sent in an earlier division of callers into slots.

Inputs: the voters that end, with until when their votes may count (own steady clock, seconds).
Decision: until when an earlier vote may count, and which processes are asked to drop theirs.
Reason: a vote in a new slot has to wait until the old ones cannot count. The candidates of the new
slots cannot drop old votes; the processes that hold them can, so this process need not wait for
them to lapse.
"""

import math
from collections.abc import Mapping

from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter


class PreviousVotes:
    """Times of the process's steady clock, in seconds."""

    def __init__(self) -> None:
        self.valid_until = -math.inf
        """At the latest; afterwards none counts."""
        self._candidates: dict[Slot, str] = {}
        self._can_be_dropped = True

    def add(self, voters: Mapping[Slot, Voter], now: float) -> None:
        """Takes over the votes of voters that end now."""
        if now >= self.valid_until:
            self._candidates.clear()
            self._can_be_dropped = True
        for slot, voter in voters.items():
            if voter.vote_valid_until <= now:
                continue
            self.valid_until = max(self.valid_until, voter.vote_valid_until)
            if voter.voted_for:
                self._candidates[slot] = voter.voted_for
            else:
                # A vote of an earlier start of this process: it does not know whom that was for.
                self._can_be_dropped = False

    def droppable_votes(self, now: float) -> Mapping[Slot, str]:
        """Returns the process to ask to drop its vote, by slot; none where that frees no vote."""
        if now >= self.valid_until or not self._can_be_dropped:
            return {}
        return dict(self._candidates)

    def record_dropped(self, slot: Slot, sender: str) -> bool:
        """A process dropped a vote; returns whether that was the last one that may count."""
        if self._candidates.get(slot) != sender:
            return False
        del self._candidates[slot]
        if self._candidates or not self._can_be_dropped:
            return False
        self.valid_until = -math.inf
        return True
