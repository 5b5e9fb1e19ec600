"""Who waits before one database, how long that will be, who is refused and until when.

Owns the queue of one pool, what is measured there, and the moments told to those refused. It brings
together the rules, each of which is in one module: the order (`load/wait_queue` by `Waiter.rank`),
the expected wait (`load/wait_estimate`), whether one may wait (`load/wait_deadlines`), when a
refused caller may come back (`load/return_moments`).
"""

from collections.abc import Callable

from dewledge.core.pooler.load.return_moments import ReturnMoments
from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.load.wait_counts import WaitRecord
from dewledge.core.pooler.load.wait_deadlines import QueuePriority, may_wait, next_check_at
from dewledge.core.pooler.load.wait_estimate import Capacity, ExpectedWait, SlotRates, WaitEstimate
from dewledge.core.pooler.load.wait_queue import LEVEL_PARTS, Charge, WaitQueue, single_flow
from dewledge.core.pooler.pool.held_to_share import HeldToShare, HeldToShareWatch
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter, caller_of

LEAST_COST_SECONDS = 0.001
"""Seconds; charged at least for a statement: shares among callers need a cost above 0."""
MOST_COST_RATIO = 8.0
"""Usual statements; one is charged at most so many: one that hung at the database doesn't shut its
caller out for as long. Slot times of a frozen process count as this at most."""


class PoolWaits:
    """The queue of one pool with what is measured there; times of the steady clock, seconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        capacity: Callable[[], Capacity],
        is_fair: bool = True,
    ) -> None:
        """`capacity`: called when a wait is judged. is_fair: callers get fair shares."""
        self._clock = clock
        self._capacity = capacity
        self._returns = ReturnMoments()
        self._estimate = WaitEstimate(capacity)
        self._flow_of = caller_of if is_fair else single_flow
        self.queue: WaitQueue[Waiter] = WaitQueue(self._flow_of, self._usual_cost)
        self._held = HeldToShareWatch(self.queue)
        self.record = WaitRecord()

    @property
    def rates(self) -> SlotRates:
        """How long statements, connections and openings usually take."""
        return self._estimate.rates

    def on_held_to_share(self, told: Callable[[HeldToShare], None]) -> None:
        """`told` is called when a caller is held to its share, once a second at most."""
        self._held.on_held(told)

    def arrive(self, waiter: Waiter) -> None:
        """One comes that may have to wait."""
        now = self._clock()
        self.queue.refresh(now)
        waiter.arrive(now, self.rates.slot_seconds)

    def is_first(self, waiter: Waiter) -> bool:
        """Tells whether one that is not in the queue comes before all that are."""
        return self.queue.would_be_first(waiter, self._clock())

    def add(self, waiter: Waiter) -> Verdict:
        """Has one wait, or refuses it at once."""
        waiter.join(self.queue.remove)
        self.queue.add(waiter, self._clock())
        expected = self._expected(waiter)
        waiter.expect(expected)
        return self._judge(waiter, expected)

    def judge(self, waiter: Waiter) -> Verdict:
        """Refuses one that waits and can't be served in its time; else tells when to ask again."""
        self.queue.refresh(self._clock())
        return self._judge(waiter, self._expected(waiter))

    def promise_return(self, expected: ExpectedWait | None) -> float:
        """Returns the seconds after which one that is refused may come back, told to nobody else.

        expected: its wait here, None where it is not known.
        """
        room_in = None if expected is None else expected.seconds
        spacing = self.rates.service_interval(self._capacity().places)
        return self._returns.promise(self._clock(), room_in, spacing)

    def give(self, waiter: Waiter) -> Charge:
        """One gets a connection, from the queue or as it comes; returns what its caller is charged.

        The charge is the usual time of a statement, until `settle` knows the real one.
        """
        now = self._clock()
        if waiter.queued_rank is None:
            level = waiter.rank(now)[:LEVEL_PARTS]
            charge = Charge(level, self._flow_of(waiter), self._usual_cost())
        else:
            charge = self.queue.serve(waiter)
            self._held.note_served(waiter, charge, self._clock())
        self._estimate.drain.record_departure(now, len(self.queue))
        if waiter.expected is not None:
            self.record.record_served(waiter.expected.seconds, now - waiter.deadlines.came)
        return charge

    def settle(self, charge: Charge, held_seconds: float) -> None:
        """A statement held its slot for so long; what comes on its connection is charged anew."""
        most = MOST_COST_RATIO * self._usual_cost()
        self.queue.settle(charge, min(held_seconds, most))
        charge.cost = 0.0

    def note_room(self) -> None:
        """Nobody waits, and there may be room."""
        self._estimate.drain.record_empty()
        capacity = self._capacity()
        free = min(capacity.places - capacity.running, capacity.connections - capacity.lent)
        self.record.record_free_slots(self._clock(), max(free, 0))

    def deny_all(self, denial: Denial) -> None:
        """Denies a connection to all that wait."""
        for waiter in self.queue.drain():
            waiter.deny(denial)

    def _judge(self, waiter: Waiter, expected: ExpectedWait | None) -> Verdict:
        now = self._clock()
        if may_wait(waiter.deadlines, now, expected):
            return WaitUntil(next_check_at(waiter.deadlines, now, expected))
        self.queue.remove(waiter)
        self.record.record_refused(waiter.deadlines.latest_start)
        refusal = Refuse(RefusalCause.NO_ROOM_IN_TIME, self.promise_return(expected))
        waiter.deny(Denial.NO_ROOM, refusal, expected)
        return refusal

    def _usual_cost(self) -> float:
        return max(self.rates.slot_seconds, LEAST_COST_SECONDS)

    def _expected(self, waiter: Waiter) -> ExpectedWait | None:
        """Returns how long one in the queue still waits, None where that is not known.

        A late one is passed over until it is back in the order of arrival, and waits from there.
        """
        ahead = self.queue.count_ahead(waiter)
        if ahead is None or waiter.demand is Demand.OWN:
            return None
        now = self._clock()
        expected = self._estimate.expected_wait(ahead, now)
        if expected is None or waiter.deadlines.queue_priority(now) is QueuePriority.IN_TIME:
            return expected
        passed = max(waiter.deadlines.arrival_order_from - now, 0.0)
        ahead_then = self.queue.count_before(waiter, waiter.rank_near_latest_start)
        then = self._estimate.expected_wait(ahead_then, now)
        if then is None:
            return expected
        return ExpectedWait(min(expected.seconds, passed + then.seconds), then.age_seconds)
