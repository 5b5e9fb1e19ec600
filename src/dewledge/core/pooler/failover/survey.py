"""Collects the statuses of a group's databases while a new primary is selected.

All statuses are from the current failover. Used by candidate_choice.py and replacement.py.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import DatabaseStatus, ReadStatus, StatusRead

STATUS_RETRY_INTERVAL_SECONDS = 0.15
"""Seconds between repeated requests for a status."""


class StatusSurvey:
    """Statuses reported during a failover, and the databases that were asked."""

    def __init__(self) -> None:
        self.statuses: dict[str, DatabaseStatus] = {}
        self.refused: frozenset[str] = frozenset()
        """Databases that the platform refused to promote."""
        self.silent: set[str] = set()
        """Databases that did not answer the last request."""
        self._asked: set[str] = set()
        self._retried_at = 0.0

    def add(self, event: StatusRead) -> None:
        """Adds a status; a database that did not answer may be asked again."""
        if event.status is None:
            self._asked.discard(event.database)
            self.silent.add(event.database)
        else:
            self.statuses[event.database] = event.status
            self.silent.discard(event.database)

    def mark_refused(self, database: str) -> None:
        """Records that the platform refused to promote a database; its status is dropped."""
        self.refused = self.refused | {database}
        self.statuses.pop(database, None)

    def requests(self, names: Sequence[str]) -> list[ReadStatus]:
        """Returns status requests to those of `names` that have not been asked yet."""
        unasked = [name for name in names if name not in self._asked]
        self._asked.update(unasked)
        return [ReadStatus(name) for name in unasked]

    def try_start_retry(self, now: float) -> bool:
        """Returns whether statuses may be requested again, and if so starts the next interval."""
        if now < self._retried_at + STATUS_RETRY_INTERVAL_SECONDS:
            return False
        self._retried_at = now
        return True

    @property
    def newest_term(self) -> int:
        """Highest reported term, 0 without a status."""
        return max((status.term for status in self.statuses.values()), default=0)

    @property
    def next_term(self) -> int:
        """Lowest term above all reported terms."""
        return self.newest_term + 1

    @property
    def stop_term(self) -> int:
        """Lowest term above all reported terms, also those under which replication stopped."""
        stopped = max((status.stopped_term for status in self.statuses.values()), default=0)
        return max(self.next_term, stopped + 1)

    def leads(self, name: str) -> bool:
        """Returns whether a database reports that it leads."""
        status = self.statuses.get(name)
        return status is not None and status.is_primary

    def follows(self, name: str) -> bool:
        """Returns whether a database reports that it does not lead."""
        status = self.statuses.get(name)
        return status is not None and not status.is_primary

    def min_leader_term(self, candidate: str) -> int:
        """Returns the lowest term in which `candidate` can lead after a promotion ordered now."""
        status = self.statuses.get(candidate)
        if status is not None and status.is_primary:
            return status.term
        return self.next_term

    def reset_asked(self) -> None:
        """Makes `requests` include all databases again."""
        self._asked = set()

    def is_behind(self, candidate: str, leader: str) -> bool:
        """Returns whether `candidate` has received less than `leader`, by their last statuses."""
        leading, status = self.statuses.get(leader), self.statuses.get(candidate)
        if leading is None or status is None:
            return False
        return status.received < leading.received
