"""A cached table of the store, and the time at which it was last confirmed to match the store.

`core/pooler/sharing/table_cache` holds the rows and computes the delta that a follower lacks.
"""

from collections.abc import Callable

import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing.messages import TableNews
from dewledge.core.pooler.sharing.packing import MIN_COMPRESSED_BYTES, pack_value, unpack_value
from dewledge.core.pooler.sharing.table_cache import TableCache, TableDelta

RowsCallback = Callable[[tuple[StoreRow, ...], int], None]
"""Receives rows and the version of the table."""

NEVER = -1e9
"""Seconds of the monotonic clock, earlier than any reading of it."""
CONFIRMATION_SLACK_SECONDS = 0.7
"""Added to `wait_seconds` for the maximum age of a confirmation. Covers the links from the reader
to the last follower; each process on the way forwards a confirmation at once."""
MAX_SENT_CHANGE_BYTES = 128 * 1024
"""Maximum compressed size of a change that is sent to followers unless they ask for large ones.
Larger changes are read from the store: sending them to all followers would saturate the link."""


class FollowedTable:
    """A cached table and its last confirmation. Only `version` may be read on other threads."""

    def __init__(
        self,
        name: str,
        wait_seconds: float,
        snapshot: RowsCallback,
        changed: RowsCallback,
        confirmed: Callable[[float], None] = lambda confirmed_at: None,
        is_confirmed_by_feed: bool = False,
    ) -> None:
        """Creates an empty table that was never confirmed.

        wait_seconds: how long a reader's call to the store waits for a change. snapshot: receives
        the whole table. changed: receives the rows of a change. confirmed: called with the time of
        the last confirmation. is_confirmed_by_feed: whether only the change feed confirms the
        table, not a read of the whole table, which may be stale.
        """
        self.name = name
        self.wait_seconds = wait_seconds
        self.confirmed_at = NEVER
        """When the cached table was last known to match the store (monotonic clock, seconds)."""
        self._cache = TableCache()
        self._last_change = -1
        self._lacks_removals = False
        """Whether the cache holds rows that were removed from the store, without knowing which."""
        self._packed: dict[str, StoreRow] = {}
        self._on_confirmed = confirmed
        self.is_confirmed_by_feed = is_confirmed_by_feed
        self._on_snapshot = snapshot
        self._on_changed = changed

    @property
    def version(self) -> int:
        """The cached version, -1 before the table was read."""
        return self._cache.version

    @property
    def request_after_version(self) -> int:
        """The version after which changes are requested from a source, -1 for the whole table."""
        return -1 if self._lacks_removals else self.version

    @property
    def is_known(self) -> bool:
        """Whether the table was ever read or received from another process."""
        return self._cache.is_loaded

    def is_stale(self, now: float) -> bool:
        """Returns whether the last confirmation is too old: a change may have been missed."""
        return now > self.confirmed_at + self.wait_seconds + CONFIRMATION_SLACK_SECONDS

    def apply(self, delta: TableDelta, confirmed_at: float) -> bool:
        """Applies a delta from the store or a source.

        Ignores an older version than the cached one. Returns whether the delta had rows or was the
        first to be applied.
        """
        if delta.version < self._cache.version:
            return False
        is_news = bool(delta.rows) or not self._cache.is_loaded
        confirms = not (self.is_confirmed_by_feed and delta.is_whole)
        if confirms:
            # Set before the callbacks run, as they may read the time of the last confirmation.
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if is_news:
            self._last_change = max(
                delta.version if delta.is_whole else 0, *(row.version for row in delta.rows), 0
            )
        if delta.is_whole:
            self._lacks_removals = False
            self._cache.replace(delta.rows, delta.version)
            self._on_snapshot(delta.rows, delta.version)
        else:
            self._cache.update(delta.rows, delta.version)
            if delta.rows:
                self._on_changed(delta.rows, delta.version)
        if confirms:
            self._on_confirmed(self.confirmed_at)
        return is_news

    def has_changed_after(self, version: int) -> bool:
        """Returns whether a follower at `version` lacks rows.

        The table's version alone does not show that: it also rises without a change of its rows.
        """
        if not self._cache.is_loaded or self._cache.version <= version:
            return False
        return version < self._last_change

    def news(
        self, after: int, now: float, takes_large: bool, compares_keys: bool = False
    ) -> TableNews:
        """Returns the delta for a follower at version `after`, marked as withheld if too large."""
        age = now - self.confirmed_at if self._cache.is_loaded else -1.0
        delta = self._cache.delta(after, compares_keys)
        rows = tuple(self._pack(row) for row in delta.rows)
        if sum(len(row.value) for row in rows) > MAX_SENT_CHANGE_BYTES and not takes_large:
            return TableNews(self.name, TableDelta((), after, False), age, is_withheld=True)
        return TableNews(self.name, msgspec.structs.replace(delta, rows=rows), age)

    def apply_news(self, news: TableNews, answered_at: float) -> bool:
        """Applies a source's answer, sent at `answered_at` or later.

        Result as in `take`. Raises ProtocolError if a value cannot be unpacked.
        """
        rows = tuple(_with_value(row, unpack_value(row.value)) for row in news.delta.rows)
        delta = msgspec.structs.replace(news.delta, rows=rows)
        if delta.version >= self._cache.version and not self._cache.matches_keys_of(delta):
            self._lacks_removals = True
            logger.bind(table=self.name, after=self.version, version=delta.version).info(
                "table_lacks_removals"
            )
            return False
        return self.apply(delta, answered_at - news.age_seconds)

    def _pack(self, row: StoreRow) -> StoreRow:
        """Returns a row as sent to followers; a large value is compressed once and cached."""
        cached = self._packed.get(row.key)
        if cached is None or cached.version != row.version:
            cached = _with_value(row, pack_value(row.value))
            if len(row.value) >= MIN_COMPRESSED_BYTES:
                self._packed[row.key] = cached
        return cached


def _with_value(row: StoreRow, value: bytes) -> StoreRow:
    return StoreRow(row.key, value, row.version, row.gone)
