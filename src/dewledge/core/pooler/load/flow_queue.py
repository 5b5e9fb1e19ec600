"""The waiters of a queue level, grouped into flows for fair queueing; a part of `wait_queue`.

A level holds the waiters with the same urgency and queue priority. A flow is the unit of fairness:
the waiters of one caller. Between flows, the lowest start tag is served first
(`core/shared/fair_share`); within a flow, the lowest rank.
"""

import bisect
import heapq
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from dewledge.core.shared.fair_share import FairShares

Rank = tuple[float, ...]
"""Urgency, queue priority, then the order within a flow; the lowest rank is served first."""
FlowKey = tuple[float, Rank]
"""The position of a waiter among several flows: its start tag, then its rank."""

Waiter = TypeVar("Waiter")


class FlowQueue(Generic[Waiter]):
    """The waiters of a flow, sorted by rank; their start tags are equally spaced."""

    def __init__(self) -> None:
        self.ranks: list[Rank] = []
        self.waiters: list[Waiter] = []

    def add(self, rank: Rank, waiter: Waiter) -> None:
        """Inserts a waiter by its rank."""
        position = bisect.bisect_left(self.ranks, rank)
        self.ranks.insert(position, rank)
        self.waiters.insert(position, waiter)

    def remove(self, position: int) -> None:
        """Removes the waiter at a position, counted from 0."""
        del self.ranks[position]
        del self.waiters[position]

    def count_before(self, rank: Rank) -> int:
        """Returns the number of waiters with a lower rank."""
        return bisect.bisect_left(self.ranks, rank)

    def find_position(self, rank: Rank, waiter: Waiter) -> int | None:
        """Returns the position of a waiter, None if it is not in the flow."""
        position = self.count_before(rank)
        is_here = position < len(self.waiters) and self.waiters[position] is waiter
        return position if is_here else None

    def count_ahead_of(self, key: FlowKey, tag: float, step: float) -> int:
        """Returns how many waiters of this flow are served before a waiter of another flow.

        Args:
            key: The start tag and rank of the waiter of the other flow.
            tag: The start tag of the first waiter of this flow.
            step: The difference between the start tags of successive waiters.
        """
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


class QueueLevel(Generic[Waiter]):
    """The waiters with the same urgency and queue priority, by flow."""

    def __init__(self, cost: Callable[[], float]) -> None:
        """Creates an empty level. `cost` returns the usual cost of serving a waiter."""
        self.shares = FairShares()
        self.flows: dict[str, FlowQueue[Waiter]] = {}
        self.size = 0
        self._cost = cost

    def add(self, name: str, rank: Rank, waiter: Waiter) -> None:
        """Adds a waiter to a flow."""
        self.flows.setdefault(name, FlowQueue()).add(rank, waiter)
        self.size += 1
        self.shares.join(name)

    def remove(self, name: str, position: int) -> None:
        """Removes the waiter at a position of a flow."""
        flow = self.flows[name]
        flow.remove(position)
        self.size -= 1
        if not flow.waiters:
            del self.flows[name]

    def __iter__(self) -> Iterator[Waiter]:
        if len(self.flows) == 1:
            yield from next(iter(self.flows.values())).waiters
            return
        tag_of = self.shares.start_tag
        heads = [(tag_of(name), flow.ranks[0], 0, name) for name, flow in self.flows.items()]
        heapq.heapify(heads)
        while heads:
            _, _, position, name = heads[0]
            flow = self.flows[name]
            yield flow.waiters[position]
            position += 1
            if position < len(flow.waiters):
                heapq.heapreplace(heads, (*self._key(name, position), position, name))
            else:
                heapq.heappop(heads)

    def count_before(self, name: str, rank: Rank) -> int:
        """Returns the number of waiters served before a waiter of a flow with the given rank."""
        waiter_flow = self.flows.get(name)
        position = 0 if waiter_flow is None else waiter_flow.count_before(rank)
        if self.size == (0 if waiter_flow is None else len(waiter_flow.waiters)):
            return position
        cost = self._cost()
        behind = (
            position * self.shares.tag_increment(name, cost) if waiter_flow is not None else 0.0
        )
        key = (self.shares.start_tag(name) + behind, rank)
        ahead = position
        for other, flow in self.flows.items():
            if other != name:
                tag, step = self.shares.start_tag(other), self.shares.tag_increment(other, cost)
                ahead += flow.count_ahead_of(key, tag, step)
        return ahead

    def _key(self, name: str, position: int) -> FlowKey:
        step = self.shares.tag_increment(name, self._cost())
        return (self.shares.start_tag(name) + position * step, self.flows[name].ranks[position])
