"""The statuses that the databases of a group report while a new primary is chosen.

Inputs: answers of databases, at most as old as the survey. Decision: whom to ask again; whether a
candidate lacks something that the old primary has; the least term of the next primary. Owns the
answers and what was asked. Used by replacement.py.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import DatabaseStatus, ReadStatus, StatusRead

STATUS_RETRY_INTERVAL_SECONDS = 0.15
"""Seconds between two questions for a status that is awaited."""


class StatusSurvey:
    """The statuses of one failover."""

    def __init__(self) -> None:
        self.statuses: dict[str, DatabaseStatus] = {}
        self.refused: frozenset[str] = frozenset()
        """Databases that the platform did not promote."""
        self._asked: set[str] = set()
        self._retried_at = 0.0

    def add(self, event: StatusRead) -> None:
        """Takes an answer; a database that gave none is asked again."""
        if event.status is None:
            self._asked.discard(event.database)
        else:
            self.statuses[event.database] = event.status

    def mark_refused(self, database: str) -> None:
        """The platform did not promote a database."""
        self.refused = self.refused | {database}
        self.statuses.pop(database, None)

    def requests(self, names: Sequence[str]) -> list[ReadStatus]:
        """Returns the questions to those that have not been asked."""
        unasked = [name for name in names if name not in self._asked]
        self._asked.update(unasked)
        return [ReadStatus(name) for name in unasked]

    def try_start_retry(self, now: float) -> bool:
        """Tells whether the last questions are old enough, and counts as asking if so."""
        if now < self._retried_at + STATUS_RETRY_INTERVAL_SECONDS:
            return False
        self._retried_at = now
        return True

    @property
    def next_term(self) -> int:
        """A term above all that were reported."""
        return max((status.term for status in self.statuses.values()), default=0) + 1

    def leads(self, name: str) -> bool:
        """Tells whether a database says that it leads."""
        status = self.statuses.get(name)
        return status is not None and status.is_primary

    def follows(self, name: str) -> bool:
        """Tells whether a database says that it does not lead."""
        status = self.statuses.get(name)
        return status is not None and not status.is_primary

    def min_leader_term(self, chosen: str) -> int:
        """Returns the least term in which `chosen` can lead by an order that is given now."""
        status = self.statuses.get(chosen)
        if status is not None and status.is_primary:
            return status.term
        return self.next_term

    def reset_asked(self) -> None:
        """Makes `ask` return all databases once more."""
        self._asked = set()

    def is_behind(self, chosen: str, leader: str) -> bool:
        """Tells whether `chosen` lacks something that `leader` has, by the last answers of both."""
        leading, status = self.statuses.get(leader), self.statuses.get(chosen)
        if leading is None or status is None:
            return False
        return status.received < leading.received
