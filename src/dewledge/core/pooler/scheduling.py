"""Interface of the steady clock and its timers."""

from collections.abc import Callable
from typing import Protocol


class ScheduledCall(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancels the call."""


class Scheduler(Protocol):
    """The steady clock and its timers, in seconds."""

    def now(self) -> float:
        """Returns the time of the steady clock, in seconds."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> ScheduledCall:
        """Calls `callback` after `delay` seconds."""
