"""Which databases refused one statement for want of room, and until when it asks them no more.

Inputs: the refusals of one statement (`Failure.come_back_ms`, milliseconds from now), when each
database was first asked and when it last served this process (steady clock, seconds).

Decision: a database that said when it will have room is asked again then. One that refused the
statement for EXHAUSTED_SECONDS, or has run nothing of this process for as long, is exhausted: this
statement asks it no more. Reason: nobody is held to the end of its time before a database that
serves nobody.
"""

from collections.abc import Collection, Iterable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.wait_deadlines import EXHAUSTED_SECONDS
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.shared.units import MILLISECONDS


class ExhaustedDatabases:
    """Of one statement. Moments: steady clock, seconds."""

    def __init__(self, group: Group) -> None:
        self._group = group
        self._room_at: dict[str, float] = {}
        """When a database that refused the statement said it would have room."""
        self._tried_at: dict[str, float] = {}
        """When each database was first asked."""
        self._exhausted: set[str] = set()
        """The databases that are not asked again."""

    @property
    def room_moments(self) -> Collection[float]:
        """When each database that refused the statement said it would have room."""
        return self._room_at.values()

    def is_exhausted(self, database_id: str) -> bool:
        """Tells whether the statement does not ask the database again."""
        return database_id in self._exhausted

    def may_ask(self, database_id: str, now: float) -> bool:
        """Tells whether the database has not said that it has no room yet."""
        if database_id in self._exhausted:
            return False
        return self._room_at.get(database_id, 0.0) <= now

    def next_room_at(self, database_ids: Iterable[str]) -> float | None:
        """Returns when the first of them will have room; None if all are exhausted."""
        asked = [each for each in database_ids if each not in self._exhausted]
        return min((self._room_at[each] for each in asked), default=None)

    def note_tried(self, database_id: str, now: float) -> None:
        """The database is asked now."""
        self._tried_at.setdefault(database_id, now)

    def note_room_at(self, database_id: str, moment: float) -> None:
        """The queue before the database refused the statement until `moment`."""
        self._room_at[database_id] = moment

    def note_overloaded(self, database_id: str, failure: Failure, now: float) -> None:
        """The database, or its holder, has no room; it may have said when it will."""
        pool = self._group.pool(database_id)
        tried_at = self._tried_at.get(database_id, now)
        if failure.come_back_ms:
            self._room_at[database_id] = now + failure.come_back_ms / MILLISECONDS
            if now - tried_at >= EXHAUSTED_SECONDS:
                self._exhausted.add(database_id)
        elif now - max(tried_at, pool.served_at) >= EXHAUSTED_SECONDS:
            self._room_at[database_id] = now + pool.promise_return()
            self._exhausted.add(database_id)


class NeverExhausted(ExhaustedDatabases):
    """Where waits aren't judged by use: a refusal for want of room changes nothing."""

    def note_overloaded(self, database_id: str, failure: Failure, now: float) -> None:
        """Notes nothing."""
