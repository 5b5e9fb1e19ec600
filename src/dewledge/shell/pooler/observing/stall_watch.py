"""Detects that the process did not run for a while, because it was suspended or got no CPU time.

The check compares the times of a regular timer's ticks. The log line about a stall explains late
answers to an operator.
"""

from dewledge.core.pooler.events import ProcessStoodStill

STALL_SECONDS = 0.3
"""Seconds of delay from which a late tick is reported: above ordinary scheduling delays, and below
the usual latency targets of routes (0.4 s and more)."""


class StallWatch:
    """Compares the times of ticks with the times at which they were due."""

    def __init__(self, interval: float) -> None:
        """`interval`: seconds between two ticks."""
        self._interval = interval
        self._last_tick: float | None = None

    def tick(self, now: float) -> ProcessStoodStill | None:
        """Records a tick at `now` (steady clock); returns an event if the tick was too late."""
        previous, self._last_tick = self._last_tick, now
        late = 0.0 if previous is None else now - previous - self._interval
        if late < STALL_SECONDS:
            return None
        return ProcessStoodStill(int(late * 1000))
