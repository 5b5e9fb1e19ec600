"""What waits for one thing, in the order in which it is served.

Ranks decide between levels of urgency and standing. Within one level lines (one for each caller)
are served by their fair shares, and within a line the rank decides. With one line for all the
order is that of the ranks alone.
"""

import bisect
import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

import msgspec

from dewledge.core.pooler.load.wait_line import Key, WaitLine
from dewledge.core.shared.fair_share import FairShares

Rank = tuple[float, ...]
"""Urgency, standing, then what decides within a line: the lower comes first."""
LEVEL_PARTS = 2
"""Of a rank: urgency and standing."""
ONE_LINE = ""
"""The line of all where there is but one."""


class Waiting(Protocol):
    """Something that waits."""

    place: Rank | None
    """Its rank while it is in a queue; set by the queue."""

    def rank(self, now: float) -> Rank:
        """Returns its rank at a time (steady clock, seconds); no two in a queue have the same."""

    def next_change(self, now: float) -> float:
        """Returns when its rank will be another; infinite if it stays."""


Waiter = TypeVar("Waiter", bound=Waiting)


class Charge(msgspec.Struct):
    """What was charged for one that was served, to be settled when its real cost is known."""

    level: Rank
    line: str
    cost: float


def one_line(_waiter: object) -> str:
    """Has all wait in one line."""
    return ONE_LINE


def equal_cost() -> float:
    """Has each cost the same."""
    return 1.0


class _Level(Generic[Waiter]):
    """Those of one urgency and standing. `cost`: what one usually costs."""

    def __init__(self, cost: Callable[[], float]) -> None:
        self.shares = FairShares()
        self.lines: dict[str, WaitLine[Waiter]] = {}
        self.size = 0
        self._cost = cost

    def add(self, name: str, rank: Rank, waiter: Waiter) -> None:
        self.lines.setdefault(name, WaitLine()).add(rank, waiter)
        self.size += 1
        self.shares.join(name)

    def remove(self, name: str, position: int) -> None:
        line = self.lines[name]
        line.remove(position)
        self.size -= 1
        if not line.waiters:
            del self.lines[name]

    def __iter__(self) -> Iterator[Waiter]:
        if len(self.lines) == 1:
            yield from next(iter(self.lines.values())).waiters
            return
        tag_of = self.shares.tag
        heads = [(tag_of(name), line.ranks[0], 0, name) for name, line in self.lines.items()]
        heapq.heapify(heads)
        while heads:
            _, _, position, name = heads[0]
            line = self.lines[name]
            yield line.waiters[position]
            position += 1
            if position < len(line.waiters):
                heapq.heapreplace(heads, (*self._key(name, position), position, name))
            else:
                heapq.heappop(heads)

    def before(self, name: str, rank: Rank) -> int:
        """Returns how many come before one of a line with a rank."""
        own = self.lines.get(name)
        position = 0 if own is None else own.before(rank)
        if self.size == (0 if own is None else len(own.waiters)):
            return position
        cost = self._cost()
        behind = position * self.shares.step(name, cost) if own is not None else 0.0
        key = (self.shares.tag(name) + behind, rank)
        ahead = position
        for other, line in self.lines.items():
            if other != name:
                tag, step = self.shares.tag(other), self.shares.step(other, cost)
                ahead += line.ahead_of(key, tag, step)
        return ahead

    def _key(self, name: str, position: int) -> Key:
        step = self.shares.step(name, self._cost())
        return (self.shares.tag(name) + position * step, self.lines[name].ranks[position])


