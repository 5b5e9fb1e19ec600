"""Reports when a caller over its fair share of a pool waits behind others (`CallerHeldToShare`)."""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.load.wait_queue import Charge, WaitQueue
from dewledge.core.pooler.pool.waiter import Waiter

MIN_WAITING = 2
"""Statements of a caller that must be waiting for a report; a single one is no backlog."""
MIN_REPORT_INTERVAL_SECONDS = 1.0
"""Minimum interval between two reports, which limits a busy pool to one log line a second."""


class OverFairShare(msgspec.Struct, frozen=True):
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


class FairShareWatch:
    """Checks whenever a statement is served if a caller over its fair share waits behind it."""

    def __init__(self, queue: WaitQueue[Waiter]) -> None:
        self._queue = queue
        self._callback: Callable[[OverFairShare], None] = lambda report: None
        self._reported_at = -math.inf

    def on_over_share(self, callback: Callable[[OverFairShare], None]) -> None:
        """Sets the callback for reports, which is called at most once a second."""
        self._callback = callback

    def check_served(self, served: Waiter, charge: Charge, now: float) -> None:
        """Reports the longest flow that waits behind a served statement, if it is a backlog."""
        if now < self._reported_at + MIN_REPORT_INTERVAL_SECONDS:
            return
        longest = self._queue.longest_flow_behind(charge)
        if longest is None:
            return
        first, waiting = longest
        if waiting < MIN_WAITING or first.deadlines.arrived >= served.deadlines.arrived:
            return
        self._reported_at = now
        waited = now - first.deadlines.came
        self._callback(OverFairShare(first.caller, waiting, waited, served.caller))
