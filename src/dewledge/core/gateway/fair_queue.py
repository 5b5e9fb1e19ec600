"""Weighted fair queueing between callers, with requests that can be withdrawn.

Each request gets a finish tag on arrival: the larger of the queue's virtual time and its caller's
last tag, plus 1/weight. The smallest tag is served first, so that callers with requests waiting
share the service by weight; the largest tag is the one to give up when the queue is full.
"""

import heapq
from typing import Generic, TypeVar

Item = TypeVar("Item")


class QueueEntry(Generic[Item]):
    """A waiting item; kept by who pushed it, to withdraw it."""

    __slots__ = ("caller", "item", "tag", "waiting", "weight")

    def __init__(self, item: Item, caller: str, weight: float, tag: float) -> None:
        self.item = item
        self.caller = caller
        self.weight = weight
        self.tag = tag
        self.waiting = True


class _CallerState:
    __slots__ = ("last_tag", "waiting", "weight")

    def __init__(self, last_tag: float, weight: float) -> None:
        self.last_tag = last_tag
        self.waiting = 0
        self.weight = weight


class FairQueue(Generic[Item]):
    """The waiting items of one database; every operation costs O(log n) on average."""

    def __init__(self) -> None:
        self._first: list[tuple[float, int, QueueEntry[Item]]] = []
        self._last: list[tuple[float, int, QueueEntry[Item]]] = []
        self._callers: dict[str, _CallerState] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._waiting = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._waiting

    def push(self, item: Item, caller: str, weight: float) -> QueueEntry[Item]:
        """Adds an item; `weight` is its caller's share, above 0."""
        state = self._callers.get(caller)
        if state is None:
            state = _CallerState(self._virtual_time, weight)
            self._callers[caller] = state
            self._active_weight += weight
        state.last_tag = max(state.last_tag, self._virtual_time) + 1.0 / weight
        state.waiting += 1
        entry = QueueEntry(item, caller, weight, state.last_tag)
        self._sequence += 1
        heapq.heappush(self._first, (entry.tag, self._sequence, entry))
        heapq.heappush(self._last, (-entry.tag, -self._sequence, entry))
        self._waiting += 1
        return entry

    def pop(self) -> Item | None:
        """Takes the item to serve next, or None."""
        self._drop_withdrawn(self._first)
        if not self._first:
            return None
        entry = heapq.heappop(self._first)[2]
        self._virtual_time = max(self._virtual_time, entry.tag)
        self._forget(entry)
        return entry.item

    def withdraw(self, entry: QueueEntry[Item]) -> bool:
        """Removes an item that will not be served; False if it no longer waits.

        Its caller gets the share back that the item would have used.
        """
        if not entry.waiting:
            return False
        state = self._callers[entry.caller]
        state.last_tag -= 1.0 / entry.weight
        self._forget(entry)
        return True

    def take_last_if_after(self, caller: str, weight: float) -> Item | None:
        """Withdraws and returns the last item if one of `caller` would be served before it."""
        self._drop_withdrawn(self._last)
        if not self._last:
            return None
        entry = self._last[0][2]
        if self._next_tag(caller, weight) >= entry.tag:
            return None
        self.withdraw(entry)
        return entry.item

    def served_before(self, caller: str, weight: float) -> float:
        """Estimates how many items are served before a new one of `caller`."""
        state = self._callers.get(caller)
        own = state.waiting if state else 0
        active_weight = self._active_weight + (0.0 if state else weight)
        by_share = (own + 1) * active_weight / weight - 1
        return min(float(self._waiting), by_share)

    def _next_tag(self, caller: str, weight: float) -> float:
        state = self._callers.get(caller)
        last_tag = state.last_tag if state else self._virtual_time
        return max(last_tag, self._virtual_time) + 1.0 / weight

    def _forget(self, entry: QueueEntry[Item]) -> None:
        entry.waiting = False
        self._waiting -= 1
        state = self._callers[entry.caller]
        state.waiting -= 1
        if state.waiting == 0:
            del self._callers[entry.caller]
            self._active_weight -= state.weight
        self._compact()

    def _compact(self) -> None:
        limit = 2 * self._waiting + 64
        if len(self._first) > limit:
            self._first = [entry for entry in self._first if entry[2].waiting]
            heapq.heapify(self._first)
        if len(self._last) > limit:
            self._last = [entry for entry in self._last if entry[2].waiting]
            heapq.heapify(self._last)

    @staticmethod
    def _drop_withdrawn(heap: list[tuple[float, int, QueueEntry[Item]]]) -> None:
        while heap and not heap[0][2].waiting:
            heapq.heappop(heap)
