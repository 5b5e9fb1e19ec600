"""Messages between the databases of a group model."""

import msgspec

from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.standin.group_types import LogEntry


class VoteRequest(msgspec.Struct, frozen=True):
    """Asks for a vote. A probe only asks whether one would be given, and changes nothing."""

    term: int
    candidate: str
    position: LogPosition
    probe: bool


class VoteReply(msgspec.Struct, frozen=True):
    """Grants or refuses a vote. current_term: the voter's own."""

    term: int
    voter: str
    granted: bool
    probe: bool
    current_term: int


class Append(msgspec.Struct, frozen=True):
    """A primary's heartbeat, with the entries the replica is not known to have."""

    term: int
    primary: str
    first_offset: int
    entries: tuple[LogEntry, ...]
    term_starts: tuple[TermStart, ...]


class AppendRejected(msgspec.Struct, frozen=True):
    """The replica has a newer term, or lacks entries before the first one sent."""

    term: int
    replica: str
    length: int
    term_starts: tuple[TermStart, ...]


GroupMessage = VoteRequest | VoteReply | Append | AppendRejected
