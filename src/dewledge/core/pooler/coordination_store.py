"""The table store as a contract: rows with versions, a feed of changes, conditional writes."""

from typing import Protocol

import msgspec

from dewledge.errors import ErrorCode, StoreError

CALL_LIMIT_SECONDS = 1.0
"""Seconds that one call to the store may take, beside what a feed is asked to wait: a silent store
is noticed within this."""


class HistoryLost(StoreError):
    """The feed cannot go on from the version asked for; the table must be read anew."""

    code = ErrorCode.NOT_FOUND


class StoreRow(msgspec.Struct, frozen=True):
    """One row; `gone` marks one that was removed."""

    key: str
    value: bytes
    version: int
    gone: bool = False


class TableRows(msgspec.Struct, frozen=True):
    """A whole table at one version. `store_time`: the store's steady clock, seconds."""

    rows: tuple[StoreRow, ...]
    version: int
    store_time: float


class FeedAnswer(msgspec.Struct, frozen=True):
    """The rows that changed, in order, and the version to go on from."""

    rows: tuple[StoreRow, ...]
    version: int


class StoreWrite(msgspec.Struct, frozen=True):
    """One row to put if it still has the version `expected`; 0: if it is not there."""

    table: str
    key: str
    value: bytes
    expected: int


class CoordinationStore(Protocol):
    """What the product needs of a table store. Calls block; all raise StoreError."""

    def change_address(self, address: str) -> None:
        """Sends later calls to another "ip:port"."""

    def read_table(self, table: str, limit: float = CALL_LIMIT_SECONDS) -> TableRows:
        """Returns all rows of a table. `limit`: seconds for each call that it takes."""

    def read_row(self, table: str, key: str) -> StoreRow | None:
        """Returns one row, None if it is not there."""

    def watch_table(self, table: str, after: int, wait: float) -> FeedAnswer:
        """Returns changes after a version, waiting `wait` seconds. Raises HistoryLost."""

    def write(self, write: StoreWrite) -> int:
        """Returns the new version. Raises StoreConditionFailed, StoreOutcomeUnknown."""


class PromotionCalls(Protocol):
    """Calls that the platform takes from the holder of a lease, guarded by a fencing token."""

    def promote(self, group: str, database_id: str, holder: str, fencing_token: int) -> bool:
        """Returns whether it was taken; False for an old token or a database that is not running.

        Raises StoreError.
        """
