"""Which databases probably lack a log position: predicted from the positions of their answers.

A statement under a floor that a replica lacks is refused there and has to go elsewhere, often to
another region. Each answer carries the position of its database; what the primary had proven by
then tells how far behind that is. A prediction that is wrong costs a detour, never a stale answer.
"""

import msgspec

from dewledge.core.pooling.freshness import FreshnessHistory
from dewledge.core.positions import LogPosition

EASE = 0.2
"""Share by which an estimate comes down with each smaller observation; it goes up at once."""
TRY_AGAIN_SECONDS = 1.0
"""A database that has not been heard of for so long gets one statement to see."""


class LagEstimate(msgspec.Struct):
    """seconds: how far behind a database was seen to be. observed_at: steady clock, seconds."""

    seconds: float
    observed_at: float


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
            self._estimates[database_id] = LagEstimate(seen, now)
            return
        estimate.observed_at = now
        if seen > estimate.seconds:
            estimate.seconds = seen
        else:
            estimate.seconds += EASE * (seen - estimate.seconds)

    def lacks(self, database_id: str, floor: LogPosition, now: float) -> bool:
        """Tells whether a database probably lacks `floor`; never of one that is not known."""
        estimate = self._estimates.get(database_id)
        if estimate is None:
            return False
        if now > estimate.observed_at + TRY_AGAIN_SECONDS:
            estimate.observed_at = now
            return False
        since = self._history.first_reaching(floor)
        age = 0.0 if since is None else now - since
        return age < estimate.seconds
