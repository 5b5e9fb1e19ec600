"""Predicts which databases have not yet applied a log position.

A replica refuses a statement whose floor it has not reached, and the statement has to go to another
database, often in another region. The lag is estimated by comparing the position in a replica's
answer with the positions proven by the primary. A wrong prediction costs such a detour, never a
stale answer.
"""

import msgspec

from dewledge.core.pooler.databases.freshness import MIN_PROOF_INTERVAL_SECONDS, FreshnessHistory
from dewledge.core.shared.positions import LogPosition

SPAN_SECONDS = 0.5
"""Seconds of a span; the estimate is the largest lag observed in the current and previous span.
Long enough to hold some answers of a replica in use, and short enough that a lag that has ended is
soon forgotten."""
MAX_ESTIMATE_AGE_SECONDS = 1.0
"""Seconds without an answer after which a lagging database gets one statement to refresh its
estimate. Bounds the cost of a long lag to one detour per second and process."""


class LagEstimate(msgspec.Struct):
    """The observed lag of a database, in seconds. Times: steady clock.

    span_began_at: start of the current span. largest_in_span, largest_before: largest lag in the
    current and in the previous span. heard_at: when it last answered or was sent a statement.
    """

    span_began_at: float
    largest_in_span: float
    largest_before: float
    heard_at: float

    @property
    def seconds(self) -> float:
        """The estimated lag: the largest one of both spans."""
        return max(self.largest_in_span, self.largest_before)

    def record(self, lag: float, now: float) -> None:
        """Records the lag observed in an answer."""
        elapsed = now - self.span_began_at
        if elapsed >= SPAN_SECONDS:
            # Lags older than two spans are discarded.
            self.largest_before = self.largest_in_span if elapsed < 2 * SPAN_SECONDS else 0.0
            self.largest_in_span = 0.0
            self.span_began_at = now
        self.largest_in_span = max(self.largest_in_span, lag)
        self.heard_at = now


class ReplicaLags:
    """Holds the lag estimates of the databases of a group."""

    def __init__(self, history: FreshnessHistory) -> None:
        self._history = history
        self._estimates: dict[str, LagEstimate] = {}

    def observe(self, database_id: str, position: LogPosition, now: float) -> None:
        """Updates a database's estimate from the position in an answer that arrived at `now`."""
        lacking_since = self._history.first_above(position)
        lag = 0.0 if lacking_since is None else max(now - lacking_since, 0.0)
        estimate = self._estimates.get(database_id)
        if estimate is None:
            self._estimates[database_id] = LagEstimate(now, lag, 0.0, now)
        else:
            estimate.record(lag, now)

    def lacks(self, database_id: str, floor: LogPosition, now: float) -> bool:
        """Tells whether a database probably has not applied `floor`; False if lag is unknown."""
        return self.seconds_until_applied(database_id, floor, now) > 0.0

    def seconds_until_applied(self, database_id: str, floor: LogPosition, now: float) -> float:
        """Returns the seconds until a database has probably applied `floor`.

        0 if it may have applied it already, or if its estimate is missing or outdated.
        Otherwise includes `MIN_PROOF_INTERVAL_SECONDS`, the resolution of the recorded proofs.
        """
        estimate = self._estimates.get(database_id)
        if estimate is None or now > estimate.heard_at + MAX_ESTIMATE_AGE_SECONDS:
            return 0.0
        since = self._history.first_reaching(floor)
        age = 0.0 if since is None else now - since
        remaining = estimate.seconds - age
        return remaining + MIN_PROOF_INTERVAL_SECONDS if remaining > 0.0 else 0.0

    def record_sent(self, database_id: str, now: float) -> None:
        """Records that a statement was sent, so that no other refreshes the same stale estimate."""
        estimate = self._estimates.get(database_id)
        if estimate is not None:
            estimate.heard_at = max(estimate.heard_at, now)
