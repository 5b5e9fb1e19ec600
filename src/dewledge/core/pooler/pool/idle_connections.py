"""The idle connections of a pool: which one is assigned, and which are closed.

Connections are assigned last in, first out, preferring equal session values, and only to their
caller. Those that have been idle for too long are closed, down to `MIN_IDLE_CONNECTIONS`: a
database counts the connections of a crashed machine against its limit for seconds, and the
machine's successor needs them.
"""

from collections.abc import Callable, Iterator

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER

MAX_IDLE_SECONDS = 1.5
"""Maximum idle time of a connection that belongs to no caller. When idle connections were kept, the
openings of processes that restarted after a loss of power were reset at the database's limit."""
MAX_CALLER_IDLE_SECONDS = 1.5
"""Maximum idle time of a connection that belongs to a caller."""
MIN_IDLE_CONNECTIONS = 1
"""Connections that remain open while idle. Few, because a database counts the connections of a
crashed machine against its limit for seconds."""


class IdleConnections:
    """The idle connections, in the order in which they became idle."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._connections: list[DatabaseConnection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[DatabaseConnection]:
        return iter(self._connections)

    def has(self, caller: str) -> bool:
        """Tells whether there is an idle connection of a caller."""
        return any(connection.caller == caller for connection in self._connections)

    def add(self, connection: DatabaseConnection) -> None:
        """Adds a connection that is idle from now on."""
        connection.mark_idle(self._clock())
        self._connections.append(connection)

    def discard(self, connection: DatabaseConnection) -> None:
        """Removes a connection; does nothing if it is not idle."""
        if connection in self._connections:
            self._connections.remove(connection)

    def pop_usable(self, caller: str, values: dict[str, str]) -> DatabaseConnection | None:
        """Removes and returns a usable connection of a caller, None if there is none."""
        while (position := self._find_best(caller, values)) is not None:
            connection = self._connections.pop(position)
            if not connection.closed and not connection.is_retiring:
                return connection
            connection.close()
        return None

    def trim(self) -> None:
        """Closes connections that have been idle for too long, the longest idle first."""
        now = self._clock()
        while len(self._connections) > MIN_IDLE_CONNECTIONS:
            oldest = self._connections[0]
            max_idle = MAX_IDLE_SECONDS if oldest.caller == NO_CALLER else MAX_CALLER_IDLE_SECONDS
            if oldest.idle_since >= now - max_idle:
                break
            oldest.close()

    def close_all(self) -> None:
        """Closes and removes all connections."""
        connections, self._connections = self._connections, []
        for connection in connections:
            connection.close()

    def _find_best(self, caller: str, values: dict[str, str]) -> int | None:
        """Returns the position of a caller's newest connection, preferring equal session values."""
        best = None
        has_same_values = False
        for index, connection in enumerate(self._connections):
            if connection.caller != caller:
                continue
            is_same = connection.values == values
            if is_same or not has_same_values:
                best = index
                has_same_values = is_same
        return best
