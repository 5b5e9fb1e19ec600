"""The steady clock and its timers, as the pooling part needs them."""

from collections.abc import Callable
from typing import Protocol


class ScheduledCall(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Keeps it from happening."""


class Scheduler(Protocol):
    """The steady clock and its timers, in seconds."""

    def now(self) -> float:
        """Returns the steady clock."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> ScheduledCall:
        """Calls `callback` after `delay`."""
