"""Detects that a directly connected database has stopped answering (is silent).

A database is silent while a statement or an opening is outstanding and no answer of any kind has
arrived for `USUAL_TIME_FACTOR` usual statement times, between `MIN_SILENCE_SECONDS` and
`MAX_SILENCE_SECONDS`. Any answer, including a refusal, ends the silence, so a full or slow database
is not silent. The pool of a silent database denies statements as unreachable instead of queueing
them, apart from one probe per `PROBE_INTERVAL_SECONDS`, because its queue would not drain while
another database could serve them. Unlike in `answer_watch`, the address of the database is not
checked. Databases reached through holders are not judged here (see `load/holder_health`). Setting:
`[load] silent_databases`.
"""

import math
from collections.abc import Callable, Iterable

from dewledge.core.pooler.pool.database_connection import DatabaseConnection

MIN_SILENCE_SECONDS = 0.25
"""Seconds; lower bound of the time without an answer after which a database is silent. Covers
several round trips between regions plus the longest statements, as in `answer_watch`."""
USUAL_TIME_FACTOR = 3.0
"""Factor by which the usual time of a statement is multiplied to get that time."""
MAX_SILENCE_SECONDS = 0.6
"""Seconds; upper bound of that time, below the shortest usual statement timeout of 0.8 s."""
PROBE_INTERVAL_SECONDS = 0.25
"""Seconds between statements admitted to a silent database to detect its recovery."""

SilenceCallback = Callable[[bool, float], None]
"""Called with whether the database is silent, and for how many seconds it had been silent."""


def ignore_silence(_is_silent: bool, _seconds: float) -> None:
    """Does nothing; the default callback of `DatabaseSilence`."""


class DatabaseSilence:
    """Tracks the outstanding requests and answers of a pool. Times: steady clock, seconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        is_judged: bool = True,
        on_change: SilenceCallback = ignore_silence,
    ) -> None:
        """Starts with a database that is not silent.

        is_judged: whether silence is detected at all. on_change: called when silence is detected,
        and when it ends.
        """
        self._clock = clock
        self._is_judged = is_judged
        self._on_change = on_change
        self._answered_at = -math.inf
        self._probed_at = -math.inf
        self._silent_since: float | None = None
        self._opening_starts: list[float] = []
        """Start times of the openings in progress."""

    def record_answer(self) -> None:
        """Records an answer of any kind from the database, which ends its silence."""
        now = self._clock()
        self._answered_at = now
        if self._silent_since is not None:
            self._on_change(False, now - self._silent_since)
            self._silent_since = None

    def record_opening_started(self, at: float) -> None:
        """Records that an opening of a connection started."""
        self._opening_starts.append(at)

    def record_opening_ended(self, began_at: float) -> None:
        """Records that an opening ended, successfully or not."""
        self._opening_starts.remove(began_at)

    def silent_at(
        self, connections_in_use: Iterable[DatabaseConnection], usual_seconds: float
    ) -> float:
        """Returns when the database becomes silent unless it answers.

        Infinite if no request is outstanding or silence is not judged. Connections in transactions
        are ignored, because the time at which their statement was sent is not available.
        usual_seconds: the usual time of a statement.
        """
        if not self._is_judged:
            return math.inf
        awaited = [
            each.loan_began_at
            for each in connections_in_use
            if each.is_single and each.unanswered_count
        ]
        since = min([*awaited, *self._opening_starts], default=math.inf)
        usual = max(usual_seconds * USUAL_TIME_FACTOR, MIN_SILENCE_SECONDS)
        return max(since, self._answered_at) + min(usual, MAX_SILENCE_SECONDS)

    def detect_silence(self, silent_at: float) -> bool:
        """Tells whether the database is silent now and statements must not queue for it.

        begins_at: the current result of `begins_at`.
        """
        now = self._clock()
        if now < silent_at:
            return False
        if self._silent_since is None:
            self._silent_since = now
            self._on_change(True, 0.0)
        return True

    def try_probe(self) -> bool:
        """Tells whether a statement may probe the silent database now, and records the probe."""
        now = self._clock()
        if now < self._probed_at + PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at = now
        return True
