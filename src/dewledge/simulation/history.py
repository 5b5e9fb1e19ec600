"""What happened in one run, as seen by callers, databases and proxies.

The checkers in `promises` judge these records alone; they never ask the decision core.
"""

import msgspec

from dewledge.core.proxy.calls import Access, Operation, Outcome, Scalar
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode


class RequestRecord(msgspec.Struct):
    """One request as its caller saw it; times are virtual seconds.

    marker: unique to what is asked; all repeats under one idempotency key share it. A read must
    return it, and a write leaves it in the log.
    record, version: the row read or written; a write sets the row to `version`.
    seen_version: what a read returned.
    transaction_tag: unique to the caller's transaction.
    fresh_replica: some replica could have served this read, judged from outside.
    has_floor: a read was sent with a floor for its group, from an earlier answer.
    """

    number: int
    session: str
    caller: str
    group: str
    workload: str
    access: Access
    operation: Operation
    marker: str
    proxy: str
    sent_at: float
    deadline: float
    record: str = ""
    version: int | None = None
    idempotency_key: str | None = None
    transaction_tag: str | None = None
    answered_at: float | None = None
    outcome: Outcome | None = None
    code: ErrorCode | None = None
    rows: tuple[tuple[Scalar, ...], ...] = ()
    seen_version: int | None = None
    retry_after: float | None = None
    repeated: bool = False
    reset: bool = False
    answers: int = 0
    fresh_replica: bool = False
    has_floor: bool = False


class CommitRecord(msgspec.Struct, frozen=True):
    """One entry that some database of a group committed as primary.

    markers: of the entry's statements, in order. tags: the transactions those belong to.
    survives: it is in the log of the group's newest term.
    """

    group: str
    database: str
    time: float
    position: LogPosition
    markers: tuple[str, ...]
    tags: tuple[str, ...] = ()
    survives: bool = True


class ElectionRecord(msgspec.Struct, frozen=True):
    """A database became primary of a term."""

    group: str
    database: str
    time: float
    term: int


class WorkRecord(msgspec.Struct, frozen=True):
    """One operation as a database took it from a proxy.

    operation: None for opening a connection.
    """

    time: float
    group: str
    database: str
    proxy: str
    operation: Operation | None
    access: Access | None = None
    role: DatabaseRole | None = None
    marker: str = ""
    in_transaction: bool = False


class AcceptanceRecord(msgspec.Struct, frozen=True):
    """A configuration revision was accepted. drained: databases it took out of service."""

    time: float
    revision: int
    drained: tuple[str, ...] = ()


class ProposalRecord(msgspec.Struct, frozen=True):
    """What an operator was told of a proposed change, and whether it stands in the store.

    winner: the change that came first, as told to the one that lost.
    """

    time: float
    change_id: str
    outcome: Outcome
    code: ErrorCode | None = None
    winner: str | None = None
    stands: bool = False


class RevisionRecord(msgspec.Struct, frozen=True):
    """A proxy's configuration moved to a revision. incarnation: counts its restarts."""

    time: float
    proxy: str
    incarnation: int
    revision: int


class AbsenceRecord(msgspec.Struct, frozen=True):
    """A span in which a proxy was dead, frozen or cut off from all peers and the store."""

    proxy: str
    start: float
    end: float


class StopRecord(msgspec.Struct, frozen=True):
    """A planned stop: announced, then ended at `ended_at`."""

    proxy: str
    announced_at: float
    ended_at: float


class History(msgspec.Struct):
    """Everything recorded in one run; `ended_at` is the virtual time at which it stopped."""

    requests: list[RequestRecord] = []
    commits: list[CommitRecord] = []
    elections: list[ElectionRecord] = []
    work: list[WorkRecord] = []
    acceptances: list[AcceptanceRecord] = []
    proposals: list[ProposalRecord] = []
    revisions: list[RevisionRecord] = []
    absences: list[AbsenceRecord] = []
    stops: list[StopRecord] = []
    refused_connections: int = 0
    peak_connections: int = 0
    peak_connections_by_database: dict[str, int] = {}
    ended_at: float = 0.0
