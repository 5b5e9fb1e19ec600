"""A queue that is fair between callers, with items that can be withdrawn.

Items of one caller are served in the order of arrival, callers by their `FairShares`; each item
costs the same. The last in that order is the one to give up when the queue is full.
"""

from collections import OrderedDict
from typing import Generic, TypeVar

from dewledge.core.shared.fair_share import FairShares

Item = TypeVar("Item")

ITEM_COST = 1.0
"""Weight of each item: the costs are not known when the items are queued."""


class QueueEntry(Generic[Item]):
    """A waiting item; kept by who pushed it, to withdraw it."""

    __slots__ = ("caller", "item", "number", "waiting", "weight")

    def __init__(self, item: Item, caller: str, weight: float, number: int) -> None:
        self.item = item
        self.caller = caller
        self.weight = weight
        self.number = number
        self.waiting = True


class FairQueue(Generic[Item]):
    """The waiting items of one database; an operation costs at most O(callers that wait)."""

    def __init__(self) -> None:
        self._shares = FairShares()
        self._lines: dict[str, OrderedDict[int, QueueEntry[Item]]] = {}
        self._weights: dict[str, float] = {}
        self._sequence = 0
        self._waiting = 0

    def __len__(self) -> int:
        return self._waiting

    def push(self, item: Item, caller: str, weight: float) -> QueueEntry[Item]:
        """Adds an item; `weight` is its caller's share, above 0."""
        self._sequence += 1
        entry = QueueEntry(item, caller, weight, self._sequence)
        self._lines.setdefault(caller, OrderedDict())[entry.number] = entry
        self._weights[caller] = weight
        self._shares.join(caller, weight)
        self._waiting += 1
        return entry

    def pop(self) -> Item | None:
        """Takes the item to serve next, or None."""
        if not self._lines:
            return None
        entry = min((self._first(caller) for caller in self._lines), key=self._start)
        self._remove(entry)
        self._shares.serve(entry.caller, ITEM_COST)
        return entry.item

    def withdraw(self, entry: QueueEntry[Item]) -> bool:
        """Removes an item that will not be served; False if it no longer waits.

        Its caller gets the share back that the item would have used.
        """
        if not entry.waiting:
            return False
        self._remove(entry)
        self._shares.leave(entry.caller)
        return True

    def take_last_if_after(self, caller: str, weight: float) -> Item | None:
        """Withdraws and returns the last item if one of `caller` would be served before it."""
        if not self._lines:
            return None
        last = max(self._lines, key=self._last_tag)
        own = len(self._lines.get(caller, ()))
        if self._shares.start_tag(caller) + own * ITEM_COST / weight >= self._last_tag(last):
            return None
        entry = next(reversed(self._lines[last].values()))
        self.withdraw(entry)
        return entry.item

    def served_before(self, caller: str, weight: float) -> float:
        """Estimates how many items are served before a new one of `caller`."""
        own = len(self._lines.get(caller, ()))
        active_weight = sum(self._weights.values()) + (0.0 if own else weight)
        by_share = (own + 1) * active_weight / weight - 1
        return min(float(self._waiting), by_share)

    def _first(self, caller: str) -> QueueEntry[Item]:
        return next(iter(self._lines[caller].values()))

    def _start(self, entry: QueueEntry[Item]) -> tuple[float, int]:
        return (self._shares.start_tag(entry.caller), entry.number)

    def _last_tag(self, caller: str) -> float:
        behind = len(self._lines[caller]) - 1
        return self._shares.start_tag(caller) + behind * self._shares.tag_increment(
            caller, ITEM_COST
        )

    def _remove(self, entry: QueueEntry[Item]) -> None:
        entry.waiting = False
        self._waiting -= 1
        line = self._lines[entry.caller]
        del line[entry.number]
        if not line:
            del self._lines[entry.caller]
            del self._weights[entry.caller]
