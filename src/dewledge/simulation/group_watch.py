"""Watches the database groups: who became primary when, and what was committed."""

from dewledge.simulation.clock import EventQueue
from dewledge.simulation.history import CommitRecord, ElectionRecord, History
from dewledge.simulation.workloads import markers_in, tags_in
from dewledge.standin.group_model import GroupModel

WATCH_INTERVAL = 0.010
"""Seconds between two looks, by default; an election is recorded at most this much late."""


class GroupWatch:
    """Keeps the models moving and records their elections; reads their logs at the end."""

    def __init__(
        self,
        queue: EventQueue,
        groups: dict[str, GroupModel],
        history: History,
        interval: float = WATCH_INTERVAL,
    ) -> None:
        self._interval = interval
        self._queue = queue
        self._groups = groups
        self._history = history
        self._known: dict[str, tuple[str, ...]] = {}

    def start(self) -> None:
        """Begins to look at regular intervals."""
        for group, model in self._groups.items():
            self._known[group] = model.primaries()
        self._queue.call_after(self._interval, self._look)

    def collect_commits(self) -> None:
        """Records every commit of every group, and whether it survives."""
        for group, model in self._groups.items():
            surviving = {entry.position for entry in model.surviving_log()}
            for entry in model.history:
                record = CommitRecord(
                    group=group,
                    database=entry.database,
                    time=entry.time,
                    position=entry.position,
                    markers=markers_in(entry.statements),
                    tags=tags_in(entry.statements),
                    survives=entry.position in surviving,
                )
                self._history.commits.append(record)

    def _look(self) -> None:
        now = self._queue.now
        for group, model in self._groups.items():
            model.advance(now)
            primaries = model.primaries()
            for database in set(primaries) - set(self._known[group]):
                status = model.status(database, now)
                term = status.term if status is not None else 0
                self._history.elections.append(ElectionRecord(group, database, now, term))
            self._known[group] = primaries
        self._queue.call_after(self._interval, self._look)
