"""When a group's log was seen to reach which position: the measure for replication lag."""

from bisect import bisect_left, bisect_right

from dewledge.core.shared.positions import LogPosition

_LEAST_SPACING = 0.002
"""Seconds between two sightings kept apart: the least lag that can be told."""
_MOST_ENTRIES = 1024
"""Entries; sightings kept, at least 2 s of them at the least spacing; bounds memory."""


class HeadHistory:
    """Positions of the log's end with the times at which they were first seen here.

    Times are seconds on the core's clock. Sightings closer than 2 ms are merged into the earlier
    one's time, which errs on the side of a greater lag. The oldest are forgotten.
    """

    def __init__(self) -> None:
        self._positions: list[LogPosition] = []
        self._times: list[float] = []

    def note(self, position: LogPosition, now: float) -> None:
        """Notes that the log reaches `position`; one not beyond the last known is ignored."""
        if not self._positions:
            self._append(position, now)
            return
        if position <= self._positions[-1]:
            return
        if now - self._times[-1] < _LEAST_SPACING:
            self._positions[-1] = position
            return
        self._append(position, now)

    def age_of(self, floor: LogPosition, now: float) -> float | None:
        """Returns for how long at least the log has held `floor`; None if it was not seen to."""
        index = bisect_left(self._positions, floor)
        if index == len(self._positions):
            return None
        return now - self._times[index]

    def lag_of(self, applied: LogPosition, now: float) -> float:
        """Returns for how long the log has been beyond `applied`; 0 if it was not seen to be."""
        index = bisect_right(self._positions, applied)
        if index == len(self._positions):
            return 0.0
        return max(0.0, now - self._times[index])

    def _append(self, position: LogPosition, now: float) -> None:
        self._positions.append(position)
        self._times.append(now)
        if len(self._positions) > _MOST_ENTRIES:
            del self._positions[: _MOST_ENTRIES // 2]
            del self._times[: _MOST_ENTRIES // 2]
