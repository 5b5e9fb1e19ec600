"""Identifies an operation in a grantor's token queue."""

import msgspec


class QueueKey(msgspec.Struct, frozen=True):
    """The process that received an operation, and the operation's number in that process."""

    asker: str
    number: int
