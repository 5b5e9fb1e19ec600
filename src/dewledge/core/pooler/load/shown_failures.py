"""Estimates what recent failures of a database cost a read that is sent to it.

Each outcome of a statement updates an exponential average of the failure ratio, which decays with
`HALF_LIFE_SECONDS`. The expected cost is the odds of a failure times the cost of one failure. Reads
prefer other databases accordingly (`load/choice`): a database that fails statements may still
report a short queue.

The estimate affects only the order of databases for reads. It refuses no statement, triggers no
health check and is not logged. Whether a database answers at all is judged by
`databases/answer_watch` and `databases/database_silence`.
"""

import msgspec

SMOOTHING = 0.2
"""Weight of each outcome in the average: about five statements determine it."""
HALF_LIFE_SECONDS = 2.0
"""Half-life of a failure. Longer than the retries of one statement, and short enough that the
database soon gets another statement."""
DETOUR_SECONDS = 0.05
"""Cost of a failure beyond the time until it is detected: a retry pause of 30 ms and another round
trip."""
MOST_SHARE = 0.9
"""Upper bound of the failure ratio, which limits the odds to nine to one."""
MOST_DATABASES = 64
"""Databases of a group that are tracked; bounds memory."""


class _Shown(msgspec.Struct):
    """The failure ratio of a database, and the average time until a failure was detected."""

    share: float
    noted_at: float
    lost_seconds: float = 0.0

    def at(self, now: float) -> float:
        """Returns the failure ratio, decayed until `now`."""
        return float(self.share * 0.5 ** (max(now - self.noted_at, 0.0) / HALF_LIFE_SECONDS))


class ShownFailures:
    """Recent failures of the databases of a group, bounded in size."""

    def __init__(self) -> None:
        self._shown: dict[str, _Shown] = {}

    def __len__(self) -> int:
        return len(self._shown)

    def note(self, database_id: str, has_failed: bool, now: float, seconds: float = 0.0) -> None:
        """Records an outcome, `seconds` after the statement was sent. `now`: steady clock in
        seconds."""
        shown = self._shown.get(database_id)
        if shown is None:
            if not has_failed:
                return
            if len(self._shown) >= MOST_DATABASES:
                del self._shown[next(iter(self._shown))]
            shown = self._shown[database_id] = _Shown(0.0, now)
        share = shown.at(now)
        shown.share = share + SMOOTHING * (float(has_failed) - share)
        shown.noted_at = now
        if has_failed:
            shown.lost_seconds += SMOOTHING * (seconds - shown.lost_seconds)

    def detour(self, database_id: str, now: float) -> float:
        """Returns the expected cost of failures at a database, in seconds for each statement."""
        shown = self._shown.get(database_id)
        if shown is None:
            return 0.0
        share = min(shown.at(now), MOST_SHARE)
        return (DETOUR_SECONDS + shown.lost_seconds) * share / (1.0 - share)
