"""The wait before a database as it is known, with the age of what it rests on."""

import msgspec


class ExpectedWait(msgspec.Struct, frozen=True):
    """seconds: until a slot is free for the statement. age_seconds: of the word it rests on.

    An age of 0 is the process's own count.
    """

    seconds: float
    age_seconds: float = 0.0
