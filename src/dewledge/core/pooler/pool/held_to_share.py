"""Reports when a caller over its fair share of a pool waits behind others (`CallerHeldToShare`)."""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.load.wait_queue import Charge, WaitQueue
from dewledge.core.pooler.pool.waiter import Waiter

LEAST_HELD = 2
"""Statements of a caller that must be waiting for a report; a single one is no backlog."""
TELL_SPACING_SECONDS = 1.0
"""Minimum interval between two reports, which limits a busy pool to one log line a second."""


class HeldToShare(msgspec.Struct, frozen=True):
    """A statement was served before earlier ones of a caller over its fair share.

    Attributes:
        caller: The caller over its fair share.
        waiting: The number of its waiting statements.
        waited_seconds: How long the first of them has waited.
        served: The caller whose statement was served.
    """

    caller: str
    waiting: int
    waited_seconds: float
    served: str


class HeldToShareWatch:
    """Checks each statement served from a queue."""

    def __init__(self, queue: WaitQueue[Waiter]) -> None:
        self._queue = queue
        self._told: Callable[[HeldToShare], None] = lambda held: None
        self._told_at = -math.inf

    def on_held(self, told: Callable[[HeldToShare], None]) -> None:
        """Sets the callback for reports, which is called at most once a second."""
        self._told = told

    def note_served(self, served: Waiter, charge: Charge, now: float) -> None:
        """Reports the longest flow that waits behind a served statement."""
        if now < self._told_at + TELL_SPACING_SECONDS:
            return
        longest = self._queue.longest_flow_behind(charge)
        if longest is None:
            return
        first, waiting = longest
        if waiting < LEAST_HELD or first.deadlines.arrived >= served.deadlines.arrived:
            return
        self._told_at = now
        waited = now - first.deadlines.came
        self._told(HeldToShare(first.caller, waiting, waited, served.caller))
