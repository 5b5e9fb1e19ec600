"""A timer with at most one pending call."""

from collections.abc import Callable

from dewledge.core.pooler.scheduling import ScheduledCall, Scheduler


class SingleTimer:
    """Schedules one call at a time; starting a new one cancels the pending one."""

    __slots__ = ("_call", "_scheduler")

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._call: ScheduledCall | None = None

    def start(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after `seconds` instead of the pending call, if any."""
        self.clear()
        self._call = self._scheduler.call_later(seconds, callback)

    def clear(self) -> None:
        """Cancels the pending call, if any."""
        if self._call is not None:
            self._call.cancel()
            self._call = None
