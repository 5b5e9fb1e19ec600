"""How long statements, connections and openings of one pool usually take, and the wait from it."""

from dewledge.core.pooler.load.expected_wait import ExpectedWait
from dewledge.core.shared.service_rate import ServiceRate

SMOOTHING = 0.1
"""Of each measured time: half of the mean is of the last seven, a fraction of a second of a busy
database, so that one that turns slow or fast is soon known as such."""
FIRST_SERVICE_SECONDS = 0.01
"""Told as the usual time of a statement until one was measured; nobody is refused by it."""
_UNMEASURED = ServiceRate(FIRST_SERVICE_SECONDS, SMOOTHING)


class SlotRates:
    """Running means; nothing is known until something was measured."""

    def __init__(self) -> None:
        self.slot: ServiceRate | None = None
        self._lent: ServiceRate | None = None
        self._opening: ServiceRate | None = None
        self._measured_at = 0.0

    @property
    def service(self) -> ServiceRate:
        """How long a statement usually holds a slot, as it is told."""
        return self.slot or _UNMEASURED

    @property
    def slot_seconds(self) -> float:
        """Usual seconds that a statement holds a slot; 0 until one was measured."""
        return 0.0 if self.slot is None else self.slot.service_time

    def note_slot(self, seconds: float, now: float) -> None:
        """A statement held a slot for so long."""
        self._measured_at = now
        self.slot = _noted(self.slot, seconds)

    def note_lent(self, seconds: float) -> None:
        """A connection came back after so long."""
        self._lent = _noted(self._lent, seconds)

    def note_opening(self, seconds: float) -> None:
        """A connection was opened within so long."""
        self._opening = _noted(self._opening, seconds)

    def spacing(self, places: int) -> float:
        """Returns the seconds in which the queue serves one."""
        return self.slot_seconds / max(places, 1)

    def expected_wait(
        self,
        ahead: int,
        running: int,
        places: int,
        lent: int,
        connections: int,
        is_opening: bool,
        now: float,
    ) -> ExpectedWait | None:
        """Returns the wait of a statement behind `ahead` others; None where nothing was measured.

        running: statements at the database, of `places`. lent: connections in use, of
        `connections`. is_opening: whether it needs a connection that has to be opened first.
        """
        if self.slot is None:
            return None
        seconds = _turns(ahead, running, places) * self.slot.service_time
        if self._lent is not None:
            by_connection = _turns(ahead, lent, connections) * self._lent.service_time
            seconds = max(seconds, by_connection)
        if is_opening and self._opening is not None:
            seconds = max(seconds, self._opening.service_time)
        return ExpectedWait(seconds, now - self._measured_at)


def _turns(ahead: int, taken: int, places: int) -> float:
    """Returns how many service times pass until `ahead` others and one more have begun."""
    beyond = ahead + taken + 1 - places
    return max(beyond, 0) / max(places, 1)


def _noted(rate: ServiceRate | None, seconds: float) -> ServiceRate:
    if rate is None:
        return ServiceRate(seconds, SMOOTHING)
    rate.note(seconds)
    return rate
