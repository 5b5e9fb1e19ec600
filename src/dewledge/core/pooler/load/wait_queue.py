"""What waits for one thing, in the order in which it is served: weighted fair queueing by levels.

Ranks decide between levels (urgency, then queue priority: in time or late). Within one level flows,
one for each caller, are served by their fair shares (`core/shared/fair_share`), and within a flow
the rank decides. With one flow for all the order is that of the ranks alone.

Inputs: the rank of each waiter and the moment at which it changes, and the usual cost of one, in
seconds of a slot for pools. It owns the order only: what a rank means is decided by the waiters.
"""

import bisect
import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

import msgspec

from dewledge.core.pooler.load.flow_queue import QueueLevel, Rank

LEVEL_PARTS = 2
"""Parts of a rank that name its level: urgency and queue priority."""
ONE_FLOW = ""
"""The flow of all where there is but one."""


class Waiting(Protocol):
    """Something that waits."""

    queued_rank: Rank | None
    """Its rank while it is in a queue; set by the queue."""

    def rank(self, now: float) -> Rank:
        """Returns its rank at a time (steady clock, seconds); no two in a queue have the same."""

    def next_change(self, now: float) -> float:
        """Returns when its rank will be another; infinite if it stays."""


Waiter = TypeVar("Waiter", bound=Waiting)


class Charge(msgspec.Struct):
    """What was charged for one that was served, to be settled when its real cost is known."""

    level: Rank
    flow: str
    cost: float


def one_flow(_waiter: object) -> str:
    """Has all wait in one flow."""
    return ONE_FLOW


def equal_cost() -> float:
    """Has each cost the same."""
    return 1.0


class WaitQueue(Generic[Waiter]):
    """Each waiter moves when its own rank changes, twice in all; the order of flows with each one
    that is served. A level is kept while something waits there."""

    def __init__(
        self,
        flow_of: Callable[[Waiter], str] = one_flow,
        cost: Callable[[], float] = equal_cost,
    ) -> None:
        """`flow_of`: the flow of a waiter, always the same. cost: what one usually costs, not 0."""
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
    def most_urgent(self) -> int:
        """How many wait that are as urgent as the first."""
        if not self._order:
            return 0
        urgency = self._order[0][0]
        return sum(self._levels[key].size for key in self._order if key[0] == urgency)

    @property
    def remembered(self) -> int:
        """How many flows are remembered, over all levels."""
        return sum(len(level.shares) for level in self._levels.values())

    def add(self, waiter: Waiter, now: float) -> None:
        """Takes in a waiter."""
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
        """Forgets a waiter that was not served; one that is not here is no error."""
        level = self._take_out(waiter)
        if level is not None:
            level.shares.leave(self._flow_of(waiter))

    def serve(self, waiter: Waiter) -> Charge:
        """Takes out a waiter that is served, and charges its flow for it. It has to be here."""
        rank, cost = waiter.queued_rank, self._cost()
        level = self._take_out(waiter)
        if level is None or rank is None:
            raise ValueError("what is not in the queue is served")
        flow = self._flow_of(waiter)
        level.shares.serve(flow, cost)
        return Charge(rank[:LEVEL_PARTS], flow, cost)

    def settle(self, charge: Charge, real_cost: float) -> None:
        """What was served had cost so much; where nobody waits any more nothing is kept."""
        level = self._levels.get(charge.level)
        if level is not None:
            level.shares.settle(charge.flow, real_cost - charge.cost)

    def ahead(self, waiter: Waiter) -> int | None:
        """Returns how many come before a waiter, None if it is not here."""
        rank = waiter.queued_rank
        if rank is None or self._position(waiter) is None:
            return None
        return self.before(waiter, rank)

    def everyone(self) -> Iterator[Waiter]:
        """Returns all in no order."""
        for level in self._levels.values():
            for flow in level.flows.values():
                yield from flow.waiters

    def before(self, waiter: Waiter, rank: Rank) -> int:
        """Returns how many come before a waiter, if it has a rank."""
        key = rank[:LEVEL_PARTS]
        ahead = sum(level.size for other, level in self._levels.items() if other < key)
        level = self._levels.get(key)
        return ahead if level is None else ahead + level.before(self._flow_of(waiter), rank)

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Tells whether one that is not in the queue comes before all that are."""
        return not self._order or self.before(waiter, waiter.rank(now)) == 0

    def longest_flow(self, charge: Charge) -> tuple[Waiter, int] | None:
        """Returns the first of the longest flow that stands behind a served one, and how many.

        It has had more than the served one's flow; one passed as it can't be served has not.
        """
        level = self._levels.get(charge.level)
        if level is None:
            return None
        now = level.shares.virtual_time
        behind = (name for name in level.flows if level.shares.tag(name) > now)
        flows = [level.flows[name] for name in behind if name != charge.flow]
        if not flows:
            return None
        longest = max(flows, key=lambda flow: len(flow.waiters))
        return longest.waiters[0], len(longest.waiters)

    def refresh(self, now: float) -> None:
        """Moves those whose rank has changed."""
        while self._changes and self._changes[0][0] < now:
            _, _, waiter = heapq.heappop(self._changes)
            if self._position(waiter) is not None:
                self.remove(waiter)
                self.add(waiter, now)

    def drain(self) -> list[Waiter]:
        """Forgets all and returns them in order."""
        waiters = list(self)
        self._levels, self._order, self._changes = {}, [], []
        for waiter in waiters:
            waiter.queued_rank = None
        return waiters

    def _position(self, waiter: Waiter) -> int | None:
        """Returns where a waiter stands in its flow, None if it is not here."""
        if waiter.queued_rank is None:
            return None
        level = self._levels.get(waiter.queued_rank[:LEVEL_PARTS])
        flow = None if level is None else level.flows.get(self._flow_of(waiter))
        return None if flow is None else flow.position(waiter.queued_rank, waiter)

    def _take_out(self, waiter: Waiter) -> QueueLevel[Waiter] | None:
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
