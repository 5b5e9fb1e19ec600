"""The connections of one pool that nobody uses now: which one is given out, which are closed.

Decision: last in, first out, the one with the same session values first, each to its caller only;
what has been idle for longer than `IDLE_SECONDS` is closed, but for `KEPT_IDLE`. Reason: a database
counts the connections of a machine that lost power for seconds, and its successor needs room.
"""

from collections.abc import Callable, Iterator

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER

IDLE_SECONDS = 1.5
"""Seconds; a connection that has been idle for longer is closed. A database goes on counting the
connections of a machine that lost power against its limit."""
CALLER_IDLE_SECONDS = 1.5
"""Seconds; the same for a connection that only one caller's statements may use."""
KEPT_IDLE = 1
"""Connections that stay open while idle. Few: a database goes on counting those of a machine that
lost power for seconds, and its successor needs room under the same limit."""


class IdleConnections:
    """Given out last in, first out, the one of the same values first; each to its caller only."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._connections: list[DatabaseConnection] = []

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[DatabaseConnection]:
        return iter(self._connections)

    def has(self, caller: str) -> bool:
        """Tells whether one is of a caller."""
        return any(connection.caller == caller for connection in self._connections)

    def add(self, connection: DatabaseConnection) -> None:
        """Nobody uses a connection from now on."""
        connection.rest(self._clock())
        self._connections.append(connection)

    def discard(self, connection: DatabaseConnection) -> None:
        """Forgets a connection; one that is not here is no error."""
        if connection in self._connections:
            self._connections.remove(connection)

    def take(self, caller: str, values: dict[str, str]) -> DatabaseConnection | None:
        """Returns a caller's connection, None if there is none that can be used."""
        while (position := self._best(caller, values)) is not None:
            connection = self._connections.pop(position)
            if not connection.closed and not connection.is_retiring:
                return connection
            connection.close()
        return None

    def trim(self) -> None:
        """Closes those that have been idle for a while, the longest idle first."""
        now = self._clock()
        while len(self._connections) > KEPT_IDLE:
            oldest = self._connections[0]
            kept = IDLE_SECONDS if oldest.caller == NO_CALLER else CALLER_IDLE_SECONDS
            if oldest.idle_since >= now - kept:
                break
            oldest.close()

    def close_all(self) -> None:
        """Closes and forgets all."""
        connections, self._connections = self._connections, []
        for connection in connections:
            connection.close()

    def _best(self, caller: str, values: dict[str, str]) -> int | None:
        found = None
        has_same_values = False
        for index, connection in enumerate(self._connections):
            if connection.caller != caller:
                continue
            is_same = connection.values == values
            if is_same or not has_same_values:
                found = index
                has_same_values = is_same
        return found
