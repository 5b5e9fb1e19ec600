"""The port through which a pool opens connections; provided by the shell."""

from collections.abc import Callable
from typing import Protocol

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode


class Opener(Protocol):
    """Opens connections; implemented by the shell."""

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        """Opens a connection. Calls `opened` or `failed` once; after `opened`, `closed` when it
        ends.

        Args:
            database_id: The database to connect to.
            caller: The caller whose statements the connection carries, as announced to the
                database.
            opened: Called with the new connection.
            failed: Called with the error if no connection could be opened.
            closed: Called with the connection when it has ended.
        """
