"""One call that is due later; a newer one takes its place."""

from collections.abc import Callable

from dewledge.core.pooler.scheduling import ScheduledCall, Scheduler


class SingleTimer:
    """At most one call is due at a time."""

    __slots__ = ("_call", "_scheduler")

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self._call: ScheduledCall | None = None

    def start(self, seconds: float, callback: Callable[[], None]) -> None:
        """Calls `callback` after `seconds`, and not what was due before."""
        self.clear()
        self._call = self._scheduler.call_later(seconds, callback)

    def clear(self) -> None:
        """Nothing is due any more."""
        if self._call is not None:
            self._call.cancel()
            self._call = None
