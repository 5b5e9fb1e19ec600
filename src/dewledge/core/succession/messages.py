"""Events that the succession of one group takes, and effects that it asks for. All immutable."""

from enum import StrEnum

import msgspec

from dewledge.core.positions import LogPosition


class DatabaseStatus(msgspec.Struct, frozen=True):
    """What a database tells of itself: its term and the last position that it received."""

    is_primary: bool
    term: int
    received: LogPosition


class Claim(msgspec.Struct, frozen=True):
    """The row by which one process at a time takes the duty to replace a group's primary.

    token: the store's version of the row, which rises with each claim.
    """

    holder: str
    replaced: str
    token: int


class PrimaryDoubted(msgspec.Struct, frozen=True):
    """A statement to the primary got no answer, or no connection could be opened."""

    database: str


class ReachTested(msgspec.Struct, frozen=True):
    """The own test of a database's address ended."""

    database: str
    reachable: bool
    refused: bool = False


class WitnessReported(msgspec.Struct, frozen=True):
    """Another process told whether it reaches a database."""

    witness: str
    database: str
    reachable: bool


class ClaimSeen(msgspec.Struct, frozen=True):
    """The claim row as the store has it now."""

    claim: Claim


class ClaimRefused(msgspec.Struct, frozen=True):
    """The own claim was not written, or it is not known whether it was."""


class StatusRead(msgspec.Struct, frozen=True):
    """A database answered what it has received; None if it did not."""

    database: str
    status: DatabaseStatus | None


class PromotionAnswered(msgspec.Struct, frozen=True):
    """The platform's answer to a promotion."""

    database: str
    accepted: bool
    fenced: bool


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed, or the view of the group has changed."""


SuccessionEvent = (
    PrimaryDoubted
    | ReachTested
    | WitnessReported
    | ClaimSeen
    | ClaimRefused
    | StatusRead
    | PromotionAnswered
    | Ticked
)


class TestReach(msgspec.Struct, frozen=True):
    """Test whether a database's address takes connections."""

    database: str


class AskWitnesses(msgspec.Struct, frozen=True):
    """Ask the other processes whether they reach a database."""

    database: str


class WriteClaim(msgspec.Struct, frozen=True):
    """Write the claim row if it still has the version `expected`."""

    replaced: str
    expected: int


class ReadStatus(msgspec.Struct, frozen=True):
    """Ask a database what it has received."""

    database: str


class Promote(msgspec.Struct, frozen=True):
    """Ask the platform to make a database the primary."""

    database: str
    token: int


class AnnounceLeader(msgspec.Struct, frozen=True):
    """Tell every process that a database has taken the lead.

    A hint only: whoever uses it still gets proof of the lead with each statement.
    """

    database: str


SuccessionEffect = TestReach | AskWitnesses | WriteClaim | ReadStatus | Promote | AnnounceLeader


class Phase(StrEnum):
    """Where the succession stands."""

    STEADY = "steady"
    CHECKING = "checking"
    CLAIMING = "claiming"
    CHOOSING = "choosing"
    PROMOTING = "promoting"
    FOLLOWING = "following"


class LossCause(StrEnum):
    """Why the primary is replaced."""

    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    ENTRY_GONE = "entry_gone"
    NONE_KNOWN = "none_known"


class PhaseChanged(msgspec.Struct, frozen=True):
    """The succession of a group moved on; for the log."""

    group: str
    database: str
    phase: Phase
    reason: str
    token: int = 0
    after_ms: int = 0
