"""Which log position was surely the newest at a moment: what bounded staleness rests on.

An answer of a database that proved to be the primary when it answered holds every commit
acknowledged before the statement was *sent*. So a pair (time of sending, position of the answer)
stays true for good; a read that may be `bound` old needs any pair younger than that. No clock but
the process's own steady one is used, and a process that stood still keeps only true pairs.
"""

from collections import deque

import msgspec

from dewledge.core.shared.positions import LogPosition

MIN_SPACING_SECONDS = 0.05
"""Seconds between two proofs that are kept: bounds the history to some 200, at the price that a lag
is known no better than this."""
KEEP_SECONDS = 10.0
"""Seconds; older proofs are dropped, which bounds the memory. A read that may be older than this
rests on a younger proof."""


class ProvenPosition(msgspec.Struct, frozen=True):
    """Every commit acknowledged before `sent_at` (steady clock, seconds) is within `position`."""

    sent_at: float
    position: LogPosition


class FreshnessHistory:
    """The proven positions of one group, oldest first."""

    def __init__(self) -> None:
        self._proofs: deque[ProvenPosition] = deque()

    @property
    def newest(self) -> ProvenPosition | None:
        """The proof of the latest sending."""
        return self._proofs[-1] if self._proofs else None

    def record(self, sent_at: float, position: LogPosition) -> None:
        """Notes a proof. Answers may come out of order; the later sending counts."""
        newest = self.newest
        if newest is not None and sent_at < newest.sent_at + MIN_SPACING_SECONDS:
            return
        if newest is not None and position.term < newest.position.term:
            return
        self._proofs.append(ProvenPosition(sent_at, position))
        while self._proofs[0].sent_at < sent_at - KEEP_SECONDS:
            self._proofs.popleft()

    def first_above(self, position: LogPosition) -> float | None:
        """Returns the time of the oldest proof above `position`, None if none is above it."""
        return next((proof.sent_at for proof in self._proofs if proof.position > position), None)

    def first_reaching(self, position: LogPosition) -> float | None:
        """Returns the time of the oldest proof that holds `position`, None if none does."""
        return next((proof.sent_at for proof in self._proofs if proof.position >= position), None)

    def floor(self, arrived: float, bound: float) -> ProvenPosition | None:
        """Returns the oldest proof that a read arrived at `arrived` may rest on, or None."""
        for proof in self._proofs:
            if proof.sent_at >= arrived - bound:
                return proof
        return None
