"""Records which databases refused a statement as overloaded, and when each may be tried again.

A database that reported when it expects free capacity is tried again at that time. A database that
has refused the statement for EXHAUSTED_AFTER_SECONDS, or has served nothing of this process for as
long, is exhausted: the statement does not try it again, so that it does not use up its time there.
"""

from collections.abc import Collection, Iterable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.wait_deadlines import EXHAUSTED_AFTER_SECONDS
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND


class ExhaustedDatabases:
    """Records overload refusals by database. Times: steady clock, seconds."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._capacity_at: dict[str, float] = {}
        """When each database that refused the statement expects free capacity."""
        self._tried_at: dict[str, float] = {}
        """When the statement first tried each database."""
        self._exhausted: set[str] = set()
        """Databases that the statement does not try again."""

    @property
    def capacity_times(self) -> Collection[float]:
        """The times at which databases that refused the statement expect free capacity."""
        return self._capacity_at.values()

    def is_exhausted(self, database_id: str) -> bool:
        """Returns whether the statement must not try the database again."""
        return database_id in self._exhausted

    def may_try(self, database_id: str, now: float) -> bool:
        """Returns whether the statement may try the database now."""
        if database_id in self._exhausted:
            return False
        return self._capacity_at.get(database_id, 0.0) <= now

    def next_capacity_at(self, database_ids: Iterable[str]) -> float | None:
        """Returns the earliest time at which any of these databases expects free capacity.

        The databases must have refused the statement. Returns None if all are exhausted.
        """
        asked = [each for each in database_ids if each not in self._exhausted]
        return min((self._capacity_at[each] for each in asked), default=None)

    def record_tried(self, database_id: str, now: float) -> None:
        """Records the time of the statement's first attempt at the database."""
        self._tried_at.setdefault(database_id, now)

    def record_capacity_at(self, database_id: str, moment: float) -> None:
        """Records a refusal by the queue of the database, which expects capacity at `moment`."""
        self._capacity_at[database_id] = moment

    def record_overload(self, database_id: str, failure: Failure, now: float) -> None:
        """Records that the database or its holder refused the statement as overloaded."""
        pool = self._group.pool(database_id)
        tried_at = self._tried_at.get(database_id, now)
        if failure.come_back_ms:
            self._capacity_at[database_id] = now + failure.come_back_ms / MILLISECONDS_PER_SECOND
            if now - tried_at >= EXHAUSTED_AFTER_SECONDS:
                self._exhausted.add(database_id)
        elif now - max(tried_at, pool.last_served_at) >= EXHAUSTED_AFTER_SECONDS:
            self._capacity_at[database_id] = now + pool.reserve_retry_time()
            self._exhausted.add(database_id)


class IgnoredRefusals(ExhaustedDatabases):
    """Ignores overload refusals of databases and holders; used with fixed waits."""

    def record_overload(self, database_id: str, failure: Failure, now: float) -> None:
        """Does nothing."""
