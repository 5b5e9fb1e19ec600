"""A cached copy of a table of the store, from which other processes can follow its changes.

Holds the rows at a version and recently removed rows, and computes the changes that a follower at
an older version lacks.
"""

from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.coordination_store import StoreRow

MAX_REMOVED_ROWS = 2000
"""Rows remembered as removed; a follower that is further behind gets the whole table."""


class TableDelta(msgspec.Struct, frozen=True, array_like=True):
    """The rows of a table that changed after a version.

    version: the version that the receiver has afterwards. is_whole: whether `rows` is the complete
    table. keys_digest: digest of all existing keys, sent if the sender does not have all removals;
    a receiver whose keys differ after applying the changes has missed a removal and needs the whole
    table.
    """

    rows: tuple[StoreRow, ...]
    version: int
    is_whole: bool
    keys_digest: int | None = None


class TableCache:
    """Caches the rows of a table at one version and its recently removed rows."""

    def __init__(self) -> None:
        self.version = -1
        """The store's version of the cached rows; -1 before the table was read."""
        self._rows: dict[str, StoreRow] = {}
        self._removed: dict[str, StoreRow] = {}
        self._complete_after = 0
        """The version after which all removals are remembered."""
        self._keys_digest = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the table was read at least once."""
        return self.version >= 0

    def replace(self, rows: Sequence[StoreRow], version: int) -> None:
        """Replaces the cached table with all rows at a version."""
        self._rows = {row.key: row for row in rows}
        self._removed = {}
        self._complete_after = version
        self._keys_digest = _digest(self._rows)
        self.version = version

    def update(self, rows: Sequence[StoreRow], version: int) -> None:
        """Applies the rows that changed up to a version, in order of their versions."""
        for row in rows:
            current = self._rows.get(row.key) or self._removed.get(row.key)
            if current is not None and current.version >= row.version:
                continue
            if row.gone == (row.key in self._rows):
                self._keys_digest ^= _key_digest(row.key)
            if row.gone:
                self._rows.pop(row.key, None)
                self._removed[row.key] = row
            else:
                self._removed.pop(row.key, None)
                self._rows[row.key] = row
        self._evict_oldest_removals()
        self.version = max(self.version, version)

    def matches_keys_of(self, delta: TableDelta) -> bool:
        """Tells whether applying the changes results in the sender's set of keys."""
        if delta.keys_digest is None:
            return True
        digest = self._keys_digest
        for row in delta.rows:
            if row.gone == (row.key in self._rows):
                digest ^= _key_digest(row.key)
        return digest == delta.keys_digest

    def delta(self, after: int, compares_keys: bool = False) -> TableDelta:
        """Returns the changes that a follower at version `after` lacks.

        compares_keys: whether the follower accepts changes without removals plus a digest of keys.
        This avoids sending the whole table to every follower after this process has restarted.
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

    def _evict_oldest_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED_ROWS:
            oldest = min(self._removed.values(), key=lambda row: row.version)
            del self._removed[oldest.key]
            self._complete_after = max(self._complete_after, oldest.version)


def _digest(keys: Iterable[str]) -> int:
    """Returns a digest that is independent of the order, so that it can be updated per key."""
    digest = 0
    for key in keys:
        digest ^= _key_digest(key)
    return digest


def _key_digest(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
