"""Tells when fair shares have a caller of one pool wait behind others (`CallerHeldToShare`)."""

import math
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.load.wait_queue import Charge, WaitQueue
from dewledge.core.pooler.pool.waiter import Waiter

LEAST_HELD = 2
"""Statements; of a caller that is held to its share so many wait at least: one alone is no
backlog."""
TELL_SPACING_SECONDS = 1.0
"""Seconds; callers that are held to their shares are told of no more often, so that a busy pool
writes one line a second."""


class HeldToShare(msgspec.Struct, frozen=True):
    """A statement was served before earlier ones of a caller above its share.

    waiting: how many of that caller wait, the first of them for `waited_seconds`. served: the
    caller whose statement went first.
    """

    caller: str
    waiting: int
    waited_seconds: float
    served: str


class HeldToShareWatch:
    """Looks at each statement that is served from one queue."""

    def __init__(self, queue: WaitQueue[Waiter]) -> None:
        self._queue = queue
        self._told: Callable[[HeldToShare], None] = lambda held: None
        self._told_at = -math.inf

    def on_held(self, told: Callable[[HeldToShare], None]) -> None:
        """`told` is called when a caller is held to its share, once a second at most."""
        self._told = told

    def note_served(self, served: Waiter, charge: Charge, now: float) -> None:
        """A statement was served from the queue for a charge."""
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
