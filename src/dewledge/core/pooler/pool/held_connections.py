"""The connections of one pool, idle, lent or being opened, and the limit on their number.

Owns the counts on which the other parts of the pool rest. It decides nothing: who gets a connection
is decided in `connection_dispatch`, for whom one is opened in `caller_openings`.
"""

import itertools

from dewledge.core.pooler.pool.connection_openings import ConnectionOpenings
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.idle_connections import IdleConnections


class HeldConnections:
    """Counts of one pool; `limit` is the most connections that it may hold, opening ones included.

    A connection that is lent is in use by one statement or transaction.
    """

    def __init__(self, limit: int, idle: IdleConnections, openings: ConnectionOpenings) -> None:
        self.idle = idle
        self.openings = openings
        self.lent: set[DatabaseConnection] = set()
        self._limit = limit
        self._in_use = 0

    @property
    def limit(self) -> int:
        """The most connections that the pool may hold."""
        return self._limit

    @property
    def in_use(self) -> int:
        """The connections that are lent."""
        return self._in_use

    @property
    def size(self) -> int:
        """All connections, those being opened included."""
        return self._in_use + self.openings.total + len(self.idle)

    @property
    def running(self) -> int:
        """The statements that are at the database, or were sent there."""
        return sum(each.is_single or each.unanswered > 0 for each in self.lent)

    @property
    def is_below_limit(self) -> bool:
        """Whether a further connection may be opened or kept."""
        return self.size < self._limit

    @property
    def is_cut_off(self) -> bool:
        """Whether no connection that stands or is being opened will serve those that wait."""
        standing = itertools.chain(self.lent, self.idle)
        return not self.openings.total and all(each.is_retiring for each in standing)

    def change_limit(self, limit: int) -> None:
        """Sets another limit; connections beyond it are closed as they come back."""
        self._limit = limit

    def lend(self, connection: DatabaseConnection) -> None:
        """A statement uses a connection from now on."""
        self._in_use += 1
        self.lent.add(connection)

    def take_back(self, connection: DatabaseConnection) -> None:
        """No statement uses a connection any more; it is not yet idle."""
        self._in_use -= 1
        self.lent.discard(connection)

    def is_reusable(self, connection: DatabaseConnection) -> bool:
        """Tells whether a connection that came back is of known state and of the present route."""
        if connection.closed or connection.unanswered or connection.is_retiring:
            return False
        return connection.generation == self.openings.generation

    def close_idle(self, connection: DatabaseConnection) -> None:
        """Closes one idle connection, to open one for another caller in its place."""
        self.idle.discard(connection)
        connection.close()
