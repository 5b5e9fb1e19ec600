"""Timed events of the group model, in the order in which they fall due."""

import heapq
from collections.abc import Callable

Action = Callable[[float], None]


class Schedule:
    """Actions with a time; those of the same time run in the order they were added."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Action]] = []
        self._added = 0

    def add(self, time: float, action: Action) -> None:
        """Runs `action` once `time` (seconds) has come; it is called with that time."""
        self._added += 1
        heapq.heappush(self._heap, (time, self._added, action))

    def next_time(self) -> float | None:
        """Returns when the next action falls due, or None."""
        return self._heap[0][0] if self._heap else None

    def run_until(self, now: float) -> None:
        """Runs every action due by `now`, those added meanwhile included."""
        while self._heap and self._heap[0][0] <= now:
            time, _, action = heapq.heappop(self._heap)
            action(time)
