"""The waiters of one flow, by rank. A flow is what fair queueing serves as one: here a caller."""

import bisect
from typing import Generic, TypeVar

Rank = tuple[float, ...]
Key = tuple[float, Rank]
"""Where one stands among several flows: the start tag of its share, then its rank."""

Waiter = TypeVar("Waiter")


class FlowQueue(Generic[Waiter]):
    """A list sorted by rank. The n-th one starts n steps after the tag of its flow."""

    def __init__(self) -> None:
        self.ranks: list[Rank] = []
        self.waiters: list[Waiter] = []

    def add(self, rank: Rank, waiter: Waiter) -> None:
        """Takes in a waiter."""
        position = bisect.bisect_left(self.ranks, rank)
        self.ranks.insert(position, rank)
        self.waiters.insert(position, waiter)

    def remove(self, position: int) -> None:
        """Forgets the one at a position."""
        del self.ranks[position]
        del self.waiters[position]

    def before(self, rank: Rank) -> int:
        """Returns how many come before a rank."""
        return bisect.bisect_left(self.ranks, rank)

    def position(self, rank: Rank, waiter: Waiter) -> int | None:
        """Returns where a waiter stands, None if it is not here."""
        position = self.before(rank)
        is_here = position < len(self.waiters) and self.waiters[position] is waiter
        return position if is_here else None

    def ahead_of(self, key: Key, tag: float, step: float) -> int:
        """Returns how many come before a key, where the first one starts at a tag."""
        if (tag, self.ranks[0]) > key:
            return 0
        if (tag + (len(self.ranks) - 1) * step, self.ranks[-1]) < key:
            return len(self.ranks)
        count = min(int(max(key[0] - tag, 0.0) / step), len(self.ranks))
        while count < len(self.ranks) and (tag + count * step, self.ranks[count]) < key:
            count += 1
        while count > 0 and not (tag + (count - 1) * step, self.ranks[count - 1]) < key:
            count -= 1
        return count
