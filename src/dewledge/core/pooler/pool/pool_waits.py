"""The queue of a pool: order, expected waits, refusals and retry times.

Each rule is in a module of its own: the order in `load/wait_queue` and `Waiter.rank`, the expected
wait in `load/wait_estimate`, whether a statement may wait in `load/wait_deadlines`, and the retry
time after a refusal in `load/retry_schedule`.
"""

from collections.abc import Callable

from dewledge.core.pooler.load.retry_schedule import RetrySchedule
from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.load.wait_counts import WaitRecord
from dewledge.core.pooler.load.wait_deadlines import QueuePriority, may_wait, next_check_at
from dewledge.core.pooler.load.wait_estimate import Capacity, ExpectedWait, SlotRates, WaitEstimate
from dewledge.core.pooler.load.wait_queue import LEVEL_PARTS, Charge, WaitQueue, single_flow
from dewledge.core.pooler.pool.fair_share_watch import FairShareWatch, OverFairShare
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter, caller_of

MIN_COST_SECONDS = 0.001
"""Minimum charge for a statement: fair shares need a cost greater than 0."""
MAX_COST_RATIO = 8.0
"""Maximum charge for a statement, relative to the usual cost: a statement that hung at the
database, or in a stalled process, does not block its caller for as long."""


class PoolWaits:
    """The queue of a pool and the samples taken from it; times of the steady clock in seconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], Capacity],
        is_fair: bool = True,
    ) -> None:
        """Creates an empty queue.

        Args:
            clock: Returns the time of the steady clock.
            capacity: Returns the current capacity of the pool.
            is_fair: Whether callers get fair shares.
        """
        self._clock = clock
        self._capacity = capacity
        self._retry_schedule = RetrySchedule()
        self._estimate = WaitEstimate(capacity)
        self._flow_of = caller_of if is_fair else single_flow
        self.queue: WaitQueue[Waiter] = WaitQueue(self._flow_of, self._usual_cost)
        self._fair_share_watch = FairShareWatch(self.queue)
        self.record = WaitRecord()

    @property
    def rates(self) -> SlotRates:
        """The usual times of statements, loans and openings."""
        return self._estimate.rates

    def on_over_fair_share(self, callback: Callable[[OverFairShare], None]) -> None:
        """Sets the callback for callers over their fair share, which is called at most once a
        second."""
        self._fair_share_watch.on_over_share(callback)

    def arrive(self, waiter: Waiter) -> None:
        """Sets the deadlines of an arriving statement."""
        now = self._clock()
        self.queue.refresh(now)
        waiter.arrive(now, self.rates.slot_seconds)

    def would_be_first(self, waiter: Waiter) -> bool:
        """Tells whether a statement that is not in the queue would be the first."""
        return self.queue.would_be_first(waiter, self._clock())

    def add(self, waiter: Waiter) -> Verdict:
        """Adds a statement to the queue, or refuses it at once."""
        waiter.on_queued(self.queue.remove)
        self.queue.add(waiter, self._clock())
        expected = self._expected_wait(waiter)
        waiter.set_expected_wait(expected)
        return self._refuse_or_wait(waiter, expected)

    def recheck(self, waiter: Waiter) -> Verdict:
        """Refuses a waiting statement that can't be served in time, or returns when to check
        again."""
        self.queue.refresh(self._clock())
        return self._refuse_or_wait(waiter, self._expected_wait(waiter))

    def reserve_retry_time(self, expected: ExpectedWait | None) -> float:
        """Reserves a retry time for a refused statement; returns it in seconds from now.

        Args:
            expected: The wait of the statement in this queue, None if unknown.
        """
        drained_in = None if expected is None else expected.seconds
        spacing = self.rates.service_interval(self._capacity().places)
        return self._retry_schedule.reserve(self._clock(), drained_in, spacing)

    def charge_served(self, waiter: Waiter) -> Charge:
        """Records that a statement gets a connection, and returns what its caller is charged.

        The charge is the usual cost of a statement; `settle` corrects it.
        """
        now = self._clock()
        if waiter.queued_rank is None:
            level = waiter.rank(now)[:LEVEL_PARTS]
            charge = Charge(level, self._flow_of(waiter), self._usual_cost())
        else:
            charge = self.queue.serve(waiter)
            self._fair_share_watch.check_served(waiter, charge, self._clock())
        self._estimate.drain.record_departure(now, len(self.queue))
        if waiter.expected is not None:
            self.record.record_served(waiter.expected.seconds, now - waiter.deadlines.came)
        return charge

    def settle(self, charge: Charge, held_seconds: float) -> None:
        """Corrects a charge by the actual slot time. Later statements of the same loan are charged
        in addition."""
        max_cost = MAX_COST_RATIO * self._usual_cost()
        self.queue.settle(charge, min(held_seconds, max_cost))
        charge.cost = 0.0

    def record_free_slots(self) -> None:
        """Records free slots while no statement waits."""
        self._estimate.drain.record_empty()
        capacity = self._capacity()
        free = min(capacity.places - capacity.running, capacity.connections - capacity.lent)
        self.record.record_free_slots(self._clock(), max(free, 0))

    def deny_all(self, denial: Denial) -> None:
        """Denies a connection to all waiting statements."""
        for waiter in self.queue.drain():
            waiter.deny(denial)

    def _refuse_or_wait(self, waiter: Waiter, expected: ExpectedWait | None) -> Verdict:
        """Refuses a statement whose expected wait is too long, or returns when to check again."""
        now = self._clock()
        if may_wait(waiter.deadlines, now, expected):
            return WaitUntil(next_check_at(waiter.deadlines, now, expected))
        self.queue.remove(waiter)
        self.record.record_refused(waiter.deadlines.latest_start)
        refusal = Refuse(RefusalCause.NO_ROOM_IN_TIME, self.reserve_retry_time(expected))
        waiter.deny(Denial.NO_SLOT, refusal, expected)
        return refusal

    def _usual_cost(self) -> float:
        return max(self.rates.slot_seconds, MIN_COST_SECONDS)

    def _expected_wait(self, waiter: Waiter) -> ExpectedWait | None:
        """Returns the remaining wait of a statement in the queue, None if unknown.

        A late statement is skipped until it is in order of arrival again, and waits from there.
        """
        ahead = self.queue.count_ahead(waiter)
        if ahead is None or waiter.demand is Demand.INTERNAL:
            return None
        now = self._clock()
        expected = self._estimate.expected_wait(ahead, now)
        if expected is None or waiter.deadlines.queue_priority(now) is QueuePriority.IN_TIME:
            return expected
        skipped_seconds = max(waiter.deadlines.arrival_order_from - now, 0.0)
        ahead_then = self.queue.count_before(waiter, waiter.rank_in_arrival_order)
        expected_then = self._estimate.expected_wait(ahead_then, now)
        if expected_then is None:
            return expected
        return ExpectedWait(
            min(expected.seconds, skipped_seconds + expected_then.seconds),
            expected_then.age_seconds,
        )
