"""Until when a statement may wait in a queue, and its queue priority meanwhile. Pure functions.

Inputs, steady clock in seconds: when the operation came first and when the statement came here,
until when it is in time, its latest start, and the expected wait from `wait_estimate`.
Decision: it may wait while it can still be served in its time, and is refused as soon as the
expected wait says that it can't (`may_wait`). What is late already, and could only be answered
after its latency target, stands behind what can still be in time; near its latest start it is back
in the order of arrival. One that was refused and has come back is never passed over for being late.
Reason: worth is in what is answered in time, and what is late is passed over for most of its time
but never until that is over.
"""

import math
from enum import IntEnum

import msgspec

from dewledge.core.pooler.load.wait_estimate import ExpectedWait

BACK_IN_ORDER_SHARE = 0.25
"""Ratio; share of the time between being late and the latest start: in that last part a late one
stands by its arrival again. Too small, and many are back in order with too little time for all of
them."""
LEAST_JUDGING_SECONDS = 0.02
"""Seconds; what waits is judged anew no more often: some times the work of a statement."""
EXHAUSTED_SECONDS = 0.4
"""Seconds; a database that has had a statement wait for so long and then refused it, or has run
nothing of this process meanwhile, isn't asked again: statements have 0.8 s and more, so that half
is left for another database, and nobody is held to the end of its time before one that serves
nobody."""
TIMER_SECONDS = 0.001
"""Seconds; what is so near its latest start is judged as at it: a timer is no more exact."""


class QueuePriority(IntEnum):
    """Who comes first within one urgency: the lower."""

    IN_TIME = 0
    LATE = 1


class WaitDeadlines(msgspec.Struct, frozen=True):
    """When one statement has to start; times of the process's steady clock, in seconds.

    arrived: when its operation first came, refusals included. came: when it came here.
    in_time_until: starting until then it is answered within its latency target; infinite where
    that is not told. latest_start: starting until then it is answered in its time; infinite for
    what may always wait.
    """

    arrived: float
    came: float
    in_time_until: float = math.inf
    latest_start: float = math.inf

    @property
    def has_come_back(self) -> bool:
        """Whether its operation was refused before and has come back."""
        return self.arrived < self.came

    @property
    def back_in_order_at(self) -> float:
        """From then on it is in the order of arrival again, though it is late."""
        if self.has_come_back:
            return self.in_time_until
        late_since = max(self.in_time_until, self.came)
        span = max(self.latest_start - late_since, 0.0)
        return self.latest_start - BACK_IN_ORDER_SHARE * span

    def started_after(self, service_seconds: float) -> "WaitDeadlines":
        """Returns the same for a statement that takes so long once it has started."""
        return WaitDeadlines(
            self.arrived,
            self.came,
            self.in_time_until - service_seconds,
            self.latest_start - service_seconds,
        )

    def is_urgent_by_time(self, now: float) -> bool:
        """Tells whether it is late and near its latest start."""
        return self.in_time_until < now and self.back_in_order_at <= now

    def queue_priority(self, now: float) -> QueuePriority:
        """Returns its queue priority at a time."""
        is_late = self.in_time_until < now < self.back_in_order_at
        return QueuePriority.LATE if is_late else QueuePriority.IN_TIME

    def next_change(self, now: float) -> float:
        """Returns when its rank will change; infinite if it stays as it is."""
        if self.in_time_until >= self.latest_start:
            return math.inf
        if self.has_come_back:
            return self.in_time_until if now <= self.in_time_until else math.inf
        if now <= self.in_time_until:
            return self.in_time_until
        return self.back_in_order_at if now < self.back_in_order_at else math.inf


def may_wait(deadlines: WaitDeadlines, now: float, expected: ExpectedWait | None) -> bool:
    """Tells whether a statement can be served in its time; it may wait where nothing is known."""
    if now + TIMER_SECONDS >= deadlines.latest_start:
        return False
    return expected is None or now + expected.seconds <= deadlines.latest_start


def judged_again_at(deadlines: WaitDeadlines, now: float, expected: ExpectedWait | None) -> float:
    """Returns when one that waits is judged anew: after half of what it has to spare.

    So one that is pushed back is refused with half of that left, after few judgements.
    """
    if math.isinf(deadlines.latest_start):
        return math.inf
    known = 0.0 if expected is None else expected.seconds
    spare = deadlines.latest_start - now - known
    return min(now + max(spare / 2, LEAST_JUDGING_SECONDS), deadlines.latest_start)
