"""The database connection that a statement holds, and every way to let go of it."""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.events import PrimaryRefuted
from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection, ignore_holder
from dewledge.core.pooler.sessions.services import PoolServices


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
