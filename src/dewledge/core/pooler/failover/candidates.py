"""Selects the processes that judge a group's primary, and the replica to promote. Pure functions.

The candidate is the replica with the highest received log position: promoting a replica that
received less than another could lose acknowledged commits.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.shared.positions import LogPosition

MAX_JUDGES = 15
"""Processes: bounds the indirect probes of a check in deployments of hundreds of processes."""
LOST_TERM_TIMEOUT_SECONDS = 30.0
"""Seconds that a group without a primary waits for a database that follows its newest term. Then
one of an older term is promoted, and the commits of the newest term are lost."""
LOST_COPY_TIMEOUT_SECONDS = 30.0
"""Seconds from the removal of a database's entry until its log is given up: a crashed database may
come back with commits that no other one has."""


def rank_judges(group: str, processes: Iterable[str]) -> Sequence[str]:
    """Returns the judges of a group in order of rank.

    Judges decide whether the group's primary is lost, and may replace it.
    Uses rendezvous hashing, so that all processes with the same list of processes agree.
    """

    def weight(name: str) -> tuple[int, str]:
        return (zlib.crc32(f"{group} {name}".encode()), name)

    return sorted(processes, key=weight)[:MAX_JUDGES]


def eligible_databases(view: GroupView, replaced: str, refused: frozenset[str]) -> Sequence[str]:
    """Returns the databases that may become primary.

    Excludes draining databases, the replaced primary and the `refused` candidates.
    """
    return sorted(
        record.id
        for record in view.databases.values()
        if not record.draining and record.id != replaced and record.id not in refused
    )


def possible_copies(view: GroupView, replaced: str, now: float) -> Sequence[str]:
    """Returns the databases, besides the replaced primary, that may hold commits no other has.

    Includes draining ones, which receive until they end.
    """
    given_up = {
        name
        for name, since in view.departed_since.items()
        if now >= since + LOST_COPY_TIMEOUT_SECONDS
    }
    return sorted(view.databases.keys() - given_up - {replaced})


def following_databases(
    names: Sequence[str],
    statuses: Mapping[str, DatabaseStatus],
    observed_term: Callable[[str], int],
    newest_term: int,
) -> Sequence[str]:
    """Returns those of `names` that follow the newest term.

    A database that does not may hold commits that an earlier promotion rolled back, and lacks those
    made since. Without a status, the term in its last answer to any statement counts.
    """

    def term(name: str) -> int:
        status = statuses.get(name)
        return observed_term(name) if status is None else status.term

    return [name for name in names if term(name) >= newest_term]


def choose_candidate(names: Sequence[str], statuses: Mapping[str, DatabaseStatus]) -> str | None:
    """Returns the database with the highest received log position; on a tie, the last by name.

    A database without a status is returned only if none has one: it may have received less.
    """
    if not names:
        return None

    def preference(name: str) -> tuple[LogPosition, str]:
        status = statuses.get(name)
        received = LogPosition(-1, -1) if status is None else status.received
        return (received, name)

    return max(names, key=preference)
