"""One table of the store in this process: what is known, how sure that is, and what followers lack.

Owns the rows known here and the time at which they were surely the newest. Relies on `table_cache`
for what a follower lacks.
"""

from collections.abc import Callable

import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing.messages import TableNews
from dewledge.core.pooler.sharing.packing import MIN_COMPRESSED_BYTES, pack_value, unpack_value
from dewledge.core.pooler.sharing.table_cache import TableCache, TableDelta

RowsCallback = Callable[[tuple[StoreRow, ...], int], None]
"""Takes rows and the version of the table."""

NEVER = -1e9
"""Seconds of the steady clock, before any that it gives."""
FOLLOWED_SLACK_SECONDS = 0.7
"""Added to the wait before a table is doubtful: a confirmation passes on at once, so at the last
process it is little older than at the first."""
LARGE_BYTES = 128 * 1024
"""Changes above this, compressed, are read from the store by each process: sent to all followers,
they would fill the link of a small machine for a second."""


class FollowedTable:
    """All methods belong to the loop's thread, but for reading `version`."""

    def __init__(
        self,
        name: str,
        wait_seconds: float,
        snapshot: RowsCallback,
        changed: RowsCallback,
        confirmed: Callable[[float], None] | None = None,
    ) -> None:
        """`wait_seconds`: for which a reader's call waits at the store for a change.

        confirmed: called with each time at which the table was surely the newest. Then a table read
        as a whole counts as the newest only once a feed has said so: such reads may lag behind.
        """
        self.name = name
        self.wait_seconds = wait_seconds
        self.confirmed_at = NEVER
        """The table was surely the store's newest at this time (steady clock, seconds)."""
        self._cache = TableCache()
        self._last_change = -1
        self._lacks_removals = False
        """Whether rows that are known here have gone, and none tells which."""
        self._packed: dict[str, StoreRow] = {}
        self._confirmed = confirmed
        self._snapshot = snapshot
        self._changed = changed

    @property
    def version(self) -> int:
        """The newest version known, -1 before the table was read."""
        return self._cache.version

    @property
    def asked_after(self) -> int:
        """After which version a source is asked for changes, -1 for the whole table."""
        return -1 if self._lacks_removals else self.version

    @property
    def is_known(self) -> bool:
        """Whether the table was ever read, or told by another process."""
        return self._cache.is_loaded

    @property
    def is_confirmed_by_feed(self) -> bool:
        """Whether a table read as a whole is surely the newest only once a feed has said so."""
        return self._confirmed is not None

    def is_doubtful(self, now: float) -> bool:
        """Tells whether a change may have gone by unnoticed for longer than is usual."""
        return now > self.confirmed_at + self.wait_seconds + FOLLOWED_SLACK_SECONDS

    def take(self, delta: TableDelta, confirmed_at: float) -> bool:
        """Takes what the store or another process tells; returns whether it was news."""
        if delta.version < self._cache.version:
            return False
        is_news = bool(delta.rows) or not self._cache.is_loaded
        if self._confirmed is None or not delta.is_whole:
            # Known before the rows are taken: what they lead to may ask how sure the table is.
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if is_news:
            self._last_change = max(
                delta.version if delta.is_whole else 0, *(row.version for row in delta.rows), 0
            )
        if delta.is_whole:
            self._lacks_removals = False
            self._cache.replace(delta.rows, delta.version)
            self._snapshot(delta.rows, delta.version)
        else:
            self._cache.update(delta.rows, delta.version)
            if delta.rows:
                self._changed(delta.rows, delta.version)
            if self._confirmed is not None:
                self._confirmed(self.confirmed_at)
        return is_news

    def has_changed_after(self, version: int) -> bool:
        """Tells whether a follower at `version` lacks rows; the counter alone rises often."""
        if not self._cache.is_loaded or self._cache.version <= version:
            return False
        return version < self._last_change

    def news(
        self, after: int, now: float, takes_large: bool, compares_keys: bool = False
    ) -> TableNews:
        """Returns what a follower at version `after` lacks, or that it is too large to be sent."""
        age = now - self.confirmed_at if self._cache.is_loaded else -1.0
        delta = self._cache.delta(after, compares_keys)
        rows = tuple(self._pack(row) for row in delta.rows)
        if sum(len(row.value) for row in rows) > LARGE_BYTES and not takes_large:
            return TableNews(self.name, TableDelta((), after, False), age, is_withheld=True)
        return TableNews(self.name, msgspec.structs.replace(delta, rows=rows), age)

    def take_news(self, news: TableNews, answered_at: float) -> bool:
        """Takes another process's answer, given not before `answered_at`. Raises ProtocolError."""
        rows = tuple(_with_value(row, unpack_value(row.value)) for row in news.delta.rows)
        delta = msgspec.structs.replace(news.delta, rows=rows)
        if delta.version >= self._cache.version and not self._cache.matches_keys_of(delta):
            self._lacks_removals = True
            logger.bind(table=self.name, after=self.version, version=delta.version).info(
                "table_lacks_removals"
            )
            return False
        return self.take(delta, answered_at - news.age_seconds)

    def _pack(self, row: StoreRow) -> StoreRow:
        """Returns a row as it goes over links; a large one is compressed once for all followers."""
        known = self._packed.get(row.key)
        if known is None or known.version != row.version:
            known = _with_value(row, pack_value(row.value))
            if len(row.value) >= MIN_COMPRESSED_BYTES:
                self._packed[row.key] = known
        return known


def _with_value(row: StoreRow, value: bytes) -> StoreRow:
    return StoreRow(row.key, value, row.version, row.gone)
