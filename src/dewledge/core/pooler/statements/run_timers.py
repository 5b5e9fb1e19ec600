"""The timers of a statement, which are cancelled together when the statement ends."""

from collections.abc import Callable

from dewledge.core.pooler.scheduling import ScheduledCall, Scheduler


class RunTimers:
    """A time limit, a pause and a silence check; a new timer replaces one of the same kind."""

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._limit: ScheduledCall | None = None
        self._pause: ScheduledCall | None = None
        self._silence_check: ScheduledCall | None = None

    def set_limit(self, when: float, callback: Callable[[], None]) -> None:
        """Sets the time limit: calls `callback` at `when` (steady clock, seconds)."""
        self.clear_limit()
        delay = max(when - self._scheduler.now(), 0.0)
        self._limit = self._scheduler.call_later(delay, callback)

    def clear_limit(self) -> None:
        """Cancels the time limit."""
        if self._limit is not None:
            self._limit.cancel()
            self._limit = None

    def resume_after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after a pause of `seconds`."""
        if self._pause is not None:
            self._pause.cancel()
        self._pause = self._scheduler.call_later(seconds, callback)

    def check_silence_after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after `seconds` to check whether the database is silent."""
        self._clear_silence_check()
        self._silence_check = self._scheduler.call_later(seconds, callback)

    def clear(self) -> None:
        """Cancels all timers."""
        self.clear_limit()
        self._clear_silence_check()
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _clear_silence_check(self) -> None:
        if self._silence_check is not None:
            self._silence_check.cancel()
            self._silence_check = None
