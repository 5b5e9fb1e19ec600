"""How many statements this process keeps at one database, learned from its refusals.

A database runs as many statements at once as it has slots and refuses more. Other processes use the
same slots, so no share can be reckoned beforehand. A refused statement keeps its place and is sent
again; without a bound the one that happens to come next gets the free slot, however urgent the
others are. With a bound they wait in the pool's queue, where the more urgent comes first.

Additive growth and a multiplicative cut share what is there between processes that do not know each
other, as for the congestion window of TCP (Chiu and Jain 1989).
"""

GROWTH = 0.2
"""Added to the size, divided by it, with each statement that ran: at 40 statements a second a size
of one grows to three within a second, some times what that rate needs."""
CUT_SHARE = 0.75
"""What is left of the size after a refusal. A milder cut keeps a full database's slots in use."""
CUT_SPACING_SECONDS = 0.05
"""Refusals closer than this are of one moment: some times the work of a statement."""
LEAST = 1.0


class SlotWindow:
    """The window of one pool; it begins wide open."""

    def __init__(self, widest: int) -> None:
        """`widest`: more is never needed, the connections of the pool."""
        self._size = float(max(widest, 1))
        self._cut_at = float("-inf")

    def allows(self, running: int) -> bool:
        """Tells whether a further statement may go to the database beside `running` others."""
        return running < int(self._size)

    def room(self, running: int) -> int:
        """Returns how many further statements may go there."""
        return max(int(self._size) - running, 0)

    def note_served(self, widest: int) -> None:
        """A statement ran."""
        self._size = min(self._size + GROWTH / self._size, float(max(widest, 1)))

    def note_refused(self, now: float) -> None:
        """The database refused a statement for want of a slot."""
        if now >= self._cut_at + CUT_SPACING_SECONDS:
            self._cut_at = now
            self._size = max(self._size * CUT_SHARE, LEAST)
