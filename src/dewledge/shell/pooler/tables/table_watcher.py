"""Reads one table of the store on a thread of its own, and hands what it finds to the loop.

A reader follows the table's changes without end; a process that follows others reads only when it
is asked to, because none of those it follows knows surely how new the table is. Owns the version
read last and the pauses after failures.
"""

import random
import threading
import time
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.coordination_store import (
    CALL_TIMEOUT_SECONDS,
    CoordinationStore,
    HistoryLost,
)
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.errors import StoreError

FIRST_WAIT_SECONDS = 2.0
"""For a change, until `set_wait` says otherwise: a store that swallows a call is noticed within
this and a call's time limit."""
RETRY_SECONDS = 0.4
"""After a first failed call."""
LONGEST_RETRY_SECONDS = 1.5
"""After many failed calls."""
STALE_PAUSE_SECONDS = 0.2
"""After an answer from a copy that lags behind."""
FIRST_READ_LIMIT_SECONDS = 0.5
"""For a read of the whole table by a process that knows nothing yet."""
FIRST_READ_PAUSE_SECONDS = 0.15
"""After a first read that failed: a process that knows nothing cannot serve, so it asks again
soon."""
SPACING_SECONDS = 0.1
"""Between two calls of a feed: many changes at once are taken together."""

TakenCallback = Callable[[TableDelta, float], None]
"""Gets what was read, and a time at which it was surely the newest (steady clock)."""


class TableWatcher:
    """Calls `taken` with a whole table, then with later rows.

    A read that shows an older version than one seen before is read again: the store may answer
    from a copy that lags behind.
    """

    def __init__(
        self,
        store: CoordinationStore,
        table: str,
        known_version: Callable[[], int],
        taken: TakenCallback,
        post: Callable[[Callable[[], None]], None],
        confirms_whole: bool = False,
    ) -> None:
        """`known_version`: what the process knows already, be it through others; -1 for nothing.

        confirms_whole: whether a table read as a whole is to be confirmed by the feed at once.
        """
        self._wait_seconds = FIRST_WAIT_SECONDS
        self._confirms_whole = confirms_whole
        self._store = store
        self._table = table
        self._known_version = known_version
        self._taken = taken
        self._post = post
        self._stopped = threading.Event()
        self._wanted = threading.Event()
        self._is_asked = True
        """Whether a read was asked for, and not only the feed; so is the first one."""
        self._is_reader = False
        self._newest = -1
        self._has_read_whole = False
        self._has_brought_rows = False
        self._failures = 0
        self._wanted.set()

    def set_reader(self, is_reader: bool) -> None:
        """Follows the table from now on, or reads only when asked to."""
        self._is_reader = is_reader
        if is_reader:
            self._wanted.set()
        elif not self._is_asked and not self._stopped.is_set():
            self._wanted.clear()

    def set_wait(self, seconds: float) -> None:
        """Sets for how long later calls wait for a change."""
        self._wait_seconds = seconds

    def read_once(self) -> None:
        """Has the table's changes read once, soon."""
        self._is_asked = True
        self._wanted.set()

    def stop(self) -> None:
        """Ends the watch after the call at hand."""
        self._stopped.set()
        self._wanted.set()

    def run(self) -> None:
        """Reads the table once, then as `set_reader` tells. Runs on a thread of an executor."""
        while not self._stopped.is_set():
            self._wanted.wait()
            if self._stopped.is_set():
                return
            self._is_asked = False
            if not self._is_reader:
                self._wanted.clear()
            self._read()

    def _read(self) -> None:
        self._newest = max(self._newest, self._known_version())
        try:
            if self._newest < 0:
                self._read_whole()
            else:
                self._read_changes()
            self._regained()
        except HistoryLost:
            logger.bind(table=self._table, after=self._newest).info("store_history_lost")
            self._read_whole_after_loss()
        except StoreError as error:
            self._pause_after(error)

    def _read_whole_after_loss(self) -> None:
        try:
            self._read_whole()
            self._regained()
        except StoreError as error:
            self._pause_after(error)

    def _read_whole(self) -> None:
        limit = FIRST_READ_LIMIT_SECONDS if self._newest < 0 else CALL_TIMEOUT_SECONDS
        sent_at = time.monotonic()
        answer = self._store.read_table(self._table, limit)
        while answer.version < self._newest and not self._stopped.is_set():
            time.sleep(STALE_PAUSE_SECONDS)
            sent_at = time.monotonic()
            answer = self._store.read_table(self._table)
        self._newest = answer.version
        self._has_read_whole = True
        self._hand_over(TableDelta(answer.rows, answer.version, True), sent_at)

    def _read_changes(self) -> None:
        # After a call that brought rows the table is confirmed as of the start of that call, which
        # may have waited: the next asks at once, or all followers would come to doubt the table.
        is_quick = self._failures > 0 or not self._is_reader or self._has_brought_rows
        is_quick = is_quick or (self._confirms_whole and self._has_read_whole)
        self._has_read_whole = False
        wait = 0.0 if is_quick else self._wait_seconds
        sent_at = time.monotonic()
        answer = self._store.watch_table(self._table, self._newest, wait)
        self._newest = max(self._newest, answer.version)
        # An answer without rows was given when the wait was over, so it holds for that time.
        true_at = sent_at if answer.rows else sent_at + min(wait, time.monotonic() - sent_at)
        self._hand_over(TableDelta(answer.rows, self._newest, False), true_at)
        self._has_brought_rows = bool(answer.rows)
        if answer.rows:
            self._stopped.wait(SPACING_SECONDS)

    def _hand_over(self, delta: TableDelta, true_at: float) -> None:
        self._post(lambda: self._taken(delta, true_at))

    def _pause_after(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == 1:
            logger.bind(table=self._table, error=error.message).warning("store_lost")
        if not self._is_reader and self._newest >= 0:
            return
        self.read_once()
        longest = min(RETRY_SECONDS * self._failures, LONGEST_RETRY_SECONDS)
        if self._newest < 0:
            longest = FIRST_READ_PAUSE_SECONDS
        self._stopped.wait(longest * random.uniform(0.5, 1.0))

    def _regained(self) -> None:
        if self._failures:
            logger.bind(table=self._table, failures=self._failures).info("store_regained")
        self._failures = 0
