"""One table of the store as this process knows it: kept so that others may follow it from here.

Owns the rows and the version. Decides which rows a follower at a version lacks.
"""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.coordination_store import StoreRow

MAX_REMOVED = 2000
"""Rows that were removed and are remembered; a follower further behind gets the whole table."""


class TableDelta(msgspec.Struct, frozen=True, array_like=True):
    """What has changed after a version. is_whole: all rows, and no others are there any more.

    keys_digest: of all keys that are there, where the sender does not know which rows have gone:
    a receiver that has other keys after these changes lacks a removal, and needs the whole table.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_whole: bool
    keys_digest: int | None = None


class TableCache:
    """The rows of a table at one version, and the removed ones of a while."""

    def __init__(self) -> None:
        self.version = -1
        """Of the store; -1 before anything is known."""
        self._rows: dict[str, StoreRow] = {}
        self._removed: dict[str, StoreRow] = {}
        self._complete_after = 0
        """Removals after this version are all remembered."""
        self._keys_digest = 0

    @property
    def is_known(self) -> bool:
        """Whether the table was ever read."""
        return self.version >= 0

    def replace(self, rows: Sequence[StoreRow], version: int) -> None:
        """Takes the whole table at a version."""
        self._rows = {row.key: row for row in rows}
        self._removed = {}
        self._complete_after = version
        self._keys_digest = _digest(self._rows)
        self.version = version

    def update(self, rows: Sequence[StoreRow], version: int) -> None:
        """Takes the rows that changed up to a version, in order."""
        for row in rows:
            known = self._rows.get(row.key) or self._removed.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            if row.gone == (row.key in self._rows):
                self._keys_digest ^= _key_digest(row.key)
            if row.gone:
                self._rows.pop(row.key, None)
                self._removed[row.key] = row
            else:
                self._removed.pop(row.key, None)
                self._rows[row.key] = row
        self._forget_oldest_removed()
        self.version = max(self.version, version)

    def agrees_with(self, delta: TableDelta) -> bool:
        """Tells whether the changes lead from what is known here to all that the sender knows."""
        if delta.keys_digest is None:
            return True
        digest = self._keys_digest
        for row in delta.rows:
            if row.gone == (row.key in self._rows):
                digest ^= _key_digest(row.key)
        return digest == delta.keys_digest

    def delta(self, after: int, compares_keys: bool = False) -> TableDelta:
        """Returns what a follower at version `after` lacks.

        compares_keys: it takes changes without removals and compares keys, in place of the whole
        table, which a source that has just started would otherwise send to each follower.
        """
        changed = [row for row in self._rows.values() if row.version > after]
        if after < self._complete_after:
            if compares_keys and after >= 0:
                changed.sort(key=lambda row: row.version)
                return TableDelta(tuple(changed), self.version, False, self._keys_digest)
            return TableDelta(tuple(self._rows.values()), self.version, True)
        changed += [row for row in self._removed.values() if row.version > after]
        changed.sort(key=lambda row: row.version)
        return TableDelta(tuple(changed), self.version, False)

    def _forget_oldest_removed(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            oldest = min(self._removed.values(), key=lambda row: row.version)
            del self._removed[oldest.key]
            self._complete_after = max(self._complete_after, oldest.version)


def _digest(keys: Iterable[str]) -> int:
    """Returns a digest that does not hang on the order, so that one key changes it cheaply."""
    digest = 0
    for key in keys:
        digest ^= _key_digest(key)
    return digest


def _key_digest(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
