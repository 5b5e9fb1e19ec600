"""Notices that the process stood still: frozen, or without a processor, for longer than usual.

Input: when each tick of a regular timer came (steady clock, seconds). Decision: whether it came so
late that the log is to say so; an operator then knows why answers were late.
"""

from dewledge.core.pooler.events import ProcessStoodStill

STALL_SECONDS = 0.3
"""A tick that comes so much too late is told: more than a slow machine's turn between two ticks,
and less than the latency target of any route seen so far (0.4 s)."""


class StallWatch:
    """Compares when a tick came with when it was due."""

    def __init__(self, interval: float) -> None:
        """`interval`: seconds between two ticks."""
        self._interval = interval
        self._last: float | None = None

    def tick(self, now: float) -> ProcessStoodStill | None:
        """Notes a tick; returns how long the process stood still before it, if it did."""
        before, self._last = self._last, now
        late = 0.0 if before is None else now - before - self._interval
        if late < STALL_SECONDS:
            return None
        return ProcessStoodStill(int(late * 1000))
