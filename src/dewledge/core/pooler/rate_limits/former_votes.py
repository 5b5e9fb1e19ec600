"""The votes of a process in an earlier division of callers into slots.

They may count until they lapse, and who may grant in the new division can't drop them: those that
they are for are asked to, so that the process need not wait for that.
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
                # Of an earlier start of this process: it does not know for whom.
                self._can_be_dropped = False

    def to_be_dropped(self, now: float) -> Mapping[Slot, str]:
        """Returns who is to be asked to drop them, by slot; none where that would free nothing."""
        if now >= self.count_until or not self._can_be_dropped:
            return {}
        return dict(self._for_whom)

    def take_dropped(self, slot: Slot, sender: str) -> bool:
        """One was dropped; returns whether none counts any more, just now."""
        if self._for_whom.get(slot) != sender:
            return False
        del self._for_whom[slot]
        if self._for_whom or not self._can_be_dropped:
            return False
        self.count_until = -math.inf
        return True
