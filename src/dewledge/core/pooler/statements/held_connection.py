"""The database connection that a statement holds, and every way to let go of it.

It owns the connection between the pool that gave it and the pool that takes it back.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.events import PrimaryRefuted
from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection, ignore_holder
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.retry_outcomes import ConnectionFate
from dewledge.core.pooler.statements.statements import Failure
from dewledge.errors import ErrorCode


class HeldConnection:
    """At most one connection. `epoch` rises whenever answers still to come stop to count."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        holder_judged: Callable[[HolderState], None] = ignore_holder,
    ) -> None:
        """`holder_judged`: called when the process that carries the connection is judged anew."""
        self._holder_judged = holder_judged
        self._services = services
        self._group = group
        self.connection: DatabaseConnection | None = None
        self.epoch = 0

    @property
    def database_id(self) -> str:
        """The database of the connection, empty without one."""
        return "" if self.connection is None else self.connection.database_id

    def take(self, connection: DatabaseConnection) -> None:
        """Holds a connection."""
        self.connection = connection
        connection.holder_judged = self._holder_judged

    def _let_go(self) -> DatabaseConnection | None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.holder_judged = ignore_holder
        return connection

    def next_epoch(self) -> int:
        """Returns the epoch of the answers to what is sent now."""
        self.epoch += 1
        return self.epoch

    def release(self) -> None:
        """Gives the connection back for others to use."""
        connection = self._let_go()
        if connection is not None:
            self._group.pool(connection.database_id).release(connection)

    def roll_back(self) -> None:
        """Ends the transaction on the connection, then gives it back."""
        connection = self._let_go()
        if connection is not None:
            self._group.roll_back(connection, self._services.scheduler)

    def drop(self) -> None:
        """Closes a connection whose state is unknown; an answer pending there is never read."""
        self.epoch += 1
        connection = self._let_go()
        if connection is not None:
            connection.close()
            self._group.pool(connection.database_id).release(connection)

    def settle(self, fate: ConnectionFate, has_begun: bool) -> None:
        """Does with the connection what the retry rule says.

        has_begun: whether the proxy opened a transaction of its own on it.
        """
        is_given_back = fate is ConnectionFate.GIVEN_BACK
        if fate is ConnectionFate.ROLLED_BACK or (is_given_back and has_begun):
            self.roll_back()
        elif fate is ConnectionFate.RELEASED or is_given_back:
            self.release()
        elif fate is ConnectionFate.CLOSED:
            self.drop()

    def forget_prepared(self) -> None:
        """The database does not know a prepared statement that should stand there."""
        if self.connection is not None:
            self.connection.prepared.clear()

    def take_failure(self, failure: Failure, statement_id: str) -> None:
        """Tells the group what a failure shows of the database."""
        if failure.code is ErrorCode.NOT_PRIMARY:
            self.refute_primary(statement_id)
        if failure.code is ErrorCode.DATABASE_UNREACHABLE:
            self.suspect()

    def suspect(self) -> None:
        """Tells that the database has not answered."""
        if self.connection is not None:
            self._services.suspect(self._group.view.name, self.connection.database_id)

    def refute_primary(self, statement_id: str) -> None:
        """Tells that the database refused work because it is not the primary."""
        connection = self.connection
        if connection is None:
            return
        name = self._group.view.name
        self._services.record(PrimaryRefuted(name, connection.database_id, statement_id))
        self._group.refute_primary(connection.database_id)
