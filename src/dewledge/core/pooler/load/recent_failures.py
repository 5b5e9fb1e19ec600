"""Estimates what recent failures of a database cost a read that is sent to it.

Each outcome of a statement updates an exponential average of the failure ratio, which decays with
`HALF_LIFE_SECONDS`. The expected cost is the odds of a failure times the cost of one failure. Reads
prefer other databases accordingly (`load/database_order`): a database that fails statements may
still report a short queue.

The estimate affects only the order of databases for reads. It refuses no statement, triggers no
health check and is not logged. Whether a database answers at all is judged by
`databases/answer_watch` and `databases/database_silence`.
"""

import msgspec

FAILURE_SMOOTHING_RATIO = 0.2
"""Weight of each outcome in the average: about five statements determine it."""
HALF_LIFE_SECONDS = 2.0
"""Half-life of the failure ratio. Longer than the retries of one statement, and short enough that
the database soon gets another statement."""
FAILURE_COST_SECONDS = 0.05
"""Cost of a failure beyond the time until it is detected: a retry pause of 30 ms and another round
trip."""
MAX_FAILURE_RATIO = 0.9
"""Upper bound of the failure ratio, which limits the odds to nine to one."""
MAX_DATABASES = 64
"""Databases of a group that are tracked; bounds memory."""


class _FailureRecord(msgspec.Struct):
    """The failure ratio of a database, and the average time until a failure was detected."""

    share: float
    noted_at: float
    lost_seconds: float = 0.0

    def ratio_at(self, now: float) -> float:
        """Returns the failure ratio, decayed until `now`."""
        return float(self.share * 0.5 ** (max(now - self.noted_at, 0.0) / HALF_LIFE_SECONDS))


class RecentFailures:
    """Recent failures of the databases of a group, bounded in size."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def record(self, database_id: str, has_failed: bool, now: float, seconds: float = 0.0) -> None:
        """Records an outcome at `now` (steady clock, seconds), `seconds` after the statement was
        sent."""
        failures = self._records.get(database_id)
        if failures is None:
            if not has_failed:
                return
            if len(self._records) >= MAX_DATABASES:
                del self._records[next(iter(self._records))]
            failures = self._records[database_id] = _FailureRecord(0.0, now)
        ratio = failures.ratio_at(now)
        failures.share = ratio + FAILURE_SMOOTHING_RATIO * (float(has_failed) - ratio)
        failures.noted_at = now
        if has_failed:
            failures.lost_seconds += FAILURE_SMOOTHING_RATIO * (seconds - failures.lost_seconds)

    def expected_cost(self, database_id: str, now: float) -> float:
        """Returns the expected cost of failures at a database, in seconds for each statement."""
        failures = self._records.get(database_id)
        if failures is None:
            return 0.0
        ratio = min(failures.ratio_at(now), MAX_FAILURE_RATIO)
        return (FAILURE_COST_SECONDS + failures.lost_seconds) * ratio / (1.0 - ratio)
