"""Which operation asks for a token: its key in a grantor's queue."""

import msgspec


class QueueKey(msgspec.Struct, frozen=True):
    """An operation that asks for a token: the process that took it, and its number there."""

    asker: str
    number: int
