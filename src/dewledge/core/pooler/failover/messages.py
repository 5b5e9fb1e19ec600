"""Values of a failover: the claim row, events for the state machine, and the effects it requests.

All are immutable. Other releases read the field names of Claim and PhaseChanged: Claim is sent in
datagrams and, without its fencing token, stored in rows; PhaseChanged is written to the log. The
other values stay within the process.
"""

import math
from enum import StrEnum

import msgspec

from dewledge.core.shared.positions import LogPosition


class DatabaseStatus(msgspec.Struct, frozen=True):
    """State that a database reports: its role, its term and the last log position it received.

    stopped_term: the term under which it stopped replication, 0 while it receives.
    """

    is_primary: bool
    term: int
    received: LogPosition
    stopped_term: int = 0


class Claim(msgspec.Struct, frozen=True):
    """Lock row of a group: its holder is the only process that may replace the group's primary.

    replaced: the primary that the holder replaces, empty if it replaces none.
    fencing_token: the store's version of the row, higher for each new claim; encoded as `token`.
    leader: the only database that may be used as primary, empty for none; None, the initial value
    of a group, allows any.
    voters: the processes of which a majority can confirm that no newer claim exists.
    quorums: sets of voters of earlier claims that may still confirm those claims.
    ordered: the database whose promotion was ordered last; it leads, or may start to at any time.
    term: a term in which a database of the group has led, 0 if the writer knew none.
    restates: after a restore of the store, the fencing token of the claim that this one repeats;
    None once no process can hold a lease under a claim of a former era.
    """

    holder: str
    replaced: str
    fencing_token: int = msgspec.field(name="token")
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""
    term: int = 0
    restates: int | None = None

    def allows(self, database_id: str) -> bool:
        """Returns whether a database may be used as primary."""
        return self.leader is None or (database_id != "" and self.leader == database_id)


class RegisteredProcesses(msgspec.Struct, frozen=True):
    """Names of all processes with a row in the store, read at `version` of the store."""

    names: frozenset[str] = frozenset()
    version: int = 0


class PrimarySuspected(msgspec.Struct, frozen=True):
    """A statement to the primary got no answer, or no connection to it could be opened."""

    database: str


class ReachTested(msgspec.Struct, frozen=True):
    """This process finished a test connection to a database."""

    database: str
    reachable: bool


class IndirectProbeReported(msgspec.Struct, frozen=True):
    """Another process reported whether it can reach a database.

    term: newest term of the database's group that the other process knows, 0 for none.
    """

    process: str
    database: str
    reachable: bool
    term: int = 0


class ClaimReceived(msgspec.Struct, frozen=True):
    """A claim was read from the store or received from another process."""

    claim: Claim


class ClaimRefused(msgspec.Struct, frozen=True):
    """The store refused this process's claim, or did not answer."""


class StatusRead(msgspec.Struct, frozen=True):
    """A database answered a status request; `status` is None if it did not answer."""

    database: str
    status: DatabaseStatus | None


class SteppedDown(msgspec.Struct, frozen=True):
    """A database answered a request to step down; `status` is None if it did not answer."""

    database: str
    status: DatabaseStatus | None


class ReplicationStopped(msgspec.Struct, frozen=True):
    """A database answered a request to stop replication under `term`.

    status: None if it did not answer.
    """

    database: str
    term: int
    status: DatabaseStatus | None


class ClaimAcknowledged(msgspec.Struct, frozen=True):
    """A process acknowledged a claim: it uses only databases that the claim allows as primary.

    holder: holder of the acknowledged claim; empty if an earlier release sent the message.
    """

    process: str
    fencing_token: int
    holder: str = ""


class PromotionAnswered(msgspec.Struct, frozen=True):
    """The platform answered a promotion request.

    fenced: it refused, because the fencing token is outdated or the database is not running.
    """

    database: str
    accepted: bool
    fenced: bool


