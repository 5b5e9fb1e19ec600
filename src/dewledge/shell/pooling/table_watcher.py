"""Follows one table of the store on a thread of its own, and hands changes to the loop."""

import random
import threading
import time
from collections.abc import Callable

from loguru import logger

from dewledge.core.coordination_store import CoordinationStore, HistoryLost, StoreRow
from dewledge.errors import StoreError

WAIT_SECONDS = 2.0
"""Short: a store that swallows a call is noticed within this and the time-out of a call."""
RETRY_SECONDS = 0.4
LONGEST_RETRY_SECONDS = 1.5
STALE_PAUSE_SECONDS = 0.2


class TableWatcher:
    """Calls `snapshot` with a whole table, then `changed` with later rows, until it is stopped.

    A read that shows an older version than one seen before is read again: the store may answer
    from a copy that lags behind.
    """

    def __init__(
        self,
        store: CoordinationStore,
        table: str,
        snapshot: Callable[[tuple[StoreRow, ...], int], None],
        changed: Callable[[tuple[StoreRow, ...], int], None],
        post: Callable[[Callable[[], None]], None],
    ) -> None:
        self._store = store
        self._table = table
        self._snapshot = snapshot
        self._changed = changed
        self._post = post
        self._stopped = threading.Event()
        self._newest = 0
        self._failures = 0

    def stop(self) -> None:
        """Ends the watch after the call at hand."""
        self._stopped.set()

    def run(self) -> None:
        """Follows the table. Runs on a thread of an executor."""
        while not self._stopped.is_set():
            try:
                self._read()
                self._follow()
            except HistoryLost:
                logger.bind(table=self._table, after=self._newest).info("store_history_lost")
            except StoreError as error:
                self._pause_after(error)

    def _read(self) -> None:
        answer = self._store.read_table(self._table)
        while answer.version < self._newest and not self._stopped.is_set():
            time.sleep(STALE_PAUSE_SECONDS)
            answer = self._store.read_table(self._table)
        self._regained()
        self._newest = answer.version
        self._post(lambda: self._snapshot(answer.rows, answer.version))

    def _follow(self) -> None:
        while not self._stopped.is_set():
            try:
                wait = 0.0 if self._failures else WAIT_SECONDS
                answer = self._store.watch_table(self._table, self._newest, wait)
            except HistoryLost:
                raise
            except StoreError as error:
                self._pause_after(error)
                continue
            self._regained()
            rows, version = answer.rows, answer.version
            self._newest = max(self._newest, version)
            if rows:
                self._post(lambda rows=rows, version=version: self._changed(rows, version))  # type: ignore[misc]

    def _pause_after(self, error: StoreError) -> None:
        self._failures += 1
        if self._failures == 1:
            logger.bind(table=self._table, error=error.message).warning("store_lost")
        longest = min(RETRY_SECONDS * self._failures, LONGEST_RETRY_SECONDS)
        self._stopped.wait(longest * random.uniform(0.5, 1.0))

    def _regained(self) -> None:
        if self._failures:
            logger.bind(table=self._table, failures=self._failures).info("store_regained")
        self._failures = 0
