"""How a pool has connections opened: the port that the shell provides."""

from collections.abc import Callable
from typing import Protocol

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode


class Opener(Protocol):
    """Opens connections; the shell meets it."""

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        """Calls `opened` or `failed` once; after `opened`, `closed` at the connection's end.

        caller: whose statements the connection carries, as the database is told.
        """
