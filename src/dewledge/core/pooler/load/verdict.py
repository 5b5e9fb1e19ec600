"""What is decided of a statement or an operation under load: serve, wait or refuse."""

from enum import StrEnum

import msgspec


class RefusalCause(StrEnum):
    """Why something was refused; the same words stand in the log and in `dewledge explain`.

    NO_ROOM_IN_TIME: it would get no slot in the time that it has.
    NO_CONNECTION: the database has no connection left for its caller in that time.
    NO_PRIMARY: nobody leads the group. OVER_LIMIT: the caller's rate limit is used up.
    NO_GRANTOR: no process that grants the caller's tokens was reached.
    HOLDER_SILENT: no process that holds connections to the database answers.
    """

    NO_ROOM_IN_TIME = "no_room_in_time"
    NO_CONNECTION = "no_connection"
    NO_PRIMARY = "no_primary"
    OVER_LIMIT = "over_limit"
    NO_GRANTOR = "no_grantor"
    HOLDER_SILENT = "holder_silent"


class Serve(msgspec.Struct, frozen=True):
    """It may begin now."""


class WaitUntil(msgspec.Struct, frozen=True):
    """It may wait, and is judged anew at `at` at the latest (steady clock, seconds)."""

    at: float


class Refuse(msgspec.Struct, frozen=True):
    """It can't be served in its time; come_back_seconds: from now, when there will be room."""

    cause: RefusalCause
    come_back_seconds: float


Verdict = Serve | WaitUntil | Refuse
