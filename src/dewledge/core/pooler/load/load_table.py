"""What holders reported of the load before databases, kept with its age by each process.

Inputs: load reports, with the moment at which they came (steady clock, seconds), and this process's
own statements sent to the database.
Decision: the expected wait and service time of a database that this process does not hold. A report
counts less the older it is, and the own statements take its place. Reason: the report of a queue is
soon out of date. The ideas are those of Prequal (probes that are reused and age) and C3 (queue and
service time told with each answer, own statements added).
"""

from statistics import median

import msgspec

from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.load.wait_estimate import ExpectedWait
from dewledge.core.shared.units import MILLISECONDS

REPORT_HALF_LIFE_SECONDS = 0.5
"""Seconds; half-life of the report of a queue. A statement waits for a quarter of its target or
more, 0.1 to 0.25 s on the routes seen, so that all that stood in a queue has left it within about
twice that."""
SERVICE_HALF_LIFE_SECONDS = 4.0
"""Seconds; half-life of the report of a service time: machines stay slow for seconds. A database
that was slow is tried again after some of these, which is how it shows that it is well."""
MOST_DATABASES = 64
"""Databases of one group that are remembered; a group has fewer, so only what left is dropped.
Bounds memory."""
MOST_HOLDERS = 8
"""Holders of one database that are remembered: a process goes to the same few for its callers.
Bounds memory."""
USUAL_SERVICE_SECONDS = 0.01
"""Seconds; reckoned with until a service time was told or measured."""
NO_CONNECTION_SECONDS = 1.0
"""Seconds; added while a holder can open no connection: more than any queue that is worth its
wait."""
LEAST_WINDOW = 0.5
"""Connections, the mean over holders; below this most of those that reported can open none."""


class KnownLoad(msgspec.Struct, frozen=True):
    """The load before one database, for one holder.

    waiting, running: statements. window: how many may run; 0 while no connection can be opened.
    service_seconds: how long one holds a slot. weight: of the report, from 1 down to 0 as it ages.
    age_seconds: of the newest report; 0 for the process's own count.
    """

    waiting: float
    running: float
    window: float
    service_seconds: float
    weight: float = 1.0
    age_seconds: float = 0.0

    def expected_wait(self, sent_since: int, in_flight: int) -> ExpectedWait:
        """Returns the time until a slot is free for one more statement.

        While some wait, no more can run than those that do, whatever the window is.
        sent_since: own statements sent that the report does not count. in_flight: all own ones.
        """
        window = max(self.window, 1.0)
        slots = window if self.waiting < 1.0 else min(window, max(self.running, 1.0))
        told = _wait(self.waiting + self.running + sent_since, slots, self.service_seconds)
        if self.window < LEAST_WINDOW:
            told += NO_CONNECTION_SECONDS
        own = _wait(in_flight, window, self.service_seconds)
        seconds = self.weight * told + (1.0 - self.weight) * own
        return ExpectedWait(seconds, self.age_seconds)


def _wait(ahead: float, slots: float, service_seconds: float) -> float:
    return max(ahead + 1.0 - slots, 0.0) * service_seconds / slots


class _Heard(msgspec.Struct, frozen=True):
    report: LoadReport
    heard_at: float


class _Entry:
    """One database: the last report of each holder, and what was sent since the newest."""

    def __init__(self) -> None:
        self.reports: dict[str, _Heard] = {}
        self.sent_since = 0
        self.heard_at = 0.0

    def take(self, holder: str, heard: _Heard) -> None:
        self.reports.pop(holder, None)
        if len(self.reports) >= MOST_HOLDERS:
            del self.reports[next(iter(self.reports))]
        self.reports[holder] = heard
        self.sent_since = 0
        self.heard_at = heard.heard_at


class LoadTable:
    """The databases of one group. Times: the steady clock, seconds. Bounded in size."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._usual_service: float | None = None
        """Kept until the next report: reads are ordered more often than reports come."""

    def __len__(self) -> int:
        return len(self._entries)

    def take(self, database_id: str, holder: str, report: LoadReport, now: float) -> None:
        """Takes what `holder` reported with an answer that came at `now`."""
        self._usual_service = None
        entry = self._entries.pop(database_id, None) or _Entry()
        if len(self._entries) >= MOST_DATABASES:
            del self._entries[next(iter(self._entries))]
        # The newest report stands last, so that what is dropped is the oldest.
        self._entries[database_id] = entry
        entry.take(holder, _Heard(report, now))

    def note_sent(self, database_id: str) -> None:
        """A statement of this process goes to a database: no report counts it yet."""
        entry = self._entries.get(database_id)
        if entry is not None:
            entry.sent_since += 1

    def sent_since(self, database_id: str) -> int:
        """Returns how many statements went to a database since its newest report."""
        entry = self._entries.get(database_id)
        return 0 if entry is None else entry.sent_since

    def known(self, database_id: str, now: float) -> KnownLoad | None:
        """Returns what is known of a database, None if nobody reported it.

        Where several holders reported, the newer report counts more, by the same half-life.
        """
        entry = self._entries.get(database_id)
        if entry is None:
            return None
        newest = max(now - entry.heard_at, 0.0)
        waiting = running = window = service = total = 0.0
        for heard in entry.reports.values():
            # Relative to the newest, so that the sum is never next to nothing.
            share = _halved(now - heard.heard_at - newest, REPORT_HALF_LIFE_SECONDS)
            total += share
            waiting += share * heard.report.waiting
            running += share * heard.report.running
            window += share * heard.report.window
            service += share * heard.report.service_ms / MILLISECONDS
        kept = _halved(newest, SERVICE_HALF_LIFE_SECONDS)
        return KnownLoad(
            waiting / total,
            running / total,
            window / total,
            kept * service / total + (1.0 - kept) * self.usual_service(),
            _halved(newest, REPORT_HALF_LIFE_SECONDS),
            newest,
        )

    def usual_service(self) -> float:
        """Returns the service time, seconds, that is reckoned with where none was told."""
        if self._usual_service is None:
            told = [
                heard.report.service_ms
                for entry in self._entries.values()
                for heard in entry.reports.values()
            ]
            self._usual_service = median(told) / MILLISECONDS if told else USUAL_SERVICE_SECONDS
        return self._usual_service


def _halved(age: float, half_life: float) -> float:
    return float(0.5 ** (max(age, 0.0) / half_life))
