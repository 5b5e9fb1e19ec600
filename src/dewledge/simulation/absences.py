"""Keeps when a proxy was absent: dead, frozen or cut off, whatever the reason and their order."""

from enum import StrEnum

from dewledge.simulation.clock import EventQueue
from dewledge.simulation.history import AbsenceRecord, History


class AbsenceReason(StrEnum):
    """Why a proxy cannot take part."""

    DEAD = "dead"
    FROZEN = "frozen"
    CUT_OFF = "cut off"


class AbsenceTracker:
    """Records one absence from the first reason that begins to the last one that ends."""

    def __init__(self, proxy: str, queue: EventQueue, history: History) -> None:
        self._proxy = proxy
        self._queue = queue
        self._history = history
        self._reasons: set[AbsenceReason] = set()
        self._since = 0.0

    def begin(self, reason: AbsenceReason) -> None:
        """Notes a reason; one that holds already changes nothing."""
        if not self._reasons:
            self._since = self._queue.now
        self._reasons.add(reason)

    def end(self, reason: AbsenceReason) -> None:
        """Notes that a reason no longer holds."""
        if reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if not self._reasons:
            self._record()

    def finish(self) -> None:
        """Records an absence that lasts until the end of the run."""
        if self._reasons:
            self._reasons.clear()
            self._record()

    def _record(self) -> None:
        record = AbsenceRecord(self._proxy, self._since, self._queue.now)
        self._history.absences.append(record)
