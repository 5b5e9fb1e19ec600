"""An immutable view of one database group, and the pure functions from one view to the next.

The view is a hint for routing: every promise is kept by the positions in the answers themselves.
Each function returns the same object when nothing changed, so that callers can test by identity.
"""

from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LOG_START, LogPosition, TermStart, is_cut_off

LAG_GAIN = 0.125
"""Weight of the newest sample in the average lag: that of TCP's smoothed round-trip time."""
LAG_DEVIATION_GAIN = 0.25
"""Weight of the newest sample in the lag's deviation: that of TCP's round-trip variance."""
SUCCESS_GAIN = 0.2
"""Weight of the newest try of a lagging replica in its rate of success."""
_NEVER = float("-inf")


class DatabaseDescription(msgspec.Struct, frozen=True):
    """What is known of one database.

    received: the end of its log as of its latest status.
    seen_at: when its status was true, on the core's clock; -inf if it is not known.
    available: False from a failure to reach it until a later status.
    lag, lag_deviation: measured replication lag and its mean deviation in seconds; lag is None
        until it was measured.
    gamble_success: share of the latest reads, sent without knowing the replica fresh, that were.
    """

    name: str
    zone: str = ""
    role: DatabaseRole = DatabaseRole.REPLICA
    term: int = 0
    applied: LogPosition = LOG_START
    received: LogPosition = LOG_START
    seen_at: float = _NEVER
    available: bool = True
    lag: float | None = None
    lag_deviation: float = 0.0
    gamble_success: float = 1.0


class GroupDescription(msgspec.Struct, frozen=True):
    """The group as last seen.

    databases: by name, never changed in place.
    primary: the database that may be believed to be primary, or None; see `find_primary`.
    starts_term: the term of the status that `term_starts` was taken from.
    """

    group: str
    databases: dict[str, DatabaseDescription]
    primary: str | None = None
    term_starts: tuple[TermStart, ...] = ()
    starts_term: int = 0

    @property
    def highest_term(self) -> int:
        """The highest term that any database was seen in."""
        return max((database.term for database in self.databases.values()), default=0)


def describe(group: str, zones: Iterable[tuple[str, str]]) -> GroupDescription:
    """Returns the view of a group of which nothing was seen; zones: (database, zone) pairs."""
    databases = {name: DatabaseDescription(name, zone) for name, zone in zones}
    return GroupDescription(group, databases)


def with_databases(
    description: GroupDescription, zones: Iterable[tuple[str, str]]
) -> GroupDescription:
    """Returns the view with exactly these databases, keeping what is known of those that stay."""
    databases: dict[str, DatabaseDescription] = {}
    for name, zone in zones:
        known = description.databases.get(name)
        if known is None or known.zone != zone:
            known = DatabaseDescription(name, zone)
        databases[name] = known
    if databases == description.databases:
        return description
    return _with_databases(description, databases)


def with_status(
    description: GroupDescription, status: DatabaseStatus, seen_at: float
) -> GroupDescription:
    """Returns the view after a status that was true at `seen_at`.

    A status older than what is known is ignored, unless it is of a later term.
    """
    known = description.databases.get(status.database)
    if known is None:
        return description
    if seen_at < known.seen_at and status.term <= known.term:
        return description
    updated = msgspec.structs.replace(
        known,
        role=status.role,
        term=max(status.term, known.term),
        applied=_later_applied(known, status),
        received=status.received,
        seen_at=max(seen_at, known.seen_at),
        available=True,
    )
    changed = _with_term_starts(description, status)
    return _with_database(changed, updated)


def with_applied(
    description: GroupDescription, database: str, position: LogPosition, seen_at: float
) -> GroupDescription:
    """Returns the view after an answer that showed `position` applied on `database`."""
    known = description.databases.get(database)
    if known is None or seen_at < known.seen_at:
        return description
    if position <= known.applied or is_cut_off(position, description.term_starts):
        return description
    term = max(known.term, position.term)
    updated = msgspec.structs.replace(known, applied=position, term=term, seen_at=seen_at)
    return _with_database(description, updated, elect=term != known.term)


