"""The waits before one database: who waits, how long that will be, who is refused until when."""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.load.drain_rate import DrainRate
from dewledge.core.pooler.load.expected_wait import ExpectedWait
from dewledge.core.pooler.load.return_moments import ReturnMoments
from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.load.wait_counts import WaitRecord
from dewledge.core.pooler.load.wait_deadlines import Standing, judged_again_at, may_wait
from dewledge.core.pooler.load.wait_queue import LEVEL_PARTS, Charge, WaitQueue, one_line
from dewledge.core.pooler.pool.slot_rates import SlotRates
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter, caller_of

LEAST_COST_SECONDS = 0.001
"""Charged at least for a statement: shares among callers need a cost above 0."""
MOST_COST_RATIO = 8.0
"""A statement is charged at most so many usual ones: one that hung at the database doesn't shut its
caller out for as long."""
LEAST_HELD = 2
"""Of a caller that is held to its share so many wait at least: one alone is no backlog."""
HELD_LINE_SECONDS = 1.0
"""Callers that are held to their shares are told of no more often."""


class Capacity(msgspec.Struct, frozen=True):
    """What a pool has to give now.

    running: statements at the database, of `places`. lent: connections in use, of `connections`.
    is_opening: whether one that waits needs a connection that has to be opened first.
    """

    running: int
    places: int
    lent: int
    connections: int
    is_opening: bool


class HeldToShare(msgspec.Struct, frozen=True):
    """A statement was served before earlier ones of a caller above its share.

    waiting: how many of that caller wait, the first of them for `waited_seconds`. served: the
    caller whose statement went first.
    """

    caller: str
    waiting: int
    waited_seconds: float
    served: str


class PoolWaits:
    """The queue of one pool with what is measured there."""

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
        self.rates = SlotRates()
        self._line_of = caller_of if is_fair else one_line
        self.queue: WaitQueue[Waiter] = WaitQueue(self._line_of, self._usual_cost)
        self.held_to_share: Callable[[HeldToShare], None] = lambda held: None
        """Called when a caller is held to its share, once a second at most."""
        self._told_held_at = -math.inf
        self._drain = DrainRate()
        self.record = WaitRecord()

    @property
    def urgent(self) -> int:
        """How many wait that are as urgent as the first."""
        return self.queue.most_urgent

    def arrive(self, waiter: Waiter) -> None:
        """One comes that may have to wait."""
        now = self._clock()
        self.queue.refresh(now)
        waiter.arrive(now, self.rates.slot_seconds)

    def is_first(self, waiter: Waiter) -> bool:
        """Tells whether one that is not in the queue comes before all that are."""
        return self.queue.is_first(waiter, self._clock())

    def add(self, waiter: Waiter) -> Verdict:
        """Has one wait, or refuses it at once."""
        waiter.left = self.queue.remove
        self.queue.add(waiter, self._clock())
        waiter.expected = self._expected(waiter)
        return self._judge(waiter, waiter.expected)

    def judge(self, waiter: Waiter) -> Verdict:
        """Refuses one that waits and can't be served in its time; else tells when to ask again."""
        self.queue.refresh(self._clock())
        return self._judge(waiter, self._expected(waiter))

    def _judge(self, waiter: Waiter, expected: ExpectedWait | None) -> Verdict:
        now = self._clock()
        if may_wait(waiter.patience, now, expected):
            return WaitUntil(judged_again_at(waiter.patience, now, expected))
        self.queue.remove(waiter)
        self.record.note_refused(waiter.patience.latest_start)
        refusal = Refuse(RefusalCause.NO_ROOM_IN_TIME, self.promise_return(expected))
        waiter.deny(Denial.NO_ROOM, refusal, expected)
        return refusal

    def promise_return(self, expected: ExpectedWait | None) -> float:
        """Returns the seconds after which one that is refused may come back, told to nobody else.

        expected: its wait here, None where it is not known.
        """
        room_in = None if expected is None else expected.seconds
        spacing = self.rates.spacing(self._capacity().places)
        return self._returns.promise(self._clock(), room_in, spacing)

    def give(self, waiter: Waiter) -> Charge:
        """One gets its place, from the queue or as it comes; returns what its line is charged."""
        now = self._clock()
        if waiter.place is None:
            level = waiter.rank(now)[:LEVEL_PARTS]
            charge = Charge(level, self._line_of(waiter), self._usual_cost())
        else:
            charge = self.queue.serve(waiter)
            self._tell_held(waiter, charge)
        self._drain.note_left(now, len(self.queue))
        if waiter.expected is not None:
            self.record.note_served(waiter.expected.seconds, now - waiter.patience.came)
        return charge

    def settle(self, charge: Charge, held_seconds: float) -> None:
        """A statement held its slot for so long; what comes on its connection is charged anew."""
        most = MOST_COST_RATIO * self._usual_cost()
        self.queue.settle(charge, min(held_seconds, most))
        charge.cost = 0.0

    def _usual_cost(self) -> float:
        return max(self.rates.slot_seconds, LEAST_COST_SECONDS)

    def _tell_held(self, served: Waiter, charge: Charge) -> None:
        now = self._clock()
        if now < self._told_held_at + HELD_LINE_SECONDS:
            return
        longest = self.queue.longest_line(charge)
        if longest is None:
            return
        first, waiting = longest
        if waiting < LEAST_HELD or first.patience.arrived >= served.patience.arrived:
            return
        self._told_held_at = now
        waited = now - first.patience.came
        self.held_to_share(HeldToShare(first.caller, waiting, waited, served.caller))

    def note_room(self) -> None:
        """Nobody waits, and there may be room."""
        self._drain.note_empty()
        capacity = self._capacity()
        free = min(capacity.places - capacity.running, capacity.connections - capacity.lent)
        self.record.note_free(self._clock(), max(free, 0))

    def _expected(self, waiter: Waiter) -> ExpectedWait | None:
        ahead = self.queue.ahead(waiter)
        if ahead is None or waiter.demand is Demand.OWN:
            return None
        now = self._clock()
        expected = self._behind(ahead, now)
        if expected is None or waiter.patience.standing(now) is Standing.IN_TIME:
            return expected
        # A late one is passed over until it regains its place, and waits from there.
        passed = max(waiter.patience.regains_at - now, 0.0)
        regained = self._behind(self.queue.before(waiter, waiter.pressed_rank), now)
        if regained is None:
            return expected
        seconds = min(expected.seconds, passed + regained.seconds)
        return ExpectedWait(seconds, regained.age_seconds)

    def _behind(self, ahead: int, now: float) -> ExpectedWait | None:
        measured = self._drain.expected_wait(ahead, now)
        if measured is not None:
            return measured
        capacity = self._capacity()
        return self.rates.expected_wait(
            ahead,
            capacity.running,
            capacity.places,
            capacity.lent,
            capacity.connections,
            capacity.is_opening,
            now,
        )
