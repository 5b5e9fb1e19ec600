"""Timers for state machines: one pending timer per item, O(log n) to set and to take."""

import heapq
from typing import Generic, Protocol, TypeVar

_COMPACT_SLACK = 64
"""Entries of cancelled timers that a small heap keeps before it is rebuilt."""


class Timed(Protocol):
    """An item with at most one timer; `timer_id` is 0 while it has none."""

    timer_id: int


TimedItem = TypeVar("TimedItem", bound=Timed)


class TimerQueue(Generic[TimedItem]):
    """A heap of timers; a timer replaced or cleared is skipped when it surfaces.

    The heap is rebuilt when most of it is dead, so memory follows the live timers.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, TimedItem]] = []
        self._last_id = 0
        self._live = 0

    def set(self, item: TimedItem, when: float) -> None:
        """Sets the item's timer, in place of any it had."""
        if not item.timer_id:
            self._live += 1
        self._last_id += 1
        item.timer_id = self._last_id
        heapq.heappush(self._heap, (when, self._last_id, item))
        if len(self._heap) > 2 * self._live + _COMPACT_SLACK:
            self._compact()

    def clear(self, item: TimedItem) -> None:
        """Clears the item's timer, if it has one."""
        if item.timer_id:
            item.timer_id = 0
            self._live -= 1

    def next_due(self) -> float | None:
        """Returns the time of the earliest timer, or None."""
        while self._heap:
            when, timer_id, item = self._heap[0]
            if item.timer_id == timer_id:
                return when
            heapq.heappop(self._heap)
        return None

    def take_due(self, now: float) -> TimedItem | None:
        """Returns the item of the earliest timer that is due and clears that timer, or None."""
        due = self.next_due()
        if due is None or due > now:
            return None
        item = heapq.heappop(self._heap)[2]
        self.clear(item)
        return item

    def _compact(self) -> None:
        self._heap = [timer for timer in self._heap if timer[2].timer_id == timer[1]]
        heapq.heapify(self._heap)
