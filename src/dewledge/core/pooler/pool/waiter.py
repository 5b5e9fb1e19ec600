"""A statement that waits for a connection: what it needs, its deadlines and its rank in the queue.

Owns the rank rule (`Waiter.rank`): route priority, then whether it is still in time, then the
proxy's own questions, single statements and transactions in that order, then arrival. The order by
rank and by fair shares is kept in `load/wait_queue`, the deadlines in `load/wait_deadlines`.
"""

import itertools
from collections.abc import Callable
from enum import IntEnum, StrEnum

from dewledge.core.pooler.load.flow_queue import Rank
from dewledge.core.pooler.load.verdict import Refuse
from dewledge.core.pooler.load.wait_deadlines import QueuePriority, WaitDeadlines
from dewledge.core.pooler.load.wait_estimate import ExpectedWait
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER

MOST_WORK_SHARE = 0.5
"""Ratio; share of its time; more is never set aside for its work, so that statements go on to a
database whose usual time has become longer than they have, and show when it is shorter again."""

_numbers = itertools.count()


class Denial(StrEnum):
    """Why a pool gave no connection."""

    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    NO_ROOM = "no_room"


class Demand(IntEnum):
    """What a waiter needs of a database that may be full. Of equal urgency the lower comes first.

    SINGLE: one statement. TRANSACTION: many statements for one caller, so that while not all can
    be served, more callers are served when these come last. OWN: a question of the proxy's own,
    which is never held back.
    """

    OWN = 0
    SINGLE = 1
    TRANSACTION = 2


class Waiter:
    """A statement that waits for a connection."""

    __slots__ = (
        "_deadlines",
        "_is_withdrawn",
        "_left",
        "_number",
        "caller",
        "deadlines",
        "demand",
        "denied",
        "expected",
        "given",
        "priority",
        "queued_rank",
        "refusal",
        "refused_wait",
    )

    def __init__(
        self,
        priority: int,
        given: Callable[[DatabaseConnection], None],
        denied: Callable[[Denial], None],
        demand: Demand = Demand.OWN,
        caller: str = NO_CALLER,
        deadlines: WaitDeadlines | None = None,
    ) -> None:
        """`caller`: only a connection of this caller will do.

        deadlines: when the statement has to be answered; None for one that may always wait.
        """
        self.caller = caller
        self.priority = priority
        self.demand = demand
        self.given = given
        self.denied = denied
        self.queued_rank: Rank | None = None
        """Its rank while it is in a queue; set by the queue."""
        self.expected: ExpectedWait | None = None
        """Its wait as it was expected when it came."""
        self.refusal: Refuse | None = None
        self.refused_wait: ExpectedWait | None = None
        self.deadlines = deadlines or WaitDeadlines(0.0, 0.0)
        """When it has to start; from its arrival on."""
        self._deadlines = deadlines
        self._left: Callable[[Waiter], None] | None = None
        self._number = next(_numbers)
        self._is_withdrawn = False

    @property
    def withdrawn(self) -> bool:
        """Whether the statement waits no more."""
        return self._is_withdrawn

    @withdrawn.setter
    def withdrawn(self, is_withdrawn: bool) -> None:
        self._is_withdrawn = is_withdrawn
        if is_withdrawn and self._left is not None:
            self._left(self)

    def arrive(self, now: float, service_seconds: float) -> None:
        """It comes to a queue now; statements there usually take so long once they have started."""
        if self._deadlines is None:
            self.deadlines = WaitDeadlines(now, now)
        else:
            left = max(self._deadlines.latest_start - now, 0.0)
            self.deadlines = self._deadlines.less_service_time(
                min(service_seconds, left * MOST_WORK_SHARE)
            )

    def join(self, left: Callable[["Waiter"], None]) -> None:
        """It is in a queue from now on; `left` is called if it is withdrawn."""
        self._left = left

    def expect(self, wait: ExpectedWait | None) -> None:
        """Notes its wait as it is expected when it comes."""
        self.expected = wait

    def deny(
        self, denial: Denial, refusal: Refuse | None = None, wait: ExpectedWait | None = None
    ) -> None:
        """Tells it that it gets no connection."""
        self.refusal = refusal
        self.refused_wait = wait
        self.denied(denial)

    def rank(self, now: float) -> Rank:
        """Who comes first: the lower.

        One that is late and near its latest start comes by its arrival among the single ones.
        """
        if self.deadlines.is_late_in_arrival_order(now):
            return self.rank_near_latest_start
        queue_priority = self.deadlines.queue_priority(now)
        return (self.priority, queue_priority, self.demand, self.deadlines.arrived, self._number)

    @property
    def rank_near_latest_start(self) -> Rank:
        """Its rank once it is near its latest start."""
        demand = min(self.demand, Demand.SINGLE)
        return (self.priority, QueuePriority.IN_TIME, demand, self.deadlines.arrived, self._number)

    def next_change(self, now: float) -> float:
        """Returns when its rank will be another."""
        return self.deadlines.next_change(now)


def caller_of(waiter: Waiter) -> str:
    """Returns whose it is."""
    return waiter.caller
