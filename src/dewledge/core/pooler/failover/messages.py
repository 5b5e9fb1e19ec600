"""Values of a failover: the lock row, events for the state machine, effects that it asks for.

All immutable. Claim is in datagrams, and its fields but the fencing token in the store's rows;
PhaseChanged is in the log: the names of their fields are forms that other releases read. The other
values stay within the process.
"""

import math
from enum import StrEnum

import msgspec

from dewledge.core.shared.positions import LogPosition


class DatabaseStatus(msgspec.Struct, frozen=True):
    """What a database reports: its role, its term and the last position that it received."""

    is_primary: bool
    term: int
    received: LogPosition


class Claim(msgspec.Struct, frozen=True):
    """The lock row by which one process at a time may replace a group's primary.

    fencing_token: the store's version of the row, which rises with each claim; `token` in a notice.
    leader: the only database that may be used as primary, empty for none; None for any, as long
    as none was ever promoted.
    voters: the processes of which a majority confirms that no newer claim exists.
    quorums: voters of earlier claims that may still confirm those, a set for each.
    ordered: the database whose promotion was ordered last: it leads, or may begin to at any moment.
    """

    holder: str
    replaced: str
    fencing_token: int = msgspec.field(name="token")
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""

    def allows(self, database_id: str) -> bool:
        """Tells whether a database may be used as primary."""
        return self.leader is None or (database_id != "" and self.leader == database_id)


class RegisteredProcesses(msgspec.Struct, frozen=True):
    """All processes with a row in the store, as known at a version of the store."""

    names: frozenset[str] = frozenset()
    version: int = 0


class PrimaryDoubted(msgspec.Struct, frozen=True):
    """A statement to the primary got no answer, or no connection could be opened."""

    database: str


class ReachTested(msgspec.Struct, frozen=True):
    """The own test of a database's address ended."""

    database: str
    reachable: bool


class IndirectProbeReported(msgspec.Struct, frozen=True):
    """Another process answered whether it reaches a database."""

    process: str
    database: str
    reachable: bool


class ClaimSeen(msgspec.Struct, frozen=True):
    """The claim row as the store has it now."""

    claim: Claim


class ClaimRefused(msgspec.Struct, frozen=True):
    """The store did not take the own claim, or gave no answer."""


class StatusRead(msgspec.Struct, frozen=True):
    """A database answered what it has received; None if it did not."""

    database: str
    status: DatabaseStatus | None


class SteppedDown(msgspec.Struct, frozen=True):
    """A database answered the request to step down; None if it did not."""

    database: str
    status: DatabaseStatus | None


class ClaimKnown(msgspec.Struct, frozen=True):
    """A process acknowledged a claim: it uses no database as primary that the claim forbids."""

    process: str
    fencing_token: int


class PromotionAnswered(msgspec.Struct, frozen=True):
    """The platform's answer to a promotion."""

    database: str
    accepted: bool
    fenced: bool


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed, or the view of the group has changed."""


FailoverEvent = (
    PrimaryDoubted
    | ReachTested
    | IndirectProbeReported
    | ClaimSeen
    | ClaimRefused
    | StatusRead
    | SteppedDown
    | ClaimKnown
    | PromotionAnswered
    | Ticked
)


class TestReach(msgspec.Struct, frozen=True):
    """Test whether a database's address takes connections."""

    database: str


class AskIndirectProbes(msgspec.Struct, frozen=True):
    """Ask the other judges whether they reach a database: an indirect probe."""

    database: str


class WriteClaim(msgspec.Struct, frozen=True):
    """Write the claim row if it still has the version `expected`. Other fields as in Claim."""

    replaced: str
    expected: int
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""


class SendClaim(msgspec.Struct, frozen=True):
    """Send the newest claim to these processes, which acknowledge it."""

    processes: tuple[str, ...]


class TryLeader(msgspec.Struct, frozen=True):
    """Take a database for the primary: the newest claim names it, though it has not said so yet.

    A hint only: whoever uses it still gets proof of the lead with each statement.
    """

    database: str


class StepDown(msgspec.Struct, frozen=True):
    """Ask a primary of a lower term than `term` to step down."""

    database: str
    term: int


class ReadStatus(msgspec.Struct, frozen=True):
    """Ask a database what it has received."""

    database: str


class Promote(msgspec.Struct, frozen=True):
    """Ask the platform to make a database the primary.

    not_after: the call must not leave later than this (steady clock, seconds).
    """

    database: str
    fencing_token: int
    not_after: float = math.inf


class AnnounceLeader(msgspec.Struct, frozen=True):
    """Tell every process that a database is the primary now.

    A hint only: whoever uses it still gets proof of the lead with each statement.
    """

    database: str


FailoverEffect = (
    TestReach
    | AskIndirectProbes
    | WriteClaim
    | SendClaim
    | TryLeader
    | ReadStatus
    | StepDown
    | Promote
    | AnnounceLeader
)


class Phase(StrEnum):
    """Where the failover of a group stands; phases.py has what leads from one to the next."""

    STEADY = "steady"
    CHECKING = "checking"
    CLAIMING = "claiming"
    CHOOSING = "choosing"
    RELEASING = "releasing"
    PROMOTING = "promoting"
    FOLLOWING = "following"


class LossCause(StrEnum):
    """Why the primary is replaced."""

    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    ENTRY_GONE = "entry_gone"
    NONE_KNOWN = "none_known"
    UNFINISHED = "unfinished"


class PhaseChanged(msgspec.Struct, frozen=True):
    """The failover of a group entered another phase; for the log."""

    group: str
    database: str
    phase: Phase
    reason: str
    token: int = 0
    after_ms: int = 0