class WaitQueue(Generic[Waiter]):
    """Each waiter moves when its own rank changes, twice in all; the order of lines with each one
    that is served. A level is kept while something waits there."""

    def __init__(
        self,
        line_of: Callable[[Waiter], str] = one_line,
        cost: Callable[[], float] = equal_cost,
    ) -> None:
        """`line_of`: the line of a waiter, always the same. cost: what one usually costs, not 0."""
        self._line_of = line_of
        self._cost = cost
        self._levels: dict[Rank, _Level[Waiter]] = {}
        self._order: list[Rank] = []
        self._changes: list[tuple[float, int, Waiter]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(level.size for level in self._levels.values())

    def __iter__(self) -> Iterator[Waiter]:
        for key in list(self._order):
            yield from self._levels[key]

    @property
    def first(self) -> Waiter:
        """Who comes first; somebody has to wait."""
        return next(iter(self))

    @property
    def most_urgent(self) -> int:
        """How many wait that are as urgent as the first."""
        if not self._order:
            return 0
        urgency = self._order[0][0]
        return sum(self._levels[key].size for key in self._order if key[0] == urgency)

    @property
    def remembered(self) -> int:
        """How many lines are remembered, over all levels."""
        return sum(len(level.shares) for level in self._levels.values())

    def add(self, waiter: Waiter, now: float) -> None:
        """Takes in a waiter."""
        rank = waiter.rank(now)
        level = self._levels.get(rank[:LEVEL_PARTS])
        if level is None:
            level = self._levels[rank[:LEVEL_PARTS]] = _Level(self._cost)
            bisect.insort(self._order, rank[:LEVEL_PARTS])
        level.add(self._line_of(waiter), rank, waiter)
        waiter.place = rank
        change = waiter.next_change(now)
        if change < float("inf"):
            heapq.heappush(self._changes, (change, next(self._numbers), waiter))

    def remove(self, waiter: Waiter) -> None:
        """Forgets a waiter that was not served; one that is not here is no error."""
        level = self._take_out(waiter)
        if level is not None:
            level.shares.leave(self._line_of(waiter))

    def serve(self, waiter: Waiter) -> Charge:
        """Takes out a waiter that is served, and charges its line for it. It has to be here."""
        place, cost = waiter.place, self._cost()
        level = self._take_out(waiter)
        if level is None or place is None:
            raise ValueError("what is not in the queue is served")
        line = self._line_of(waiter)
        level.shares.serve(line, cost)
        return Charge(place[:LEVEL_PARTS], line, cost)

    def settle(self, charge: Charge, real_cost: float) -> None:
        """What was served had cost so much; where nobody waits any more nothing is kept."""
        level = self._levels.get(charge.level)
        if level is not None:
            level.shares.settle(charge.line, real_cost - charge.cost)

    def ahead(self, waiter: Waiter) -> int | None:
        """Returns how many come before a waiter, None if it is not here."""
        place = waiter.place
        if place is None or self._position(waiter) is None:
            return None
        return self.before(waiter, place)

    def everyone(self) -> Iterator[Waiter]:
        """Returns all in no order."""
        for level in self._levels.values():
            for line in level.lines.values():
                yield from line.waiters

    def before(self, waiter: Waiter, rank: Rank) -> int:
        """Returns how many come before a waiter, if it has a rank."""
        key = rank[:LEVEL_PARTS]
        ahead = sum(level.size for other, level in self._levels.items() if other < key)
        level = self._levels.get(key)
        return ahead if level is None else ahead + level.before(self._line_of(waiter), rank)

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Tells whether one that is not in the queue comes before all that are."""
        return not self._order or self.before(waiter, waiter.rank(now)) == 0

    def longest_line(self, charge: Charge) -> tuple[Waiter, int] | None:
        """Returns the first of the longest line that stands behind a served one, and how many.

        It has had more than the served one's line; one passed as it can't be served has not.
        """
        level = self._levels.get(charge.level)
        if level is None:
            return None
        now = level.shares.virtual_time
        behind = (name for name in level.lines if level.shares.tag(name) > now)
        lines = [level.lines[name] for name in behind if name != charge.line]
        if not lines:
            return None
        longest = max(lines, key=lambda line: len(line.waiters))
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
            waiter.place = None
        return waiters

    def _position(self, waiter: Waiter) -> int | None:
        """Returns where a waiter stands in its line, None if it is not here."""
        if waiter.place is None:
            return None
        level = self._levels.get(waiter.place[:LEVEL_PARTS])
        line = None if level is None else level.lines.get(self._line_of(waiter))
        return None if line is None else line.position(waiter.place, waiter)

    def _take_out(self, waiter: Waiter) -> _Level[Waiter] | None:
        position, place = self._position(waiter), waiter.place
        if position is None or place is None:
            return None
        key = place[:LEVEL_PARTS]
        level = self._levels[key]
        level.remove(self._line_of(waiter), position)
        waiter.place = None
        if not level.size:
            del self._levels[key]
            self._order.remove(key)
            if not self._order:
                self._changes.clear()
        return level
