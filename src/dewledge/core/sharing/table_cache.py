"""One table of the store as this process knows it: kept so that others may follow it from here."""

from collections.abc import Sequence

import msgspec

from dewledge.core.coordination_store import StoreRow

MAX_REMOVED = 2000
"""So many removed rows are remembered; who is further behind gets the whole table."""


class TableDelta(msgspec.Struct, frozen=True, array_like=True):
    """What has changed after a version. is_whole: all rows, and no others are there any more."""

    rows: tuple[StoreRow, ...]
    version: int
    is_whole: bool


class TableCache:
    """The rows of a table at one version, and the removed ones of a while."""

    def __init__(self) -> None:
        self.version = -1
        """Of the store; -1 before anything is known."""
        self._rows: dict[str, StoreRow] = {}
        self._removed: dict[str, StoreRow] = {}
        self._complete_after = 0
        """Removals after this version are all remembered."""

    @property
    def is_known(self) -> bool:
        """Whether the table was ever read."""
        return self.version >= 0

    def replace(self, rows: Sequence[StoreRow], version: int) -> None:
        """Takes the whole table at a version."""
        self._rows = {row.key: row for row in rows}
        self._removed = {}
        self._complete_after = version
        self.version = version

    def update(self, rows: Sequence[StoreRow], version: int) -> None:
        """Takes the rows that changed up to a version, in order."""
        for row in rows:
            known = self._rows.get(row.key) or self._removed.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            if row.gone:
                self._rows.pop(row.key, None)
                self._removed[row.key] = row
            else:
                self._removed.pop(row.key, None)
                self._rows[row.key] = row
        self._forget_oldest_removed()
        self.version = max(self.version, version)

    def delta(self, after: int) -> TableDelta:
        """Returns what a follower at version `after` lacks."""
        if after < self._complete_after:
            return TableDelta(tuple(self._rows.values()), self.version, True)
        changed = [row for row in self._rows.values() if row.version > after]
        changed += [row for row in self._removed.values() if row.version > after]
        changed.sort(key=lambda row: row.version)
        return TableDelta(tuple(changed), self.version, False)

    def _forget_oldest_removed(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            oldest = min(self._removed.values(), key=lambda row: row.version)
            del self._removed[oldest.key]
            self._complete_after = max(self._complete_after, oldest.version)
