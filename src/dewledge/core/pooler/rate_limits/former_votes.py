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


class FormerVotes:
    """Times of the process's steady clock, in seconds."""

    def __init__(self) -> None:
        self.count_until = -math.inf
        """At the latest; afterwards none counts."""
        self._for_whom: dict[Slot, str] = {}
        self._can_be_dropped = True

    def leave(self, voters: Mapping[Slot, Voter], now: float) -> None:
        """Takes over the votes of voters that end now."""
        if now >= self.count_until:
            self._for_whom.clear()
            self._can_be_dropped = True
        for slot, voter in voters.items():
            if voter.counted_until <= now:
                continue
            self.count_until = max(self.count_until, voter.counted_until)
            if voter.voted_for:
                self._for_whom[slot] = voter.voted_for
            else:
                # A vote of an earlier start of this process: it does not know whom that was for.
                self._can_be_dropped = False

    def to_be_dropped(self, now: float) -> Mapping[Slot, str]:
        """Returns the process to ask to drop its vote, by slot; none where that frees no vote."""
        if now >= self.count_until or not self._can_be_dropped:
            return {}
        return dict(self._for_whom)

    def take_dropped(self, slot: Slot, sender: str) -> bool:
        """A process dropped a vote; returns whether that was the last one that may count."""
        if self._for_whom.get(slot) != sender:
            return False
        del self._for_whom[slot]
        if self._for_whom or not self._can_be_dropped:
            return False
        self.count_until = -math.inf
        return True
