"""Which share of statements a database has failed lately, by what its answers to this process show.

Inputs: the outcome of each statement sent there, with the seconds until it showed, and the steady
clock in seconds; a failure counts half after `HALF_LIFE_SECONDS`.
Decision: the seconds that a failure there is expected to cost a read (`detour`): the odds of
failing times what one failure costs. What follows: reads prefer other databases (`load/choice`),
for as long as the share is not forgotten. Reason: a database may report a short queue and fail what
it is given.

This judgement refuses nobody, tests no address and writes no log line; it weighs only in the order
of databases for reads. The others: `databases/answer_watch`, `databases/database_silence`.
"""

import msgspec

SMOOTHING = 0.2
"""Ratio; share of each outcome: some five statements show what a database does now."""
HALF_LIFE_SECONDS = 2.0
"""Seconds; a failure counts half after so long, so that the database soon gets one statement to
show that it is well; longer than the retries of one statement last."""
DETOUR_SECONDS = 0.05
"""Seconds that one failure costs beside the time until it shows: a pause of 30 ms, and another
round trip."""
MOST_SHARE = 0.9
"""Ratio; share of failures that is reckoned with at most: keeps the odds finite, nine to one."""
MOST_DATABASES = 64
"""Databases of one group that are remembered. Bounds memory."""


class _Shown(msgspec.Struct):
    share: float
    noted_at: float
    lost_seconds: float = 0.0

    def at(self, now: float) -> float:
        return float(self.share * 0.5 ** (max(now - self.noted_at, 0.0) / HALF_LIFE_SECONDS))


class ShownFailures:
    """The databases of one group, by what their answers to this process show. Bounded in size."""

    def __init__(self) -> None:
        self._shown: dict[str, _Shown] = {}

    def __len__(self) -> int:
        return len(self._shown)

    def note(self, database_id: str, has_failed: bool, now: float, seconds: float = 0.0) -> None:
        """Takes one outcome, `seconds` after the statement was sent. `now`: steady clock."""
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
        """Returns the seconds that failures there are expected to cost a statement."""
        shown = self._shown.get(database_id)
        if shown is None:
            return 0.0
        share = min(shown.at(now), MOST_SHARE)
        return (DETOUR_SECONDS + shown.lost_seconds) * share / (1.0 - share)
