"""One table of the store in this process: what is known, how sure that is, and who is told."""

from collections.abc import Callable

from dewledge.core.coordination_store import StoreRow
from dewledge.core.sharing.messages import TableNews
from dewledge.core.sharing.table_cache import TableCache, TableDelta

RowsCallback = Callable[[tuple[StoreRow, ...], int], None]
"""Takes rows and the version of the table."""

NEVER = -1e9
FOLLOWED_SLACK_SECONDS = 1.5


class FollowedTable:
    """All methods belong to the loop's thread, but for reading `version`."""

    def __init__(
        self, name: str, wait_seconds: float, snapshot: RowsCallback, changed: RowsCallback
    ) -> None:
        """`wait_seconds`: so long a reader's call waits at the store for a change."""
        self.name = name
        self.wait_seconds = wait_seconds
        self.confirmed_at = NEVER
        """The table was surely the store's newest at this time (steady clock, seconds)."""
        self._cache = TableCache()
        self._last_change = -1
        self._snapshot = snapshot
        self._changed = changed

    @property
    def version(self) -> int:
        """The newest version known, -1 before the table was read."""
        return self._cache.version

    def is_doubtful(self, now: float) -> bool:
        """Tells whether a change may have gone by unnoticed for longer than is usual."""
        return now > self.confirmed_at + self.wait_seconds + FOLLOWED_SLACK_SECONDS

    def take(self, delta: TableDelta, confirmed_at: float) -> bool:
        """Takes what the store or another process tells; returns whether it was news."""
        if delta.version < self._cache.version:
            return False
        is_news = bool(delta.rows) or not self._cache.is_known
        if is_news:
            self._last_change = max(
                delta.version if delta.is_whole else 0, *(row.version for row in delta.rows), 0
            )
        if delta.is_whole:
            self._cache.replace(delta.rows, delta.version)
            self._snapshot(delta.rows, delta.version)
        else:
            self._cache.update(delta.rows, delta.version)
            if delta.rows:
                self._changed(delta.rows, delta.version)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return is_news

    def has_changed_after(self, version: int) -> bool:
        """Tells whether a follower at `version` lacks rows; the counter alone rises often."""
        if not self._cache.is_known or self._cache.version <= version:
            return False
        return version < self._last_change

    def news(self, after: int, now: float) -> TableNews:
        """Returns what a follower at version `after` lacks."""
        age = now - self.confirmed_at if self._cache.is_known else -1.0
        return TableNews(self.name, self._cache.delta(after), age)
