"""Types of the database group model: what it is built from and what it records."""

from enum import StrEnum

import msgspec

from dewledge.core.proxy.calls import Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import DatabaseError, ErrorCode
from dewledge.standin.link_delays import LinkDelays, Locality


class ModelDatabase(msgspec.Struct, frozen=True):
    """One database of a group. slots: statements at once. max_connections: a hard limit."""

    name: str
    zone: str
    address: str
    slots: int = 5
    max_connections: int = 40
    region: str = ""

    @property
    def place(self) -> Locality:
        """Returns where the database is."""
        return Locality(self.zone, self.region)


class GroupTiming(msgspec.Struct, frozen=True):
    """Times of a group, in seconds.

    heartbeat: between two heartbeats of a primary.
    election_timeout: silence after which a replica seeks election; each waits a random time
        between once and twice this long.
    replication_delay: added to the link's delay for each message between databases.
    links: one-way delays between zones and regions.
    """

    heartbeat: float = 0.05
    election_timeout: float = 0.3
    replication_delay: float = 0.0005
    links: LinkDelays = LinkDelays()


class LogEntry(msgspec.Struct, frozen=True):
    """One committed database transaction. position: the end of the log once it is in it."""

    position: LogPosition
    statements: tuple[Statement, ...]
    session: int


class HistoryEntry(msgspec.Struct, frozen=True):
    """A commit that some database accepted, whether or not it survived. time: seconds."""

    time: float
    database: str
    position: LogPosition
    statements: tuple[Statement, ...]
    session: int


class ActivityKind(StrEnum):
    """What a session asked of a database."""

    OPEN = "open"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    CLOSE = "close"


class ActivityEntry(msgspec.Struct, frozen=True):
    """One request that reached a database, also a refused one. time: seconds."""

    time: float
    database: str
    kind: ActivityKind
    session: int


class LagStage(StrEnum):
    """Where a lagging replica is slow: receiving the log, or only applying it."""

    RECEIVE = "receive"
    APPLY = "apply"


class DatabaseNotAnswering(DatabaseError):
    """The database is frozen or cut off from its callers: the request waits, nothing was done.

    The caller of the model asks again later, or gives the connection up.
    """

    code = ErrorCode.DATABASE_UNREACHABLE
