"""Reads one table of the store on a separate thread and posts the results to the event loop.

In a reader process the watcher polls the table's change feed continuously. In a follower it reads
only on request, for instance when no source has a recent confirmation of the table.
"""

import random
import threading
import time
from collections.abc import Callable, Sequence

import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import (
    CALL_TIMEOUT_SECONDS,
    CoordinationStore,
    HistoryLost,
    StoreRow,
    TableRows,
)
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.core.pooler.store_versions import era_of
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import StoreError

DEFAULT_WAIT_SECONDS = 2.0
"""Initial wait for a change, until `set_wait` is called. A call that the store never answers is
detected within this plus the call's timeout."""
RETRY_PAUSE_SECONDS = 0.4
"""Maximum pause after the first failed call; grows linearly with further failures."""
MAX_RETRY_PAUSE_SECONDS = 1.5
"""Upper limit of the pause after failed calls."""
STALE_READ_PAUSE_SECONDS = 0.2
"""Pause after a read that returned an older version than one already seen."""
FIRST_READ_TIMEOUT_SECONDS = 0.5
"""Timeout of a read of the whole table before any version of it is known."""
FIRST_READ_PAUSE_SECONDS = 0.15
"""Maximum pause after a failed first read; short, as a process cannot serve without the table."""
FEED_PAUSE_SECONDS = 0.1
"""Pause after a call of the change feed that returned rows, to batch further changes."""

DeltaCallback = Callable[[TableDelta, float], None]
"""Receives a delta and a time at which it was known to be current (monotonic clock, seconds)."""


class _WholeRead(msgspec.Struct, frozen=True):
    """A whole table, and when the call for it was sent (monotonic clock, seconds)."""

    table: TableRows
    sent_at: float


