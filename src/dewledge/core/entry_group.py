"""What an entry keeps for each database group in use."""

from collections.abc import Iterable

from dewledge.core.database_status import DatabaseStatus
from dewledge.core.entry_settings import EntrySettings
from dewledge.core.failover_wait import FailoverWait, PrimaryClaim
from dewledge.core.group_description import (
    GroupDescription,
    describe,
    with_applied,
    with_databases,
    with_lag_sample,
    with_status,
)
from dewledge.core.head_history import HeadHistory
from dewledge.core.positions import LogPosition

LATENCY_GAIN = 0.1


class EntryGroup:
    """The mutable holder of a group's immutable description and of what was measured.

    outstanding: unanswered requests from here, by database.
    unanswered_primary: when each unanswered request to the primary was sent, by correlation,
        oldest first.
    primary_answered: when the primary last answered.
    primary_latency: its mean time to answer, in seconds.
    had_primary: a request was sent to a primary before, so its loss is a failover.
    timer_id, timer_due: the next refresh or probe; timer_id is 0 while the group is not in use.
    """

    def __init__(
        self, name: str, zones: Iterable[tuple[str, str]], settings: EntrySettings, now: float
    ) -> None:
        self._settings = settings
        self.description: GroupDescription = describe(name, zones)
        self.head = HeadHistory()
        self.wait = FailoverWait(settings.failover_wait_requests)
        self.outstanding: dict[str, int] = {}
        self.unanswered_primary: dict[int, float] = {}
        self.primary_answered = float("-inf")
        self._watched_primary: str | None = None
        self.primary_latency = 0.0
        self.last_used = now
        self.last_refreshed = now
        self.last_probed = float("-inf")
        self.next_gateway = 0
        self.had_primary = False
        self.timer_id = 0
        self.timer_due = 0.0

    def set_databases(self, zones: Iterable[tuple[str, str]]) -> None:
        """Follows a change of the configuration."""
        self.description = with_databases(self.description, zones)

    def primary_claim(self) -> PrimaryClaim | None:
        """Returns the database believed to be primary, with its term."""
        name = self.description.primary
        if name is None:
            return None
        return PrimaryClaim(name, self.description.databases[name].term)

    def learn_status(self, status: DatabaseStatus, seen_at: float, now: float) -> None:
        """Takes in one database's status, true at `seen_at`."""
        before = self.description
        self.description = with_status(before, status, seen_at)
        if self.description is before:
            return
        if status.database == self.description.primary:
            self.head.note(status.applied, now)
        else:
            self._measure_lag(status.database, status.applied, seen_at)

    def learn_read(self, database: str, position: LogPosition, now: float) -> None:
        """Takes in the position that a read or a write on `database` showed."""
        self.description = with_applied(self.description, database, position, now)
        self.head.note(position, now)
        lag = self.head.lag_of(position, now)
        # Without a newer position the read says nothing: the log's end may be unknown here.
        if lag > 0 and database != self.description.primary:
            self.description = with_lag_sample(self.description, database, lag)

    def learn_fresh(self, database: str, floor_age: float) -> None:
        """Takes in that `database` had reached a floor that was `floor_age` seconds old."""
        known = self.description.databases.get(database)
        if known is not None and known.lag is not None and floor_age < known.lag:
            self.description = with_lag_sample(self.description, database, floor_age)

    def learn_behind(self, database: str, floor_age: float) -> None:
        """Takes in that `database` had not reached a floor that was `floor_age` seconds old."""
        known = self.description.databases.get(database)
        if known is None:
            return
        sample = max(floor_age, known.lag or 0.0) + known.lag_deviation
        self.description = with_lag_sample(self.description, database, sample)

    def note_sent(self, database: str, correlation: int, now: float) -> None:
        """Counts a request sent to `database`."""
        self.outstanding[database] = self.outstanding.get(database, 0) + 1
        if database != self.description.primary:
            return
        if database != self._watched_primary:
            self._watched_primary = database
            self.unanswered_primary.clear()
        self.unanswered_primary[correlation] = now

    def note_answered(self, database: str, correlation: int) -> None:
        """Counts a request to `database` that was answered or given up."""
        count = self.outstanding.get(database, 0) - 1
        if count > 0:
            self.outstanding[database] = count
        else:
            self.outstanding.pop(database, None)
        self.unanswered_primary.pop(correlation, None)

    def note_primary_answer(self, latency: float, now: float) -> None:
        """Takes in that the primary answered, after `latency` seconds."""
        self.primary_answered = now
        self.primary_latency += LATENCY_GAIN * (latency - self.primary_latency)

    def silent_since(self) -> float | None:
        """Returns since when the primary owes an answer and gave none, or None."""
        if self.description.primary != self._watched_primary:
            return None
        oldest = next(iter(self.unanswered_primary.values()), None)
        return None if oldest is None else max(oldest, self.primary_answered)

    def suspect_at(self) -> float | None:
        """Returns when the primary's silence becomes suspect, or None if it owes nothing."""
        since = self.silent_since()
        if since is None:
            return None
        patience = self._settings.suspect_latencies * self.primary_latency
        return since + max(self._settings.suspect_after, patience)

    def _measure_lag(self, database: str, applied: LogPosition, seen_at: float) -> None:
        sample = self.head.lag_of(applied, seen_at)
        self.description = with_lag_sample(self.description, database, sample)
