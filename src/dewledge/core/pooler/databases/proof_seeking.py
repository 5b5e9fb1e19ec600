"""How reads of one group get a proven position to rest on, where none is young enough.

A read without a floor has to go to the primary; its answer is then a floor for the reads after it.
So that not all reads of a moment go there, one does and the others wait for its answer.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_view import LONG_AGO
from dewledge.core.shared.positions import LogPosition

SEEK_AGAIN_SECONDS = 0.1
"""Seconds; a read that seeks a floor at the primary has others wait for its answer for so long,
then another may seek: more than a round trip between regions, little of a read's time."""


class ProofSeeking:
    """One group's; times of the steady clock, seconds."""

    def __init__(self, history: FreshnessHistory, clock: Callable[[], float]) -> None:
        self._history = history
        self._clock = clock
        self._seeking_since = LONG_AGO
        self._waiters: list[Callable[[], None]] = []

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Notes that every commit acknowledged before `sent_at` is within `position`."""
        self._history.record(sent_at, position)
        self._wake()

    def may_begin(self) -> bool:
        """Tells whether a read without a floor should go to the primary to get one.

        While another is on its way there, its answer will serve both.
        """
        return self._clock() >= self._seeking_since + SEEK_AGAIN_SECONDS

    def begin(self) -> None:
        """A read goes to the primary, and its answer will be a floor for others."""
        self._seeking_since = self._clock()

    def end(self) -> None:
        """That read has ended, with an answer or without."""
        self._seeking_since = LONG_AGO
        self._wake()

    def wait(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when a floor is known, or when one should be sought anew."""
        self._waiters.append(callback)

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for callback in waiters:
            callback()