class TableWatcher:
    """Calls `on_delta` on the loop with the whole table first, then with later changes.

    A read of the whole table that returns an older version than one known is repeated, since the
    store may answer from a stale replica.
    """

    def __init__(
        self,
        store: CoordinationStore,
        table: str,
        known_version: Callable[[], int],
        on_delta: DeltaCallback,
        post: Callable[[Callable[[], None]], None],
        confirms_whole: bool = False,
        restore_wait: float = 0.0,
    ) -> None:
        """Requests a first read; `run` makes it.

        known_version: returns the cached version, read here or received from a source; -1 for
        none. post: runs a callback on the loop's thread. confirms_whole: whether the change feed
        is queried without a wait after a read of the whole table, to confirm it. restore_wait:
        seconds after a restore of the store in which the owners of the rows write them again.
        """
        self._wait_seconds = DEFAULT_WAIT_SECONDS
        self._confirms_whole = confirms_whole
        self._restore_wait = restore_wait
        self._store = store
        self._table = table
        self._known_version = known_version
        self._on_delta = on_delta
        self._post = post
        self._stopped = threading.Event()
        self._wake_up = threading.Event()
        self._is_read_requested = True
        """Whether a single read was requested; set initially for the first read."""
        self._is_reader = False
        self._newest_version = -1
        self._has_read_whole = False
        self._last_call_had_rows = False
        self._failures = 0
        self._wake_up.set()

    def set_reader(self, is_reader: bool) -> None:
        """Switches between polling the change feed and reading only on request."""
        self._is_reader = is_reader
        if is_reader:
            self._wake_up.set()
        elif not self._is_read_requested and not self._stopped.is_set():
            self._wake_up.clear()

    def set_wait(self, seconds: float) -> None:
        """Sets how many seconds later calls wait for a change."""
        self._wait_seconds = seconds

    def read_once(self) -> None:
        """Requests one read of the table's changes."""
        self._is_read_requested = True
        self._wake_up.set()

    def stop(self) -> None:
        """Ends `run` after the call in progress."""
        self._stopped.set()
        self._wake_up.set()

    def run(self) -> None:
        """Reads the table once, then as set by `set_reader`, until `stop`. Blocks its thread."""
        while not self._stopped.is_set():
            self._wake_up.wait()
            if self._stopped.is_set():
                return
            self._is_read_requested = False
            if not self._is_reader:
                self._wake_up.clear()
            self._read()

    def _read(self) -> None:
        self._newest_version = max(self._newest_version, self._known_version())
        try:
            if self._newest_version < 0:
                self._read_whole()
            else:
                self._read_changes()
            self._record_success()
        except HistoryLost:
            logger.bind(table=self._table, after=self._newest_version).info("store_history_lost")
            self._read_whole_after_loss()
        except Exception as error:
            # Nobody else reads the table: the watcher goes on whatever one answer held.
            self._pause_after(error)

    def _read_whole_after_loss(self) -> None:
        try:
            self._read_whole()
            self._record_success()
        except Exception as error:
            self._pause_after(error)

    def _read_whole(self) -> None:
        limit = FIRST_READ_TIMEOUT_SECONDS if self._newest_version < 0 else CALL_TIMEOUT_SECONDS
        whole = self._call_for_whole(limit)
        if self._is_restored(whole.table.version):
            self._log_restore(whole.table.version)
            if self._stopped.wait(self._restore_wait):
                return
            whole = self._call_for_whole()
        while whole.table.version < self._newest_version and not self._stopped.is_set():
            time.sleep(STALE_READ_PAUSE_SECONDS)
            whole = self._call_for_whole()
        self._newest_version = whole.table.version
        self._has_read_whole = True
        delta = TableDelta(whole.table.rows, whole.table.version, True)
        self._post_delta(delta, whole.sent_at)

    def _call_for_whole(self, limit: float = CALL_TIMEOUT_SECONDS) -> _WholeRead:
        sent_at = time.monotonic()
        answer = self._store.read_table(self._table, limit)
        self._log_read(sent_at, answer.rows, answer.version, True)
        return _WholeRead(answer, sent_at)

    def _is_restored(self, version: int) -> bool:
        """Returns whether the store was restored after the newest known version."""
        return self._newest_version >= 0 and era_of(self._newest_version) < era_of(version)

    def _read_changes(self) -> None:
        # A call that returned rows confirms the table only as of its start, which may be long ago.
        # The next call therefore does not wait; else the confirmation would get too old.
        skips_wait = self._failures > 0 or not self._is_reader or self._last_call_had_rows
        skips_wait = skips_wait or (self._confirms_whole and self._has_read_whole)
        self._has_read_whole = False
        wait = 0.0 if skips_wait else self._wait_seconds
        sent_at = time.monotonic()
        answer = self._store.watch_table(self._table, self._newest_version, wait)
        if answer.rows:
            self._log_read(sent_at, answer.rows, answer.version, False)
        self._newest_version = max(self._newest_version, answer.version)
        # An answer without rows is sent when the wait is over, so the table was current then.
        confirmed_at = sent_at if answer.rows else sent_at + min(wait, time.monotonic() - sent_at)
        self._post_delta(TableDelta(answer.rows, self._newest_version, False), confirmed_at)
        self._last_call_had_rows = bool(answer.rows)
        if answer.rows:
            self._stopped.wait(FEED_PAUSE_SECONDS)

    def _log_restore(self, version: int) -> None:
        logger.bind(
            table=self._table,
            era=era_of(version),
            version=version,
            known=self._newest_version,
            wait_ms=round(self._restore_wait * MILLISECONDS_PER_SECOND),
        ).warning("store_restored")

    def _log_read(
        self, sent_at: float, rows: Sequence[StoreRow], version: int, is_whole: bool
    ) -> None:
        logger.bind(
            table=self._table,
            version=version,
            known=self._newest_version,
            whole=is_whole,
            rows=len(rows),
            bytes=sum(len(row.value) for row in rows),
            took_ms=round((time.monotonic() - sent_at) * MILLISECONDS_PER_SECOND),
        ).info("store_read")

    def _post_delta(self, delta: TableDelta, confirmed_at: float) -> None:
        self._post(lambda: self._on_delta(delta, confirmed_at))

    def _pause_after(self, error: Exception) -> None:
        self._failures += 1
        if not isinstance(error, StoreError):
            logger.bind(table=self._table).exception("table_read_failed")
        elif self._failures == 1:
            logger.bind(table=self._table, error=error.message).warning("store_lost")
        else:
            logger.bind(table=self._table, failures=self._failures, error=error.message).info(
                "store_call_failed"
            )
        # The first failure may be that of a kept connection; the next call has a new one.
        is_repeated = self._is_reader or self._newest_version < 0 or self._failures == 1
        if not is_repeated:
            return
        self.read_once()
        max_pause = min(RETRY_PAUSE_SECONDS * self._failures, MAX_RETRY_PAUSE_SECONDS)
        if self._newest_version < 0:
            max_pause = FIRST_READ_PAUSE_SECONDS
        self._stopped.wait(max_pause * random.uniform(0.5, 1.0))

    def _record_success(self) -> None:
        if self._failures:
            logger.bind(table=self._table, failures=self._failures).info("store_regained")
        self._failures = 0
