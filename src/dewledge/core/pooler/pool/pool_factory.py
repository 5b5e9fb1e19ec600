"""Creates the pools of a group and logs what they report.

Translates reports of a pool (database full, database silent, caller over its fair share) into log
events.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.database_silence import DatabaseSilence
from dewledge.core.pooler.events import (
    CallerHeldToShare,
    DatabaseFull,
    DatabaseHasRoom,
    DatabaseSilenceJudged,
    PoolingEvent,
)
from dewledge.core.pooler.pool.connection_pool import ConnectionPool, PoolRules
from dewledge.core.pooler.pool.fair_share_watch import OverFairShare
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.sharing.holders import Holding
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

CHANNELS_PER_DATABASE = 64
"""Statements that a process may send through the holders of a database concurrently; the holders
queue them. Bounds the number of channels."""


class PoolFactory:
    """Creates the pool for a database when called."""

    def __init__(
        self,
        group: str,
        clock: Callable[[], float],
        record: Callable[[PoolingEvent], None],
        judges_silence: bool,
        is_fair: bool,
    ) -> None:
        self._group = group
        self._clock = clock
        self._record = record
        self._judges_silence = judges_silence
        self._is_fair = is_fair

    def __call__(
        self, database_id: str, limit: int, opener: Opener, holding: Holding
    ) -> ConnectionPool:
        """Returns a pool of up to `limit` connections."""
        window = self.create_window(database_id, holding)
        silence = self._create_silence(database_id)
        rules = PoolRules(silence, self._is_fair)
        pool = ConnectionPool(database_id, limit, opener, self._clock, window, rules)
        pool.on_over_fair_share(lambda report: self._log_over_fair_share(database_id, report))
        return pool

    def create_window(self, database_id: str, holding: Holding) -> SlotWindow | None:
        """Returns the limit of concurrent statements; None if connection holders apply their
        own."""
        if not holding.is_direct:
            return None

        def changed(is_full: bool, size: int, max_size: int) -> None:
            if is_full:
                self._record(DatabaseFull(self._group, database_id, size, max_size))
            else:
                self._record(DatabaseHasRoom(self._group, database_id))

        return SlotWindow(holding.connections, changed)

    def _create_silence(self, database_id: str) -> DatabaseSilence:
        def changed(is_silent: bool, seconds: float) -> None:
            lasted_ms = int(seconds * MILLISECONDS_PER_SECOND)
            self._record(DatabaseSilenceJudged(self._group, database_id, is_silent, lasted_ms))

        return DatabaseSilence(self._clock, self._judges_silence, changed)

    def _log_over_fair_share(self, database_id: str, report: OverFairShare) -> None:
        waited_ms = int(report.waited_seconds * MILLISECONDS_PER_SECOND)
        self._record(
            CallerHeldToShare(
                self._group, database_id, report.caller, report.waiting, waited_ms, report.served
            )
        )


def pool_limit(holding: Holding) -> int:
    """Returns the maximum number of connections or channels of a pool."""
    return holding.connections if holding.is_direct else CHANNELS_PER_DATABASE
