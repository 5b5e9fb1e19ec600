"""A statement that waits for a connection: its demand, its deadlines and its rank in the queue.

Statements are ranked by route priority, then by whether they can still meet their latency target,
then by demand (internal statements, single statements, transactions), then by arrival.
`load/wait_queue` keeps the order, `load/wait_deadlines` computes the deadlines.
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

MAX_WORK_RATIO = 0.5
"""Maximum part of a statement's remaining time that is reserved for its execution. Statements with
shorter deadlines than the usual service time are thus still sent, and show when the database
becomes faster."""

_numbers = itertools.count()


class Denial(StrEnum):
    """Why a pool denied a connection.

    Attributes:
        UNREACHABLE: No connection could be opened, or the database has stopped answering.
        CLOSED: The pool is retired.
        NO_SLOT: No slot is expected to be free before the deadline of the statement.
    """

    UNREACHABLE = "unreachable"
    CLOSED = "closed"
    NO_SLOT = "no_room"


class Demand(IntEnum):
    """What a statement needs from a database that may be full. At equal urgency, lower values come
    first.

    Attributes:
        OWN: An internal statement of the proxy, which needs no slot.
        SINGLE: A single statement.
        TRANSACTION: Many statements of a caller. They come last, so that more callers are served if
            not all can be.
    """

    INTERNAL = 0
    SINGLE = 1
    TRANSACTION = 2


class Waiter:
    """A statement that waits for a connection."""

    __slots__ = (
        "_deadlines",
        "_is_withdrawn",
        "_on_withdrawn",
        "_number",
        "caller",
        "deadlines",
        "demand",
        "on_denied",
        "expected",
        "on_assigned",
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
        demand: Demand = Demand.INTERNAL,
        caller: str = NO_CALLER,
        deadlines: WaitDeadlines | None = None,
    ) -> None:
        """Creates a statement that has not arrived at a queue.

        Args:
            priority: The priority of its route; the lower value is more urgent.
            given: Called with the connection that is assigned.
            denied: Called with the reason if a connection is denied.
            demand: What the statement needs from the database.
            caller: Only a connection of this caller can be assigned.
            deadlines: When the statement has to be answered; None if it may always wait.
        """
        self.caller = caller
        self.priority = priority
        self.demand = demand
        self.on_assigned = given
        self.on_denied = denied
        self.queued_rank: Rank | None = None
        """Rank of the statement while it is in a queue; set by the queue."""
        self.expected: ExpectedWait | None = None
        """Expected wait of the statement on arrival."""
        self.refusal: Refuse | None = None
        self.refused_wait: ExpectedWait | None = None
        self.deadlines = deadlines or WaitDeadlines(0.0, 0.0)
        """When the statement has to start; valid once `arrive` was called."""
        self._deadlines = deadlines
        self._on_withdrawn: Callable[[Waiter], None] | None = None
        self._number = next(_numbers)
        self._is_withdrawn = False

    @property
    def withdrawn(self) -> bool:
        """Whether the statement has stopped waiting."""
        return self._is_withdrawn

    @withdrawn.setter
    def withdrawn(self, is_withdrawn: bool) -> None:
        self._is_withdrawn = is_withdrawn
        if is_withdrawn and self._on_withdrawn is not None:
            self._on_withdrawn(self)

    def arrive(self, now: float, service_seconds: float) -> None:
        """Computes the deadlines of the statement on arrival, given the usual service time."""
        if self._deadlines is None:
            self.deadlines = WaitDeadlines(now, now)
        else:
            remaining = max(self._deadlines.latest_start - now, 0.0)
            self.deadlines = self._deadlines.less_service_time(
                min(service_seconds, remaining * MAX_WORK_RATIO)
            )

    def on_queued(self, on_withdrawn: Callable[["Waiter"], None]) -> None:
        """Records that the statement is in a queue; `on_withdrawn` is called if it is withdrawn."""
        self._on_withdrawn = on_withdrawn

    def set_expected_wait(self, wait: ExpectedWait | None) -> None:
        """Records the expected wait of the statement on arrival."""
        self.expected = wait

    def deny(
        self, denial: Denial, refusal: Refuse | None = None, wait: ExpectedWait | None = None
    ) -> None:
        """Records why the statement gets no connection, and calls `on_denied`."""
        self.refusal = refusal
        self.refused_wait = wait
        self.on_denied(denial)

    def rank(self, now: float) -> Rank:
        """Returns the rank of the statement at `now`; the lowest rank is served first.

        A late statement that is in order of arrival again ranks with the single statements.
        """
        if self.deadlines.is_late_in_arrival_order(now):
            return self.rank_in_arrival_order
        queue_priority = self.deadlines.queue_priority(now)
        return (self.priority, queue_priority, self.demand, self.deadlines.arrived, self._number)

    @property
    def rank_in_arrival_order(self) -> Rank:
        """The rank of the statement once it is late and in order of arrival again."""
        demand = min(self.demand, Demand.SINGLE)
        return (self.priority, QueuePriority.IN_TIME, demand, self.deadlines.arrived, self._number)

    def next_change(self, now: float) -> float:
        """Returns when the rank of the statement changes next, infinite if it does not."""
        return self.deadlines.next_change(now)


def caller_of(waiter: Waiter) -> str:
    """Returns the caller of a statement."""
    return waiter.caller
