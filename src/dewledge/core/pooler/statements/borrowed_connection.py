"""The database connection that a statement has borrowed from a pool, and the ways to return it."""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.events import PrimaryRefuted
from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection, ignore_holder_state
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.retry_outcomes import ConnectionDisposition
from dewledge.core.pooler.statements.statements import Failure
from dewledge.errors import ErrorCode


class BorrowedConnection:
    """Holds at most one connection. Replies to messages of an earlier `epoch` must be ignored."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        on_holder_state: Callable[[HolderState], None] = ignore_holder_state,
    ) -> None:
        """`on_holder_state`: called when the health state of the connection's holder changes."""
        self._on_holder_state = on_holder_state
        self._services = services
        self._group = group
        self.connection: DatabaseConnection | None = None
        self.epoch = 0

    @property
    def database_id(self) -> str:
        """The id of the connected database, empty without a connection."""
        return "" if self.connection is None else self.connection.database_id

    def hold(self, connection: DatabaseConnection) -> None:
        """Takes over a connection from the pool."""
        self.connection = connection
        connection.on_holder_state = self._on_holder_state

    def _detach(self) -> DatabaseConnection | None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.on_holder_state = ignore_holder_state
        return connection

    def next_epoch(self) -> int:
        """Starts a new epoch for the replies to the next messages, and returns it."""
        self.epoch += 1
        return self.epoch

    def release(self) -> None:
        """Returns the connection to the pool."""
        connection = self._detach()
        if connection is not None:
            self._group.pool(connection.database_id).release(connection)

    def roll_back(self) -> None:
        """Rolls back the transaction on the connection, then returns it to the pool."""
        connection = self._detach()
        if connection is not None:
            self._group.roll_back(connection, self._services.scheduler)

    def discard(self) -> None:
        """Closes a connection whose state is unknown; its pending replies become obsolete."""
        self.epoch += 1
        connection = self._detach()
        if connection is not None:
            connection.close()
            self._group.pool(connection.database_id).release(connection)

    def dispose(self, disposition: ConnectionDisposition, opened_transaction: bool) -> None:
        """Returns or closes the connection as the retry rule decided.

        opened_transaction: whether the proxy opened a transaction on it for this attempt.
        """
        is_released_clean = disposition is ConnectionDisposition.RELEASED_CLEAN
        if disposition is ConnectionDisposition.ROLLED_BACK or (
            is_released_clean and opened_transaction
        ):
            self.roll_back()
        elif disposition is ConnectionDisposition.RELEASED or is_released_clean:
            self.release()
        elif disposition is ConnectionDisposition.CLOSED:
            self.discard()

    def clear_prepared(self) -> None:
        """Clears the record of prepared statements, because the database lacks one of them."""
        if self.connection is not None:
            self.connection.prepared.clear()

    def report_failure(self, failure: Failure, statement_id: str) -> None:
        """Updates the state of the database in the group according to a failure."""
        if failure.code is ErrorCode.NOT_PRIMARY:
            self.refute_primary(statement_id)
        if failure.code is ErrorCode.DATABASE_UNREACHABLE:
            self.suspect()

    def suspect(self) -> None:
        """Reports the database as suspect, because it is unreachable or did not reply."""
        if self.connection is not None:
            self._services.on_unanswered_statement(
                self._group.view.name, self.connection.database_id
            )

    def refute_primary(self, statement_id: str) -> None:
        """Records that the database refused the statement because it is not the primary."""
        connection = self.connection
        if connection is None:
            return
        name = self._group.view.name
        self._services.record(PrimaryRefuted(name, connection.database_id, statement_id))
        self._group.refute_primary(connection.database_id)
