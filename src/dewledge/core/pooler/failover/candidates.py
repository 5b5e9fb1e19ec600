"""Which processes judge a group's primary, and which replica becomes the next one. Pure functions.

Inputs: names of processes; the group's databases as the store has them; statuses, at most as old as
the survey under way. Decision: the judges by rank; the candidate. Reason: a replica that received
less than another would lose acknowledged commits.
"""

import zlib
from collections.abc import Iterable, Mapping, Sequence

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.shared.positions import LogPosition

MAX_JUDGES = 15
"""Processes that judge a group's primary, at most: bounds the indirect probes of a check where
there are hundreds of processes."""


def panel(group: str, processes: Iterable[str]) -> Sequence[str]:
    """Returns the processes that judge a group's primary and may replace it, in order of rank.

    Chosen by rendezvous hashing: the same on every process that knows the same members.
    """

    def weight(name: str) -> tuple[int, str]:
        return (zlib.crc32(f"{group} {name}".encode()), name)

    return sorted(processes, key=weight)[:MAX_JUDGES]


def eligible_databases(view: GroupView, replaced: str, refused: frozenset[str]) -> Sequence[str]:
    """Returns the databases that may become primary: in service, and not the replaced one."""
    return sorted(
        record.id
        for record in view.databases.values()
        if not record.draining and record.id != replaced and record.id not in refused
    )


def choose_candidate(names: Sequence[str], statuses: Mapping[str, DatabaseStatus]) -> str | None:
    """Returns the database that received most; among equals the last by name.

    One whose state is not known is chosen only if none is known: what it has received may be less.
    """
    if not names:
        return None

    def preference(name: str) -> tuple[LogPosition, str]:
        status = statuses.get(name)
        received = LogPosition(-1, -1) if status is None else status.received
        return (received, name)

    return max(names, key=preference)
