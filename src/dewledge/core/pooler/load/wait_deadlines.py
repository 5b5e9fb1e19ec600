"""Deadlines of a waiting statement and the queue priority that follows from them. Pure functions.

A statement may wait while it can still be served before its latest start; it is refused as soon as
the expected wait (`wait_estimate`) is too long (`may_wait`). A statement that can no longer meet
its latency target is queued behind those that can, so that slots go to statements that still meet
it. Shortly before its latest start it returns to the order of arrival, so that it is not passed
over until its deadline. A retried operation is never passed over for being late.
"""

import math
from enum import IntEnum

import msgspec

from dewledge.core.pooler.load.wait_estimate import ExpectedWait

ARRIVAL_ORDER_RATIO = 0.25
"""Fraction of the time from the missed latency target to the latest start; in this last part a late
statement is in order of arrival again. If it is too small, too little time is left to serve all
late statements."""
MIN_CHECK_INTERVAL_SECONDS = 0.02
"""Minimum interval between two checks of a waiting statement."""
EXHAUSTED_AFTER_SECONDS = 0.4
"""A statement stops trying a database after this time, if the queue for the database still refuses
it, or if the database has executed no statement of this process in this time. The rest of the
statement's timeout, which is 0.8 s or more, is left for another database."""
TIMER_RESOLUTION_SECONDS = 0.001
"""Resolution of timers; a statement this close to its latest start has no time left to wait."""


class QueuePriority(IntEnum):
    """Order within one urgency; the lower value is served first."""

    IN_TIME = 0
    LATE = 1


class WaitDeadlines(msgspec.Struct, frozen=True):
    """When a statement has to start; times of the process's steady clock in seconds.

    Attributes:
        arrived: First attempt of its operation, before any refusal.
        came: Arrival of the statement in this queue.
        in_time_until: Latest start that meets the latency target; infinite without a target.
        latest_start: Latest start that meets the timeout; infinite for a statement that may always
            wait.
    """

    arrived: float
    came: float
    in_time_until: float = math.inf
    latest_start: float = math.inf

    @property
    def is_retry(self) -> bool:
        """Whether the operation was refused before and has been retried."""
        return self.arrived < self.came

    @property
    def arrival_order_from(self) -> float:
        """The time from which a late statement is in order of arrival again."""
        if self.is_retry:
            return self.in_time_until
        late_since = max(self.in_time_until, self.came)
        span = max(self.latest_start - late_since, 0.0)
        return self.latest_start - ARRIVAL_ORDER_RATIO * span

    def less_service_time(self, service_seconds: float) -> "WaitDeadlines":
        """Returns earlier deadlines, which leave the given time for executing the statement."""
        return WaitDeadlines(
            self.arrived,
            self.came,
            self.in_time_until - service_seconds,
            self.latest_start - service_seconds,
        )

    def is_late_in_arrival_order(self, now: float) -> bool:
        """Tells whether the statement is late and in order of arrival again."""
        return self.in_time_until < now and self.arrival_order_from <= now

    def queue_priority(self, now: float) -> QueuePriority:
        """Returns the queue priority of the statement at `now`."""
        is_late = self.in_time_until < now < self.arrival_order_from
        return QueuePriority.LATE if is_late else QueuePriority.IN_TIME

    def next_change(self, now: float) -> float:
        """Returns when the rank of the statement changes next, infinite if it does not."""
        if self.in_time_until >= self.latest_start:
            return math.inf
        if self.is_retry:
            return self.in_time_until if now <= self.in_time_until else math.inf
        if now <= self.in_time_until:
            return self.in_time_until
        return self.arrival_order_from if now < self.arrival_order_from else math.inf


def may_wait(deadlines: WaitDeadlines, now: float, expected: ExpectedWait | None) -> bool:
    """Tells whether a statement can still start in time; an unknown wait does not prevent it."""
    if now + TIMER_RESOLUTION_SECONDS >= deadlines.latest_start:
        return False
    return expected is None or now + expected.seconds <= deadlines.latest_start


def next_check_at(deadlines: WaitDeadlines, now: float, expected: ExpectedWait | None) -> float:
    """Returns when to check a waiting statement again: after half of its spare time.

    A statement whose expected wait grows is thus refused with half of its spare time left, after
    few checks.
    """
    if math.isinf(deadlines.latest_start):
        return math.inf
    expected_seconds = 0.0 if expected is None else expected.seconds
    spare = deadlines.latest_start - now - expected_seconds
    return min(now + max(spare / 2, MIN_CHECK_INTERVAL_SECONDS), deadlines.latest_start)
