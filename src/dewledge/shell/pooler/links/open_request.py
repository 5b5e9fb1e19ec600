"""A pool's request to open a database connection, passed from one opener to the next."""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode


class OpenRequest(msgspec.Struct, frozen=True):
    """A requested connection and the callbacks that report its result and its end.

    Exactly one of `opened` and `failed` is called; after `opened`, `closed` is called when the
    connection ends. caller: the caller whose statements the connection carries, empty for
    statements of the pooler itself.
    """

    database_id: str
    caller: str
    opened: Callable[[DatabaseConnection], None]
    failed: Callable[[ErrorCode], None]
    closed: Callable[[DatabaseConnection], None]
