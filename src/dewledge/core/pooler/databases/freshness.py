"""Records which log position covered all commits at which time, for reads of bounded staleness.

An answer of a database that proved to be the primary covers every commit acknowledged before the
statement was *sent*. The pair (time of sending, position of the answer), called a proof, therefore
never becomes invalid. A read whose staleness may be N seconds can use any proof that was sent at
most N seconds before the read arrived. Only the steady clock of this process is used, so a pause of
the process can't make a proof wrong.
"""

from collections import deque

import msgspec

from dewledge.core.shared.positions import LogPosition

MIN_PROOF_INTERVAL_SECONDS = 0.05
"""Minimum time between two retained proofs. Bounds the history to about 200 entries, and is the
resolution of estimated lags."""
RETENTION_SECONDS = 10.0
"""Seconds for which proofs are retained, to bound memory. Reads with a larger staleness bound use a
proof within this time."""


class ProvenPosition(msgspec.Struct, frozen=True):
    """A position that covers every commit acknowledged before `sent_at` (steady clock, seconds)."""

    sent_at: float
    position: LogPosition


class FreshnessHistory:
    """Holds the proven positions of a group, oldest first."""

    def __init__(self) -> None:
        self._proofs: deque[ProvenPosition] = deque()

    @property
    def newest(self) -> ProvenPosition | None:
        """The proof with the latest `sent_at`."""
        return self._proofs[-1] if self._proofs else None

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Adds a proof unless the newest proof is too recent or of a later term.

        Too recent: `sent_at` is less than `MIN_PROOF_INTERVAL_SECONDS` after it.
        """
        newest = self.newest
        if newest is not None and sent_at < newest.sent_at + MIN_PROOF_INTERVAL_SECONDS:
            return
        if newest is not None and position.term < newest.position.term:
            return
        self._proofs.append(ProvenPosition(sent_at, position))
        while self._proofs[0].sent_at < sent_at - RETENTION_SECONDS:
            self._proofs.popleft()

    def first_above(self, position: LogPosition) -> float | None:
        """Returns `sent_at` of the oldest proof above `position`, None if there is none."""
        return next((proof.sent_at for proof in self._proofs if proof.position > position), None)

    def first_reaching(self, position: LogPosition) -> float | None:
        """Returns `sent_at` of the oldest proof at or above `position`, None if there is none."""
        return next((proof.sent_at for proof in self._proofs if proof.position >= position), None)

    def floor(self, arrived_at: float, max_staleness: float) -> ProvenPosition | None:
        """Returns the oldest proof that satisfies a read's staleness bound, None if there is none.

        arrived_at: when the read arrived (steady clock, seconds). max_staleness: in seconds.
        """
        for proof in self._proofs:
            if proof.sent_at >= arrived_at - max_staleness:
                return proof
        return None
