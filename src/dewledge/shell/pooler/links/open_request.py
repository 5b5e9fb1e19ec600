"""A connection to a database that a pool asks for, as the openers of this folder hand it on."""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode


class OpenRequest(msgspec.Struct, frozen=True):
    """`opened` or `failed` is called once; after `opened`, `closed` at the connection's end.

    caller: whose statements the connection carries, empty for the process's own.
    """

    database_id: str
    caller: str
    opened: Callable[[DatabaseConnection], None]
    failed: Callable[[ErrorCode], None]
    closed: Callable[[DatabaseConnection], None]
