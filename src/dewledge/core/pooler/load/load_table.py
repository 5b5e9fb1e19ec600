"""Estimates the load of databases from the reports of their connection holders.

The weight of a report decreases with its age, since a queue soon changes; the count of this
process's own statements takes its place. The design follows Prequal (probe results that are reused
and age) and C3 (queue length and service time sent with each reply, own statements added).
"""

from statistics import median

import msgspec

from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.load.wait_estimate import ExpectedWait
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

REPORT_HALF_LIFE_SECONDS = 0.5
"""Half-life of a reported queue length. Statements typically wait up to 0.25 s, so that a reported
queue has drained after about twice that."""
SERVICE_HALF_LIFE_SECONDS = 4.0
"""Half-life of a reported service time: machines stay slow for seconds. As the report ages, a
database that was slow is tried again."""
MAX_DATABASES = 64
"""Databases of a group in the table; bounds its memory. A group has fewer, so that only removed
databases are dropped."""
MAX_HOLDERS = 8
"""Holders of a database in the table; bounds its memory."""
DEFAULT_SERVICE_SECONDS = 0.01
"""Default service time, used until one is reported."""
NO_CONNECTION_WAIT_SECONDS = 1.0
"""Extra wait while a holder can open no connection: more than any wait that a statement accepts."""
MIN_WINDOW = 0.5
"""Connections, as the mean over the holders; below it most holders can open no connection."""


class LoadEstimate(msgspec.Struct, frozen=True):
    """The estimated load of a database.

    Attributes:
        waiting: Statements in the queue.
        running: Statements that the database executes.
        window: Statements that may run concurrently, 0 while no connection can be opened.
        service_seconds: How long a statement holds a slot.
        weight: Weight of the report, from 1 down to 0 as it ages.
        age_seconds: Age of the newest report; 0 for the process's own count.
    """

    waiting: float
    running: float
    window: float
    service_seconds: float
    weight: float = 1.0
    age_seconds: float = 0.0

    def expected_wait(self, sent_since: int, in_flight: int) -> ExpectedWait:
        """Returns the expected time until a slot is free for one more statement.

        While statements wait, no more can run than those that run now, whatever the window is.

        Args:
            sent_since: Statements that this process has sent since the report.
            in_flight: All statements of this process that are waiting or running there.
        """
        window = max(self.window, 1.0)
        slots = window if self.waiting < 1.0 else min(window, max(self.running, 1.0))
        reported_seconds = _queueing_seconds(
            self.waiting + self.running + sent_since, slots, self.service_seconds
        )
        if self.window < MIN_WINDOW:
            reported_seconds += NO_CONNECTION_WAIT_SECONDS
        counted_seconds = _queueing_seconds(in_flight, window, self.service_seconds)
        seconds = self.weight * reported_seconds + (1.0 - self.weight) * counted_seconds
        return ExpectedWait(seconds, self.age_seconds)


def _queueing_seconds(ahead: float, slots: float, service_seconds: float) -> float:
    return max(ahead + 1.0 - slots, 0.0) * service_seconds / slots


class _ReceivedReport(msgspec.Struct, frozen=True):
    """A load report and the time at which it arrived."""

    report: LoadReport
    heard_at: float


class _DatabaseEntry:
    """The last report of each holder of a database, and the statements sent since the newest
    report."""

    def __init__(self) -> None:
        self.reports: dict[str, _ReceivedReport] = {}
        self.sent_since = 0
        self.newest_at = 0.0

    def update(self, holder: str, received: _ReceivedReport) -> None:
        self.reports.pop(holder, None)
        if len(self.reports) >= MAX_HOLDERS:
            del self.reports[next(iter(self.reports))]
        self.reports[holder] = received
        self.sent_since = 0
        self.newest_at = received.heard_at


class LoadTable:
    """The load reports on the databases of a group; times of the steady clock in seconds."""

    def __init__(self) -> None:
        self._entries: dict[str, _DatabaseEntry] = {}
        self._usual_service_seconds: float | None = None
        """Cached until the next report, since it is read more often than reports arrive."""

    def __len__(self) -> int:
        return len(self._entries)

    def update(self, database_id: str, holder: str, report: LoadReport, now: float) -> None:
        """Stores a report of `holder` that arrived at `now`."""
        self._usual_service_seconds = None
        entry = self._entries.pop(database_id, None) or _DatabaseEntry()
        if len(self._entries) >= MAX_DATABASES:
            del self._entries[next(iter(self._entries))]
        # Reinserted at the end, so that the least recently updated entry is dropped first.
        self._entries[database_id] = entry
        entry.update(holder, _ReceivedReport(report, now))

    def record_sent(self, database_id: str) -> None:
        """Counts a statement sent by this process that no report includes yet."""
        entry = self._entries.get(database_id)
        if entry is not None:
            entry.sent_since += 1

    def sent_since(self, database_id: str) -> int:
        """Returns the number of statements sent to a database since its newest report."""
        entry = self._entries.get(database_id)
        return 0 if entry is None else entry.sent_since

    def estimate(self, database_id: str, now: float) -> LoadEstimate | None:
        """Returns the estimated load of a database, None without a report.

        If several holders have reported, their reports are weighted by age.
        """
        entry = self._entries.get(database_id)
        if entry is None:
            return None
        age = max(now - entry.newest_at, 0.0)
        waiting = running = window = service = total = 0.0
        for received in entry.reports.values():
            # Relative to the newest report, so that the total is at least 1.
            weight = _decay(now - received.heard_at - age, REPORT_HALF_LIFE_SECONDS)
            total += weight
            waiting += weight * received.report.waiting
            running += weight * received.report.running
            window += weight * received.report.window
            service += weight * received.report.service_ms / MILLISECONDS_PER_SECOND
        service_weight = _decay(age, SERVICE_HALF_LIFE_SECONDS)
        return LoadEstimate(
            waiting / total,
            running / total,
            window / total,
            service_weight * service / total
            + (1.0 - service_weight) * self.usual_service_seconds(),
            _decay(age, REPORT_HALF_LIFE_SECONDS),
            age,
        )

    def usual_service_seconds(self) -> float:
        """Returns the median of the reported service times, in seconds."""
        if self._usual_service_seconds is None:
            reported = [
                received.report.service_ms
                for entry in self._entries.values()
                for received in entry.reports.values()
            ]
            self._usual_service_seconds = (
                median(reported) / MILLISECONDS_PER_SECOND if reported else DEFAULT_SERVICE_SECONDS
            )
        return self._usual_service_seconds


def _decay(age: float, half_life: float) -> float:
    return float(0.5 ** (max(age, 0.0) / half_life))
