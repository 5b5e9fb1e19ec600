"""Ports: what the shell needs of the outside, each met by an adapter.

All calls block and are made from executor threads, never from the core.
"""

from abc import ABC, abstractmethod

import msgspec

from dewledge.core.proxy.calls import Access, Rows, Statement
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition

NO_LIMIT = float("inf")


class ExecutionResult(msgspec.Struct, frozen=True):
    """A back end's success: its rows, its role, and the position written or read at."""

    rows: Rows
    role: DatabaseRole
    position: LogPosition


class DatabaseConnection(ABC):
    """One open connection; used by one thread at a time.

    Every call raises StatementRefused or StatementFailed when the database surely did not run it,
    and ConnectionBroken when that is not known. `timeout` is in seconds.
    """

    new_work_limit: float = NO_LIMIT

    @abstractmethod
    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        """Runs one statement, in the open transaction if there is one, else on its own.

        A statement whose text begins or ends a transaction must be refused: work in a transaction
        takes effect by `commit` alone.
        """

    @abstractmethod
    def begin(self, timeout: float) -> ExecutionResult:
        """Begins a transaction (writes need the primary)."""

    @abstractmethod
    def commit(self, timeout: float) -> ExecutionResult:
        """Commits; the position is that of the commit."""

    @abstractmethod
    def rollback(self, timeout: float) -> ExecutionResult:
        """Rolls back."""

    def send_new_work_before(self, limit: float) -> None:
        """Sets the monotonic time from which on no new work is sent; ConnectionClosed is raised.

        New work is a BEGIN, and a statement outside of a transaction. A process that was frozen may
        not know that the database is drained, so an adapter should look at the clock right before
        it sends.
        """
        self.new_work_limit = limit

    @abstractmethod
    def close(self) -> None:
        """Closes; never raises. An open transaction is rolled back by the database."""


class DatabaseDriver(ABC):
    """Opens connections to databases of one kind."""

    @abstractmethod
    def connect(self, address: str, timeout: float) -> DatabaseConnection:
        """Opens a connection. Raises ConnectRefused or ConnectionLimitReached."""

    @abstractmethod
    def read_status(self, address: str, timeout: float) -> DatabaseStatus:
        """Asks a database for its status; does not count as a connection.

        Raises DatabaseError if it does not answer in time.
        """


class Row(msgspec.Struct, frozen=True):
    """A row of the table service. version: 0 if it does not exist, else counted by the service."""

    key: str
    version: int
    value: bytes


class RowWrite(msgspec.Struct, frozen=True):
    """A conditional write: refused unless the row's version is `expected_version`."""

    key: str
    expected_version: int
    value: bytes


class TableService(ABC):
    """The platform's transactional table service.

    Every call raises StoreError when unavailable, StoreRateLimited when refused for rate;
    `transact` raises StoreConditionFailed, and StoreOutcomeUnknown when the answer was lost.
    """

    @abstractmethod
    def read(self, key: str, timeout: float) -> Row:
        """Reads one row."""

    @abstractmethod
    def transact(self, writes: tuple[RowWrite, ...], timeout: float) -> tuple[Row, ...]:
        """Writes all rows or none; returns them with their new versions."""


class ObjectStore(ABC):
    """The platform's object store; objects are written whole. Raises as TableService does."""

    @abstractmethod
    def get(self, name: str, timeout: float) -> bytes | None:
        """Returns an object, or None if there is none."""

    @abstractmethod
    def put(self, name: str, data: bytes, timeout: float) -> None:
        """Writes an object; writing the same again is harmless."""


class MachineState(msgspec.Struct, frozen=True):
    """A machine as the platform lists it; the list lags behind reality.

    gossip_address: UDP address of membership, "ip:port"; empty if it equals the peer address.
    """

    name: str
    peer_address: str
    zone: str
    leaving: bool = False
    gossip_address: str = ""


class MachineList(ABC):
    """The platform's list of live and leaving machines."""

    @abstractmethod
    def machines(self, timeout: float) -> tuple[MachineState, ...]:
        """Returns the list. Raises StoreError when unavailable."""
