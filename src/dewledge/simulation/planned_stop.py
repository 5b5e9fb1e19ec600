"""The planned stop of a simulated proxy: wait until it has finished, within a bound."""

from collections.abc import Callable

from dewledge.simulation.clock import EventQueue
from dewledge.simulation.history import History, StopRecord

CHECK_INTERVAL = 0.05

STOP_BOUND = 15.0
"""Seconds after which a proxy that leaves ends, whatever it still has."""


class PlannedStop:
    """Ends a process once `may_end` says so, unless `is_over` says that it has ended by itself."""

    def __init__(
        self,
        proxy: str,
        queue: EventQueue,
        history: History,
        may_end: Callable[[], bool],
        is_over: Callable[[], bool],
        end: Callable[[], None],
    ) -> None:
        self._proxy = proxy
        self._queue = queue
        self._history = history
        self._may_end = may_end
        self._is_over = is_over
        self._end = end
        self._announced_at = queue.now

    def check(self) -> None:
        """Looks now, and again until the process has ended."""
        if self._is_over():
            return
        late = self._queue.now > self._announced_at + STOP_BOUND
        if not late and not self._may_end():
            self._queue.call_after(CHECK_INTERVAL, self.check)
            return
        record = StopRecord(self._proxy, self._announced_at, self._queue.now)
        self._history.stops.append(record)
        self._end()
