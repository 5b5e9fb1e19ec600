"""Which databases probably lack a log position: predicted from the positions of their answers.

A statement under a floor that a replica lacks is refused there and has to go elsewhere, often to
another region. Each answer carries the position of its database; what the primary had proven by
then tells how far behind that is. A prediction that is wrong costs a detour, never a stale answer.
"""

import msgspec

from dewledge.core.pooler.databases.freshness import MIN_SPACING_SECONDS, FreshnessHistory
from dewledge.core.shared.positions import LogPosition

SPAN_SECONDS = 0.5
"""Seconds; the estimate is the largest lag seen in this span and the one before it."""
TRY_AGAIN_SECONDS = 1.0
"""Seconds; a database that has not been heard of for so long gets one statement to see: in a lag of
many seconds that is one detour a second for each process."""


class LagEstimate(msgspec.Struct):
    """How far behind one database was seen to be, lags in seconds, times of the steady clock.

    span_began_at, largest_in_span: of the span at hand. largest_before: in the span before it.
    heard_at: when it last answered, or was last given a statement to see.
    """

    span_began_at: float
    largest_in_span: float
    largest_before: float
    heard_at: float

    @property
    def seconds(self) -> float:
        """The lag to reckon with."""
        return max(self.largest_in_span, self.largest_before)

    def take(self, seen: float, now: float) -> None:
        """Takes the lag that an answer showed."""
        elapsed = now - self.span_began_at
        if elapsed >= SPAN_SECONDS:
            # What is older than two spans says nothing of now.
            self.largest_before = self.largest_in_span if elapsed < 2 * SPAN_SECONDS else 0.0
            self.largest_in_span = 0.0
            self.span_began_at = now
        self.largest_in_span = max(self.largest_in_span, seen)
        self.heard_at = now


class ReplicaLags:
    """The estimates of one group."""

    def __init__(self, history: FreshnessHistory) -> None:
        self._history = history
        self._estimates: dict[str, LagEstimate] = {}

    def observe(self, database_id: str, position: LogPosition, now: float) -> None:
        """Takes the position in an answer that came at `now`."""
        lacking_since = self._history.first_above(position)
        seen = 0.0 if lacking_since is None else max(now - lacking_since, 0.0)
        estimate = self._estimates.get(database_id)
        if estimate is None:
            self._estimates[database_id] = LagEstimate(now, seen, 0.0, now)
        else:
            estimate.take(seen, now)

    def lacks(self, database_id: str, floor: LogPosition, now: float) -> bool:
        """Tells whether a database probably lacks `floor`; never of one not heard of lately."""
        return self.wait_for(database_id, floor, now) > 0.0

    def wait_for(self, database_id: str, floor: LogPosition, now: float) -> float:
        """Returns the seconds until a database probably has `floor`; 0 if it may have it now.

        Proofs are noted `MIN_SPACING_SECONDS` apart, so a lag is known no better than that.
        """
        estimate = self._estimates.get(database_id)
        if estimate is None or now > estimate.heard_at + TRY_AGAIN_SECONDS:
            return 0.0
        since = self._history.first_reaching(floor)
        age = 0.0 if since is None else now - since
        remaining = estimate.seconds - age
        return remaining + MIN_SPACING_SECONDS if remaining > 0.0 else 0.0

    def note_tried(self, database_id: str, now: float) -> None:
        """A statement goes to a database: others need not try it before it has answered."""
        estimate = self._estimates.get(database_id)
        if estimate is not None:
            estimate.heard_at = max(estimate.heard_at, now)
