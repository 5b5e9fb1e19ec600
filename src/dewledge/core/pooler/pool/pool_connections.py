"""The connections of a pool: idle, in use or being opened, and the limit on their number.

This module keeps track of the connections. `connection_dispatch` assigns them to statements, and
`caller_openings` decides for which callers they are opened.
"""

import itertools

from dewledge.core.pooler.pool.connection_openings import ConnectionOpenings
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.idle_connections import IdleConnections


class PoolConnections:
    """The connections of a pool. The limit includes connections that are being opened."""

    def __init__(self, limit: int, idle: IdleConnections, openings: ConnectionOpenings) -> None:
        self.idle = idle
        self.openings = openings
        self.in_use_connections: set[DatabaseConnection] = set()
        self._limit = limit
        self._in_use = 0

    @property
    def limit(self) -> int:
        """The maximum number of connections."""
        return self._limit

    @property
    def in_use(self) -> int:
        """The number of connections that statements or transactions use."""
        return self._in_use

    @property
    def size(self) -> int:
        """The number of all connections, including those being opened."""
        return self._in_use + self.openings.total + len(self.idle)

    @property
    def running(self) -> int:
        """The number of single statements with a connection, and of transactions with an unanswered
        statement."""
        return sum(each.is_single or each.unanswered_count > 0 for each in self.in_use_connections)

    @property
    def is_below_limit(self) -> bool:
        """Whether another connection may be opened or retained."""
        return self.size < self._limit

    @property
    def has_no_usable(self) -> bool:
        """Whether no connection is being opened and all existing ones are retiring."""
        existing = itertools.chain(self.in_use_connections, self.idle)
        return not self.openings.total and all(each.is_retiring for each in existing)

    def change_limit(self, limit: int) -> None:
        """Sets another limit; connections beyond it are closed when they are released."""
        self._limit = limit

    def mark_in_use(self, connection: DatabaseConnection) -> None:
        """Records that a statement uses a connection."""
        self._in_use += 1
        self.in_use_connections.add(connection)

    def mark_returned(self, connection: DatabaseConnection) -> None:
        """Records that no statement uses a connection; it is not idle yet."""
        self._in_use -= 1
        self.in_use_connections.discard(connection)

    def is_reusable(self, connection: DatabaseConnection) -> bool:
        """Tells whether a released connection has a known state and uses the current route."""
        if connection.closed or connection.unanswered_count or connection.is_retiring:
            return False
        return connection.generation == self.openings.generation

    def close_idle(self, connection: DatabaseConnection) -> None:
        """Closes an idle connection to open one for another caller in its place."""
        self.idle.discard(connection)
        connection.close()
