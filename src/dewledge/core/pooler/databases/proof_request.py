"""Coordinates the reads of a group that need a proven log position when none is recent enough.

A read without a floor (the minimum position that a replica must show) has to go to the primary, and
its answer is a floor for later reads. One read goes there while concurrent reads wait for its
answer, so that the primary is not flooded.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_view import LONG_AGO
from dewledge.core.shared.positions import LogPosition

PROOF_REQUEST_TIMEOUT_SECONDS = 0.1
"""Seconds for which other reads wait for a read that was sent to the primary to obtain a floor;
afterwards another read may be sent. Longer than a round trip between regions."""


class ProofRequest:
    """Lets one read of a group at a time obtain a floor. Times: steady clock, seconds."""

    def __init__(self, history: FreshnessHistory, clock: Callable[[], float]) -> None:
        self._history = history
        self._clock = clock
        self._requested_at = LONG_AGO
        self._waiters: list[Callable[[], None]] = []

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Records that `position` covers commits acknowledged before `sent_at`; wakes reads."""
        self._history.record(sent_at, position)
        self._wake()

    def may_begin(self) -> bool:
        """Tells whether a read without a floor should go to the primary to obtain one.

        False while another read is doing so, because its answer serves both.
        """
        return self._clock() >= self._requested_at + PROOF_REQUEST_TIMEOUT_SECONDS

    def begin(self) -> None:
        """Records that a read was sent to the primary to obtain a floor."""
        self._requested_at = self._clock()

    def end(self) -> None:
        """Records that the read recorded by `begin` ended; wakes the reads that wait for it."""
        self._requested_at = LONG_AGO
        self._wake()

    def wait(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when a proof arrives or the read that requested one has ended."""
        self._waiters.append(callback)

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for callback in waiters:
            callback()