class Ticked(msgspec.Struct, frozen=True):
    """Time passed, or the view of the group changed."""


FailoverEvent = (
    PrimarySuspected
    | ReachTested
    | IndirectProbeReported
    | ClaimReceived
    | ClaimRefused
    | StatusRead
    | SteppedDown
    | ReplicationStopped
    | ClaimAcknowledged
    | PromotionAnswered
    | Ticked
)


class TestReach(msgspec.Struct, frozen=True):
    """Open a test connection to a database."""

    database: str


class AskIndirectProbes(msgspec.Struct, frozen=True):
    """Ask the other judges whether they can reach a database (indirect probe)."""

    database: str


class WriteClaim(msgspec.Struct, frozen=True):
    """Write the claim row if its version is still `expected`. The other fields are Claim's.

    expected: a version with its era, in which the claim is written; number 0 if no row exists.
    """

    replaced: str
    expected: int
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""
    term: int = 0
    restates: int | None = None


class SendClaim(msgspec.Struct, frozen=True):
    """Send the newest claim to these processes for acknowledgement."""

    processes: tuple[str, ...]


class TryLeader(msgspec.Struct, frozen=True):
    """Use a database as primary because the newest claim names it, before it reports that role.

    Only a hint: each statement still requires proof that the database leads.
    """

    database: str


class StepDown(msgspec.Struct, frozen=True):
    """Ask a primary whose term is lower than `term` to step down."""

    database: str
    term: int


class StopReplication(msgspec.Struct, frozen=True):
    """Ask a replica to receive nothing more; `term` is above all terms known."""

    database: str
    term: int


class StartReplication(msgspec.Struct, frozen=True):
    """Ask a replica that may have stopped replication to receive again."""

    database: str


class ReadStatus(msgspec.Struct, frozen=True):
    """Ask a database for its status."""

    database: str


class Promote(msgspec.Struct, frozen=True):
    """Ask the platform to promote a database.

    not_after: latest time at which the request may be sent (steady clock, seconds).
    """

    database: str
    fencing_token: int
    not_after: float = math.inf


class AnnounceLeader(msgspec.Struct, frozen=True):
    """Notify all processes that a database is the primary now.

    Only a hint: each statement still requires proof that the database leads.
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
    | StopReplication
    | StartReplication
    | Promote
    | AnnounceLeader
)


class Phase(StrEnum):
    """Phase of a group's failover; phases.py defines the transitions."""

    STEADY = "steady"
    CHECKING = "checking"
    CLAIMING = "claiming"
    CHOOSING = "choosing"
    RELEASING = "releasing"
    PROMOTING = "promoting"
    FOLLOWING = "following"


class LossCause(StrEnum):
    """Why a primary is replaced; loss_watch.py and reach_check.py define each cause."""

    UNREACHABLE = "unreachable"
    DRAINING = "draining"
    ENTRY_GONE = "entry_gone"
    NONE_KNOWN = "none_known"
    UNFINISHED = "unfinished"


class CandidatesChecked(msgspec.Struct, frozen=True):
    """Log record: which databases may be promoted, by what is known of their logs.

    statuses: the databases that answered, with their terms and received positions. newest_term: the
    newest term known of the group. following: the candidates that follow it. In a group with
    synchronous replicas (commit_proof.py), proven: the databases that hold all acknowledged
    commits; final: last log position of the old primary after it stepped down; stopped: the
    databases that stopped replication, with the positions that they had received; unknown: the
    other databases that may hold acknowledged commits. after_ms: since the start of the failover.
    """

    group: str
    synchronous_replicas: int
    statuses: str
    newest_term: int
    following: str
    proven: str
    final: str
    stopped: str
    unknown: str
    after_ms: int = 0


class PhaseChanged(msgspec.Struct, frozen=True):
    """Log record: the failover of a group entered another phase."""

    group: str
    database: str
    phase: Phase
    reason: str
    token: int = 0
    after_ms: int = 0
