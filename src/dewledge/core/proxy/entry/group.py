"""What an entry keeps for each database group in use."""

from collections.abc import Iterable

from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.entry.failover_wait import FailoverWait
from dewledge.core.proxy.entry.group_description import (
    GroupDescription,
    describe,
    with_applied,
    with_databases,
    with_lag_sample,
    with_status,
)
from dewledge.core.proxy.entry.head_history import HeadHistory
from dewledge.core.proxy.entry.pending_requests import PendingRequest
from dewledge.core.proxy.entry.primary_doubt import PrimaryClaim
from dewledge.core.proxy.entry.primary_watch import PrimaryWatch
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.shared.positions import LogPosition


class EntryGroup:
    """The mutable holder of a group's immutable description and of what was measured.

    outstanding: unanswered requests from here, by database.
    watch: what the primary owes.
    had_primary: a request was sent to a primary before, so its loss is a failover.
    timer_id, timer_due: the next refresh or probe; timer_id is 0 while the group is not in use.
    """

    def __init__(
        self, name: str, zones: Iterable[tuple[str, str]], settings: EntrySettings, now: float
    ) -> None:
        self.description: GroupDescription = describe(name, zones)
        self.head = HeadHistory()
        self.wait = FailoverWait(settings.failover_wait_requests)
        self.outstanding: dict[str, int] = {}
        self.watch = PrimaryWatch(settings)
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

    def note_sent(self, pending: PendingRequest) -> None:
        """Counts a request as sent."""
        database = pending.database
        self.outstanding[database] = self.outstanding.get(database, 0) + 1
        if database == self.description.primary:
            self.watch.note_sent(pending, database)

    def note_answered(self, pending: PendingRequest) -> None:
        """Counts a request as answered or given up."""
        database = pending.database
        count = self.outstanding.get(database, 0) - 1
        if count > 0:
            self.outstanding[database] = count
        else:
            self.outstanding.pop(database, None)
        self.watch.note_ended(pending)

    def suspect_at(self) -> float | None:
        """Returns when the primary's silence becomes suspect, or None if it owes nothing."""
        return self.watch.suspect_at(self.description.primary)

    def _measure_lag(self, database: str, applied: LogPosition, seen_at: float) -> None:
        sample = self.head.lag_of(applied, seen_at)
        self.description = with_lag_sample(self.description, database, sample)