def with_primary_denied(
    description: GroupDescription, database: str, now: float
) -> GroupDescription:
    """Returns the view after `database` turned out not to be the primary.

    It may be cut off from its group, so it serves no reads either until its next status.
    """
    known = description.databases.get(database)
    if known is None or known.role is DatabaseRole.REPLICA:
        return description
    denied = msgspec.structs.replace(known, role=DatabaseRole.REPLICA, available=False, seen_at=now)
    return _with_database(description, denied)


def with_unavailable(description: GroupDescription, database: str, now: float) -> GroupDescription:
    """Returns the view after `database` could not be reached."""
    known = description.databases.get(database)
    if known is None:
        return description
    return _with_database(description, msgspec.structs.replace(known, available=False, seen_at=now))


def with_lag_sample(
    description: GroupDescription, database: str, sample: float
) -> GroupDescription:
    """Returns the view after the replication lag was measured as `sample` seconds."""
    known = description.databases.get(database)
    if known is None:
        return description
    if known.lag is None:
        updated = msgspec.structs.replace(known, lag=sample, lag_deviation=sample / 2)
    else:
        error = sample - known.lag
        deviation = known.lag_deviation + LAG_DEVIATION_GAIN * (abs(error) - known.lag_deviation)
        updated = msgspec.structs.replace(
            known, lag=known.lag + LAG_GAIN * error, lag_deviation=deviation
        )
    return _with_database(description, updated, elect=False)


def with_gamble(description: GroupDescription, database: str, fresh: bool) -> GroupDescription:
    """Returns the view after a read that was sent without knowing the replica fresh."""
    known = description.databases.get(database)
    if known is None:
        return description
    success = known.gamble_success + SUCCESS_GAIN * (float(fresh) - known.gamble_success)
    updated = msgspec.structs.replace(known, gamble_success=success)
    return _with_database(description, updated, elect=False)


def find_primary(databases: dict[str, DatabaseDescription]) -> str | None:
    """Returns the database that may be believed to be primary.

    That is the one of the highest term among those that claim to be, if it is available and no
    majority has gone on to a later term. It is a belief only: gateways confirm each commit.
    """
    claims = [item for item in databases.values() if item.role is DatabaseRole.PRIMARY]
    if not claims:
        return None
    claim = max(claims, key=lambda item: item.term)
    later = sum(1 for item in databases.values() if item.term > claim.term)
    if not claim.available or 2 * later > len(databases):
        return None
    return claim.name


def _later_applied(known: DatabaseDescription, status: DatabaseStatus) -> LogPosition:
    """A database's applied position only falls when a later term cuts its branch off."""
    if status.term > known.term:
        return status.applied
    return max(status.applied, known.applied)


def _with_term_starts(description: GroupDescription, status: DatabaseStatus) -> GroupDescription:
    if status.term < description.starts_term or status.term_starts == description.term_starts:
        return description
    if status.term == description.starts_term and not _extends(status, description):
        return description
    return msgspec.structs.replace(
        description, term_starts=status.term_starts, starts_term=status.term
    )


def _extends(status: DatabaseStatus, description: GroupDescription) -> bool:
    """A voter may be in the term before its log holds the term's start."""
    latest = max(status.term_starts, default=TermStart(0, 0))
    known = max(description.term_starts, default=TermStart(0, 0))
    return latest > known


def _with_database(
    description: GroupDescription, updated: DatabaseDescription, elect: bool = True
) -> GroupDescription:
    databases = dict(description.databases)
    databases[updated.name] = updated
    if elect:
        return _with_databases(description, databases)
    return msgspec.structs.replace(description, databases=databases)


def _with_databases(
    description: GroupDescription, databases: dict[str, DatabaseDescription]
) -> GroupDescription:
    return msgspec.structs.replace(
        description, databases=databases, primary=find_primary(databases)
    )
