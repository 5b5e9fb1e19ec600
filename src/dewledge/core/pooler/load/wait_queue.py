"""Weighted fair queue with priority levels.

Levels (urgency, then queue priority) are served in strict order. Within a level there is a flow for
each caller; flows are served by fair shares (`core/shared/fair_share`), and the waiters of a flow
by rank. With a single flow the queue is ordered by rank alone. The queue only keeps the order;
waiters define their rank and when it changes.
"""

import bisect
import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

import msgspec

from dewledge.core.pooler.load.flow_queue import QueueLevel, Rank

LEVEL_PARTS = 2
"""Parts of a rank that identify its level: urgency and queue priority."""
SINGLE_FLOW = ""
"""The name of the flow if all waiters share one."""


class QueueItem(Protocol):
    """An item that can wait in the queue."""

    queued_rank: Rank | None
    """Rank of the item while it is in a queue; set by the queue."""

    def rank(self, now: float) -> Rank:
        """Returns the rank of the item at `now` (steady clock, seconds); unique within a queue."""

    def next_change(self, now: float) -> float:
        """Returns when the rank changes next, infinite if it does not."""


Waiter = TypeVar("Waiter", bound=QueueItem)


class Charge(msgspec.Struct):
    """The estimated cost charged to a flow for a served waiter, until its actual cost is known."""

    level: Rank
    flow: str
    cost: float


def single_flow(_waiter: object) -> str:
    """Assigns every waiter to the same flow."""
    return SINGLE_FLOW


def unit_cost() -> float:
    """Returns the same cost for every waiter."""
    return 1.0


class WaitQueue(Generic[Waiter]):
    """A queue of waiters by level, flow and rank.

    A waiter moves when its own rank changes, at most twice; the order among flows changes with each
    served waiter. An empty level is dropped with its shares.
    """

    def __init__(
        self,
        flow_of: Callable[[Waiter], str] = single_flow,
        cost: Callable[[], float] = unit_cost,
    ) -> None:
        """Creates an empty queue.

        Args:
            flow_of: Returns the flow of a waiter, which must not change.
            cost: Returns the usual cost of serving a waiter, greater than 0.
        """
        self._flow_of = flow_of
        self._cost = cost
        self._levels: dict[Rank, QueueLevel[Waiter]] = {}
        self._order: list[Rank] = []
        self._changes: list[tuple[float, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(level.size for level in self._levels.values())

    def __iter__(self) -> Iterator[Waiter]:
        for key in list(self._order):
            yield from self._levels[key]

    @property
    def most_urgent_count(self) -> int:
        """The number of waiters with the urgency of the first one."""
        if not self._order:
            return 0
        urgency = self._order[0][0]
        return sum(self._levels[key].size for key in self._order if key[0] == urgency)

    @property
    def tracked_flow_count(self) -> int:
        """The number of flows whose start tag is stored, over all levels."""
        return sum(len(level.shares) for level in self._levels.values())

    def add(self, waiter: Waiter, now: float) -> None:
        """Adds a waiter."""
        rank = waiter.rank(now)
        level = self._levels.get(rank[:LEVEL_PARTS])
        if level is None:
            level = self._levels[rank[:LEVEL_PARTS]] = QueueLevel(self._cost)
            bisect.insort(self._order, rank[:LEVEL_PARTS])
        level.add(self._flow_of(waiter), rank, waiter)
        waiter.queued_rank = rank
        change = waiter.next_change(now)
        if change < float("inf"):
            heapq.heappush(self._changes, (change, next(self._numbers), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that was not served; does nothing if it is not in the queue."""
        level = self._extract(waiter)
        if level is not None:
            level.shares.leave(self._flow_of(waiter))

    def serve(self, waiter: Waiter) -> Charge:
        """Removes a waiter that is served and charges its flow; it must be in the queue."""
        rank, cost = waiter.queued_rank, self._cost()
        level = self._extract(waiter)
        if level is None or rank is None:
            raise ValueError("cannot serve a waiter that is not in the queue")
        flow = self._flow_of(waiter)
        level.shares.serve(flow, cost)
        return Charge(rank[:LEVEL_PARTS], flow, cost)

    def settle(self, charge: Charge, actual_cost: float) -> None:
        """Corrects a charge by the actual cost, unless its level is empty."""
        level = self._levels.get(charge.level)
        if level is not None:
            level.shares.adjust_cost(charge.flow, actual_cost - charge.cost)

    def count_ahead(self, waiter: Waiter) -> int | None:
        """Returns the number of waiters before a waiter, None if it is not in the queue."""
        rank = waiter.queued_rank
        if rank is None or self._position(waiter) is None:
            return None
        return self.count_before(waiter, rank)

    def unordered(self) -> Iterator[Waiter]:
        """Returns all waiters in no particular order."""
        for level in self._levels.values():
            for flow in level.flows.values():
                yield from flow.waiters

    def count_before(self, waiter: Waiter, rank: Rank) -> int:
        """Returns the number of waiters before a waiter, if it had the given rank."""
        key = rank[:LEVEL_PARTS]
        ahead = sum(level.size for other, level in self._levels.items() if other < key)
        level = self._levels.get(key)
        return ahead if level is None else ahead + level.count_before(self._flow_of(waiter), rank)

    def would_be_first(self, waiter: Waiter, now: float) -> bool:
        """Tells whether a waiter that is not in the queue would be the first."""
        return not self._order or self.count_before(waiter, waiter.rank(now)) == 0

    def longest_flow_behind(self, charge: Charge) -> tuple[Waiter, int] | None:
        """Returns the first waiter and the length of the longest flow behind a served one.

        Only flows are considered whose start tag is past the virtual time: they have received more
        than their fair share. A flow that was skipped because it can't be served now is not one of
        them.
        """
        level = self._levels.get(charge.level)
        if level is None:
            return None
        now = level.shares.virtual_time
        behind = (name for name in level.flows if level.shares.start_tag(name) > now)
        flows = [level.flows[name] for name in behind if name != charge.flow]
        if not flows:
            return None
        longest = max(flows, key=lambda flow: len(flow.waiters))
        return longest.waiters[0], len(longest.waiters)

    def refresh(self, now: float) -> None:
        """Moves the waiters whose rank has changed."""
        while self._changes and self._changes[0][0] < now:
            _, _, waiter = heapq.heappop(self._changes)
            if self._position(waiter) is not None:
                self.remove(waiter)
                self.add(waiter, now)

    def drain(self) -> list[Waiter]:
        """Removes all waiters and returns them in order."""
        waiters = list(self)
        self._levels, self._order, self._changes = {}, [], []
        for waiter in waiters:
            waiter.queued_rank = None
        return waiters

    def _position(self, waiter: Waiter) -> int | None:
        """Returns the position of a waiter in its flow, None if it is not in the queue."""
        if waiter.queued_rank is None:
            return None
        level = self._levels.get(waiter.queued_rank[:LEVEL_PARTS])
        flow = None if level is None else level.flows.get(self._flow_of(waiter))
        return None if flow is None else flow.find_position(waiter.queued_rank, waiter)

    def _extract(self, waiter: Waiter) -> QueueLevel[Waiter] | None:
        """Removes a waiter and returns its level, None if it is not in the queue."""
        position, rank = self._position(waiter), waiter.queued_rank
        if position is None or rank is None:
            return None
        key = rank[:LEVEL_PARTS]
        level = self._levels[key]
        level.remove(self._flow_of(waiter), position)
        waiter.queued_rank = None
        if not level.size:
            del self._levels[key]
            self._order.remove(key)
            if not self._order:
                self._changes.clear()
        return level
