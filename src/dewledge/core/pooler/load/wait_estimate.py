"""How long a statement waits in the queue before one database.

Inputs, times of the steady clock in seconds: how many come before it; while the queue drains, the
time between two that leave it, not older than `FRESH_SECONDS`; else the usual time of statements,
connections and openings (running means of this process's own measurements, whose age is told with
the estimate) and what the pool has to give now.

Decision: the measured drain if there is one, else the reckoned wait, else nothing is known and
nobody is refused by it. Reason: the drain holds all that a slot's time and the number of slots do
not tell, namely slots that other processes use, tries without one, connections that are opened
first; but it is known only while some wait.

Who is refused by the estimate is decided in `wait_deadlines`, when it may come back in
`return_moments`.
"""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.shared.service_rate import ServiceRate

DRAIN_SMOOTHING = 0.15
"""Ratio; share of each measured interval between two that leave the queue: half of the mean is of
the last four or five, so that a queue that stands still is known as such within some times the work
of a statement."""
FRESH_SECONDS = 1.0
"""Seconds; what was measured longer ago says nothing of a queue that stands now."""
TIME_SMOOTHING = 0.1
"""Ratio; share of each measured time of a statement, connection or opening: half of the mean is of
the last seven, a fraction of a second of a busy database, so that one that turns slow or fast is
soon known as such."""
FIRST_SERVICE_SECONDS = 0.01
"""Seconds; told as the usual time of a statement until one was measured. Nobody is refused by
it."""
_UNMEASURED = ServiceRate(FIRST_SERVICE_SECONDS, TIME_SMOOTHING)
"""Never noted to: what is told until a time was measured."""


class ExpectedWait(msgspec.Struct, frozen=True):
    """seconds: until a slot is free for the statement. age_seconds: of the measurement or report on
    which it rests; 0 for the process's own count.
    """

    seconds: float
    age_seconds: float = 0.0


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


class DrainRate:
    """The measured time between two that leave a queue while others wait."""

    def __init__(self) -> None:
        self._interval: float | None = None
        self._left_at = -math.inf
        self._is_backlog = False

    def note_left(self, now: float, waiting: int) -> None:
        """One left the queue for a slot; so many wait still."""
        if self._is_backlog:
            interval = now - self._left_at
            known = interval if self._interval is None else self._interval
            self._interval = known + DRAIN_SMOOTHING * (interval - known)
        self._left_at = now
        self._is_backlog = waiting > 0

    def note_empty(self) -> None:
        """Nobody waits: the time until the next one leaves measures nothing."""
        self._is_backlog = False

    def expected_wait(self, ahead: int, now: float) -> ExpectedWait | None:
        """Returns the wait behind `ahead` others; None where nothing was measured lately."""
        age = now - self._left_at
        if self._interval is None or not self._is_backlog or age > FRESH_SECONDS:
            return None
        return ExpectedWait(max((ahead + 1) * self._interval - age, 0.0), age)


class SlotRates:
    """Running means of one pool; nothing is known until something was measured."""

    def __init__(self) -> None:
        self._slot: ServiceRate | None = None
        self._lent: ServiceRate | None = None
        self._opening: ServiceRate | None = None
        self._measured_at = 0.0

    @property
    def service(self) -> ServiceRate:
        """How long a statement usually holds a slot, as it is told."""
        return self._slot or _UNMEASURED

    @property
    def slot_seconds(self) -> float:
        """Usual seconds that a statement holds a slot; 0 until one was measured."""
        return 0.0 if self._slot is None else self._slot.service_time

    def note_slot(self, seconds: float, now: float) -> None:
        """A statement held a slot for so long."""
        self._measured_at = now
        self._slot = _noted(self._slot, seconds)

    def note_lent(self, seconds: float) -> None:
        """A connection came back after so long."""
        self._lent = _noted(self._lent, seconds)

    def note_opening(self, seconds: float) -> None:
        """A connection was opened within so long."""
        self._opening = _noted(self._opening, seconds)

    def spacing(self, places: int) -> float:
        """Returns the seconds in which the queue serves one."""
        return self.slot_seconds / max(places, 1)

    def expected_wait(self, ahead: int, capacity: Capacity, now: float) -> ExpectedWait | None:
        """Returns the wait of a statement behind `ahead` others; None where nothing was measured.

        The longest of three: until a slot is free, until a connection is, until one is opened.
        """
        if self._slot is None:
            return None
        slots = _turns(ahead, capacity.running, capacity.places)
        seconds = slots * self._slot.service_time
        if self._lent is not None:
            connections = _turns(ahead, capacity.lent, capacity.connections)
            seconds = max(seconds, connections * self._lent.service_time)
        if capacity.is_opening and self._opening is not None:
            seconds = max(seconds, self._opening.service_time)
        return ExpectedWait(seconds, now - self._measured_at)


class WaitEstimate:
    """The wait in one queue: measured while it drains, else reckoned."""

    def __init__(self, capacity: Callable[[], Capacity]) -> None:
        """`capacity`: called where the wait has to be reckoned."""
        self._capacity = capacity
        self.rates = SlotRates()
        self.drain = DrainRate()

    def behind(self, ahead: int, now: float) -> ExpectedWait | None:
        """Returns the wait behind `ahead` others, None where nothing is known."""
        measured = self.drain.expected_wait(ahead, now)
        if measured is not None:
            return measured
        return self.rates.expected_wait(ahead, self._capacity(), now)


def _turns(ahead: int, taken: int, places: int) -> float:
    """Returns how many service times pass until `ahead` others and one more have begun."""
    beyond = ahead + taken + 1 - places
    return max(beyond, 0) / max(places, 1)


def _noted(rate: ServiceRate | None, seconds: float) -> ServiceRate:
    if rate is None:
        return ServiceRate(seconds, TIME_SMOOTHING)
    rate.note(seconds)
    return rate
