"""The votes that this process sent in the slots of a previous partitioning.

The number of slots changes with the number of processes. A vote in a new slot must wait until the
votes in the old slots are no longer valid. The processes that received the old votes are asked to
drop them, so that this process need not wait for them to expire.
"""

import math
from collections.abc import Mapping

from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter


class PreviousVotes:
    """The votes in slots that are no longer in use. Times are in seconds of the steady clock."""

    def __init__(self) -> None:
        self.valid_until = -math.inf
        """When the last of the votes expires."""
        self._candidates: dict[Slot, str] = {}
        self._can_be_dropped = True

    def add(self, voters: Mapping[Slot, Voter], now: float) -> None:
        """Adds the valid votes of voters whose slots are no longer in use."""
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
                # Sent before this process restarted, so its candidate is not known.
                self._can_be_dropped = False

    def droppable_votes(self, now: float) -> Mapping[Slot, str]:
        """Returns, for each slot, the process to ask to drop this process's vote.

        Empty if all votes have expired, or if one was sent to an unknown process: it cannot be
        dropped, so new votes have to wait until it expires anyway.
        """
        if now >= self.valid_until or not self._can_be_dropped:
            return {}
        return dict(self._candidates)

    def record_dropped(self, slot: Slot, sender: str) -> bool:
        """Records that a process dropped this one's vote; returns whether that was the last one."""
        if self._candidates.get(slot) != sender:
            return False
        del self._candidates[slot]
        if self._candidates or not self._can_be_dropped:
            return False
        self.valid_until = -math.inf
        return True
