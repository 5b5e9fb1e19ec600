"""What a database says of itself."""

from enum import StrEnum

import msgspec

from dewledge.core.shared.positions import LogPosition, TermStart


class DatabaseRole(StrEnum):
    """The role a database believes it has; only a majority of its group makes it true."""

    PRIMARY = "primary"
    REPLICA = "replica"


class DatabaseStatus(msgspec.Struct, frozen=True, array_like=True):
    """One database's own answer to a status request.

    term: the highest term it has taken part in (voted for or followed).
    received: the end of its log, held durably; counts towards a majority.
    applied: what a read on it shows.
    term_starts: the latest terms it knows, with their first offsets.
    """

    database: str
    role: DatabaseRole
    term: int
    received: LogPosition
    applied: LogPosition
    term_starts: tuple[TermStart, ...] = ()
