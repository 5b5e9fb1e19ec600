"""Reads a group stand-in's own records into the history that the checkers judge."""

import threading
import time

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.simulation.history import CommitRecord, ElectionRecord, History, WorkRecord
from dewledge.simulation.workloads import markers_in, tags_in
from dewledge.standin.group_client import GroupClient
from dewledge.standin.group_types import ActivityEntry, ActivityKind

LOOK_SECONDS = 0.02
JOIN_SECONDS = 10.0

_OPERATIONS = {
    ActivityKind.OPEN: None,
    ActivityKind.READ: Operation.EXECUTE,
    ActivityKind.WRITE: Operation.EXECUTE,
    ActivityKind.BEGIN: Operation.BEGIN,
}


class GroupObserver:
    """Notes elections while it runs, and at the end every commit since it began."""

    def __init__(self, group: str, client: GroupClient, history: History) -> None:
        self._group = group
        self._client = client
        self._history = history
        self._first_commit = len(client.history())
        self._terms: set[int] = set()
        self._stop = threading.Event()
        self._look()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def elections(self) -> int:
        """How many changes of primary were seen."""
        return len(self._terms) - 1

    def finish(self) -> None:
        """Stops watching and records the commits, and which of them survive."""
        self._stop.set()
        self._thread.join(JOIN_SECONDS)
        surviving = {entry.position for entry in self._client.surviving_log()}
        for entry in self._client.history(self._first_commit):
            self._history.commits.append(
                CommitRecord(
                    group=self._group,
                    database=entry.database,
                    time=entry.time,
                    position=entry.position,
                    markers=markers_in(entry.statements),
                    tags=tags_in(entry.statements),
                    survives=entry.position in surviving,
                )
            )
        self._client.close()

    def _run(self) -> None:
        while not self._stop.wait(LOOK_SECONDS):
            self._look()

    def _look(self) -> None:
        """A term counts from the time it was seen, so no election is noted too early."""
        for status in self._client.statuses():
            if status.role is DatabaseRole.PRIMARY and status.term not in self._terms:
                self._terms.add(status.term)
                record = ElectionRecord(self._group, status.database, time.monotonic(), status.term)
                self._history.elections.append(record)


def work_of(group: str, activity: list[ActivityEntry]) -> list[WorkRecord]:
    """Returns what reached the databases; the stand-in does not know which proxy sent it."""
    open_transactions: set[int] = set()
    work = []
    for entry in activity:
        if entry.kind in _OPERATIONS:
            work.append(
                WorkRecord(
                    time=entry.time,
                    group=group,
                    database=entry.database,
                    proxy="a proxy",
                    operation=_OPERATIONS[entry.kind],
                    access=Access.READ if entry.kind is ActivityKind.READ else Access.WRITE,
                    in_transaction=entry.session in open_transactions,
                )
            )
        if entry.kind is ActivityKind.BEGIN:
            open_transactions.add(entry.session)
        elif entry.kind in (ActivityKind.COMMIT, ActivityKind.ROLLBACK, ActivityKind.CLOSE):
            open_transactions.discard(entry.session)
    return work


def open_connections(activity: list[ActivityEntry], database: str) -> int:
    """Returns how many connections a database has open now."""
    changes = {ActivityKind.OPEN: 1, ActivityKind.CLOSE: -1}
    return sum(changes.get(it.kind, 0) for it in activity if it.database == database)
