"""The possible decisions on a statement or an operation under load: serve, wait or refuse."""

from enum import StrEnum

import msgspec


class RefusalCause(StrEnum):
    """Why a statement or operation was refused; logged and shown by `dewledge explain`.

    Attributes:
        NO_ROOM_IN_TIME: No slot is expected to be free before its deadline.
        NO_CONNECTION: No connection of its caller is available before its deadline.
        NO_PRIMARY: The group has no primary.
        OVER_LIMIT: The rate limit of the caller is used up.
        NO_GRANTOR: The process that grants the caller's rate-limit tokens is unreachable.
        HOLDER_SILENT: No connection holder of the database answers.
    """

    NO_ROOM_IN_TIME = "no_room_in_time"
    NO_CONNECTION = "no_connection"
    NO_PRIMARY = "no_primary"
    OVER_LIMIT = "over_limit"
    NO_GRANTOR = "no_grantor"
    HOLDER_SILENT = "holder_silent"


class Serve(msgspec.Struct, frozen=True):
    """The statement may start now."""


class WaitUntil(msgspec.Struct, frozen=True):
    """The statement may wait; it must be checked again at `at` or earlier (steady clock,
    seconds)."""

    at: float


class Refuse(msgspec.Struct, frozen=True):
    """The statement can't be served before its deadline.

    Attributes:
        cause: Why it is refused.
        come_back_seconds: Seconds from now until the client may retry.
    """

    cause: RefusalCause
    come_back_seconds: float


Verdict = Serve | WaitUntil | Refuse
