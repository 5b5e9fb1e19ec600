"""Interface of the table store: versioned rows, a change feed and conditional writes."""

import math
from typing import Protocol

import msgspec

from dewledge.errors import ErrorCode, StoreError

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to the store, excluding the time that a feed is asked to wait."""


class HistoryLost(StoreError):
    """Raised if the feed cannot continue from the requested version; read the table again."""

    code = ErrorCode.NOT_FOUND


class StoreRow(msgspec.Struct, frozen=True):
    """A row of a table. gone: whether the row was removed."""

    key: str
    value: bytes
    version: int
    gone: bool = False


class TableRows(msgspec.Struct, frozen=True):
    """A whole table. store_time: the store's steady clock, seconds.

    version: contains all changes up to this version, and possibly later ones.
    """

    rows: tuple[StoreRow, ...]
    version: int
    store_time: float


class FeedAnswer(msgspec.Struct, frozen=True):
    """The changed rows, in order, and the version from which to continue."""

    rows: tuple[StoreRow, ...]
    version: int


class StoreWrite(msgspec.Struct, frozen=True):
    """A write of a row on condition that its version is `expected`.

    A version includes the store's era (`store_versions`); its number is 0 if no row must exist. The
    version 0 itself stands for "no row, in the store's newest known era".
    """

    table: str
    key: str
    value: bytes
    expected: int


class CoordinationStore(Protocol):
    """The operations required of a table store. Calls block; all may raise StoreError."""

    def change_address(self, address: str) -> None:
        """Sends subsequent calls to another address ("ip:port")."""

    def read_table(self, table: str, limit: float = CALL_TIMEOUT_SECONDS) -> TableRows:
        """Returns all rows of a table. limit: timeout in seconds of each call to the store."""

    def read_row(self, table: str, key: str) -> StoreRow | None:
        """Returns one row, None if it does not exist."""

    def watch_table(self, table: str, after: int, wait: float) -> FeedAnswer:
        """Returns changes after a version, waiting up to `wait` seconds. Raises HistoryLost."""

    def write(self, write: StoreWrite) -> int:
        """Returns the new version. Raises StoreConditionFailed, StoreOutcomeUnknown."""


class PromotionCalls(Protocol):
    """Calls to the platform by the holder of a lease, guarded by a fencing token."""

    def change_address(self, address: str) -> None:
        """Sends subsequent calls to another address ("ip:port")."""

    def promote(
        self,
        group: str,
        database_id: str,
        holder: str,
        fencing_token: int,
        not_after: float = math.inf,
    ) -> bool:
        """Promotes a database to primary. Raises StoreError.

        not_after: latest time at which the call may be sent (steady clock, seconds); a process that
        stood still until later sends nothing. Returns whether the platform accepted the call; False
        if the token is outdated or the database is not running.
        """
