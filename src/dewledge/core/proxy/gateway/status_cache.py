"""The latest status of each database of one group, with when it was asked for."""

from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.gateway.confirmation import primary_of
from dewledge.core.shared.positions import TermStart

KEPT_TERM_STARTS = 32
"""Terms, the newest ones, whose start is kept; bounds memory over many failovers."""


class CachedStatus(msgspec.Struct, frozen=True):
    """A status and the time its round started, which is the least it can be old."""

    status: DatabaseStatus
    asked_at: float


class StatusCache:
    """Statuses by database. One that did not answer its last read has none until it answers."""

    def __init__(self) -> None:
        self._latest: dict[str, CachedStatus] = {}
        self._asked_at: dict[str, float] = {}
        self._terms: dict[str, int] = {}
        self._starts: dict[int, TermStart] = {}
        self.term_starts: tuple[TermStart, ...] = ()

    def note(self, database: str, status: DatabaseStatus | None, asked_at: float) -> None:
        """Takes in one reading; one asked for earlier than what is known is only used for terms."""
        if status is not None:
            self._terms[database] = max(self._terms.get(database, 0), status.term)
            self._note_term_starts(status.term_starts)
        if asked_at < self._asked_at.get(database, float("-inf")):
            return
        self._asked_at[database] = asked_at
        if status is None:
            self._latest.pop(database, None)
        else:
            self._latest[database] = CachedStatus(status, asked_at)

    def keep_only(self, databases: Iterable[str]) -> None:
        """Forgets the databases that are no longer configured."""
        kept = set(databases)
        for database in [name for name in self._asked_at if name not in kept]:
            self._asked_at.pop(database, None)
            self._latest.pop(database, None)
            self._terms.pop(database, None)

    def status(self, database: str) -> DatabaseStatus | None:
        """Returns the latest status, or None."""
        cached = self._latest.get(database)
        return cached.status if cached else None

    def term(self, database: str) -> int:
        """Returns the highest term in which a database was ever seen, 0 if it never was."""
        return self._terms.get(database, 0)

    def all(self) -> list[CachedStatus]:
        """Returns what is known, in the order of the databases' names."""
        return [self._latest[name] for name in sorted(self._latest)]

    def primary(self, group_size: int) -> str | None:
        """Returns the primary that a majority of the latest statuses show, or None."""
        return primary_of((cached.status for cached in self._latest.values()), group_size)

    def _note_term_starts(self, starts: tuple[TermStart, ...]) -> None:
        new = [start for start in starts if self._starts.get(start.term) != start]
        if not new:
            return
        self._starts.update((start.term, start) for start in new)
        newest = sorted(self._starts)[-KEPT_TERM_STARTS:]
        self._starts = {term: self._starts[term] for term in newest}
        self.term_starts = tuple(self._starts.values())
