"""Estimates how long a statement waits in the queue for one database.

While the queue drains, the estimate is the smoothed interval between departures times the number of
statements ahead. It reflects what the slot count cannot: slots used by other processes, refused
attempts, connections that are opened first. Otherwise the wait is computed from the usual times of
statements, loans and openings, and from the current capacity of the pool. Without samples there is
no estimate, and no statement is refused by it.

`wait_deadlines` decides which statements are refused by the estimate.
"""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.shared.service_rate import ServiceRate

DRAIN_SMOOTHING_RATIO = 0.15
"""Weight of each departure interval in the moving average, low enough to smooth single statements
and high enough to notice a stalled queue soon."""
MAX_DRAIN_AGE_SECONDS = 1.0
"""Maximum age of the last departure for the drain rate to describe the current queue."""
TIME_SMOOTHING_RATIO = 0.1
"""Weight of each sample in the moving averages of service, loan and opening times: a busy database
that becomes slow or fast is noticed in a fraction of a second."""
DEFAULT_SERVICE_SECONDS = 0.01
"""Default for the reported service time. No statement is refused by it."""
_DEFAULT_RATE = ServiceRate(DEFAULT_SERVICE_SECONDS, TIME_SMOOTHING_RATIO)
"""Reported until there is a sample; it must not be updated."""


class ExpectedWait(msgspec.Struct, frozen=True):
    """An expected wait for a slot.

    Attributes:
        seconds: Time until a slot is free for the statement.
        age_seconds: Age of the sample or report on which the estimate rests; 0 for the process's
            own count.
    """

    seconds: float
    age_seconds: float = 0.0


class Capacity(msgspec.Struct, frozen=True):
    """The current capacity of a pool.

    Attributes:
        running: Statements at the database.
        places: Statements that may be at the database.
        lent: Connections in use.
        connections: Limit of connections.
        is_opening: Whether a waiting statement needs a connection to be opened first.
    """

    running: int
    places: int
    lent: int
    connections: int
    is_opening: bool


class DrainRate:
    """The smoothed interval between departures from a queue while others wait."""

    def __init__(self) -> None:
        self._interval: float | None = None
        self._departed_at = -math.inf
        self._has_backlog = False

    def record_departure(self, now: float, waiting: int) -> None:
        """Records that a statement left the queue for a slot, with `waiting` others behind it."""
        if self._has_backlog:
            interval = now - self._departed_at
            average = interval if self._interval is None else self._interval
            self._interval = average + DRAIN_SMOOTHING_RATIO * (interval - average)
        self._departed_at = now
        self._has_backlog = waiting > 0

    def record_empty(self) -> None:
        """Records that the queue is empty: the time until the next departure is not a sample."""
        self._has_backlog = False

    def expected_wait(self, ahead: int, now: float) -> ExpectedWait | None:
        """Returns the wait behind `ahead` others, None without a recent sample."""
        age = now - self._departed_at
        if self._interval is None or not self._has_backlog or age > MAX_DRAIN_AGE_SECONDS:
            return None
        return ExpectedWait(max((ahead + 1) * self._interval - age, 0.0), age)


class SlotRates:
    """Moving averages of the times of a pool; None until there are samples."""

    def __init__(self) -> None:
        self._slot: ServiceRate | None = None
        self._loan: ServiceRate | None = None
        self._opening: ServiceRate | None = None
        self._measured_at = 0.0

    @property
    def service(self) -> ServiceRate:
        """The usual time for which a statement holds a slot, with a default for reports."""
        return self._slot or _DEFAULT_RATE

    @property
    def slot_seconds(self) -> float:
        """The usual time for which a statement holds a slot, 0 until there is a sample."""
        return 0.0 if self._slot is None else self._slot.service_time

    def record_slot_time(self, seconds: float, now: float) -> None:
        """Records for how many seconds a statement held a slot."""
        self._measured_at = now
        self._slot = _updated(self._slot, seconds)

    def record_loan_time(self, seconds: float) -> None:
        """Records for how many seconds a connection was on loan."""
        self._loan = _updated(self._loan, seconds)

    def record_opening_time(self, seconds: float) -> None:
        """Records in how many seconds a connection was opened."""
        self._opening = _updated(self._opening, seconds)

    def service_interval(self, places: int) -> float:
        """Returns the average interval in which the queue serves one statement."""
        return self.slot_seconds / max(places, 1)

    def expected_wait(self, ahead: int, capacity: Capacity, now: float) -> ExpectedWait | None:
        """Returns the wait behind `ahead` others, None until there is a sample of the service time.

        The wait is the longest of the times until a slot is free, until a connection is free, and
        until a connection is opened.
        """
        if self._slot is None:
            return None
        slots = _service_rounds(ahead, capacity.running, capacity.places)
        seconds = slots * self._slot.service_time
        if self._loan is not None:
            connections = _service_rounds(ahead, capacity.lent, capacity.connections)
            seconds = max(seconds, connections * self._loan.service_time)
        if capacity.is_opening and self._opening is not None:
            seconds = max(seconds, self._opening.service_time)
        return ExpectedWait(seconds, now - self._measured_at)


class WaitEstimate:
    """The expected wait in a queue: by its drain rate while it drains, otherwise by usual times."""

    def __init__(self, capacity: Callable[[], Capacity]) -> None:
        """Starts without samples. `capacity` returns the current capacity of the pool."""
        self._capacity = capacity
        self.rates = SlotRates()
        self.drain = DrainRate()

    def expected_wait(self, ahead: int, now: float) -> ExpectedWait | None:
        """Returns the expected wait behind `ahead` others, None without samples."""
        measured = self.drain.expected_wait(ahead, now)
        if measured is not None:
            return measured
        return self.rates.expected_wait(ahead, self._capacity(), now)


def _service_rounds(ahead: int, in_use: int, places: int) -> float:
    """Returns after how many service times `ahead` others and one more have started."""
    beyond = ahead + in_use + 1 - places
    return max(beyond, 0) / max(places, 1)


def _updated(rate: ServiceRate | None, seconds: float) -> ServiceRate:
    if rate is None:
        return ServiceRate(seconds, TIME_SMOOTHING_RATIO)
    rate.note(seconds)
    return rate
