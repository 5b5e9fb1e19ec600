"""The causes of a loss, and which words of the log name one by themselves."""

from enum import StrEnum

import msgspec


class LostCause(StrEnum):
    """What stood first in the chain."""

    STOOD_STILL = "process_stood_still"
    STARTING = "process_starting"
    PLANNED_CHANGE = "planned_change_of_primary"
    PRIMARY_LOST = "primary_lost"
    CUT = "cut"
    STORE_AWAY = "store_away"
    PROCESS_LOST = "other_process_lost"
    DATABASE_SILENT = "database_silent"
    ANSWER_LOST = "answer_lost"
    REPLICAS_BEHIND = "replicas_behind"
    LOAD = "load"
    NO_ROOM_IN_TIME = "no_room_in_time"
    NO_CONNECTION = "no_connection"
    NO_PRIMARY = "no_primary"
    HOLDER_SILENT = "holder_silent"
    OVER_LIMIT = "over_limit"
    NO_GRANTOR = "no_grantor"
    KEY_NOT_KNOWN = "key_not_known"
    COMING_BACK = "coming_back"
    CLIENT_RESTED = "client_rested_too_long"
    PROCESS_ENDED = "process_ended"
    UNKNOWN = "not_known"


class Finding(msgspec.Struct, frozen=True):
    """A cause, and the line or result that shows it."""

    cause: LostCause
    shown_by: str


COMING_BACK_SECONDS = 3.0
"""A process that has just started opens its connections and fills its buckets within this."""
COMING_BACK = Finding(LostCause.COMING_BACK, "pooler_started a moment before")

_TOLD = frozenset(
    {
        LostCause.NO_ROOM_IN_TIME,
        LostCause.NO_CONNECTION,
        LostCause.NO_PRIMARY,
        LostCause.HOLDER_SILENT,
        LostCause.OVER_LIMIT,
        LostCause.NO_GRANTOR,
    }
)
"""What a process knew when it refused: the words of core.pooler.load.verdict.RefusalCause."""


def cause_told(word: str) -> LostCause | None:
    """Returns the cause that a word of the log names, None if it names none."""
    return next((cause for cause in _TOLD if cause == word), None)
