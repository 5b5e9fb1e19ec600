"""Proves that a candidate holds all acknowledged commits of a group with synchronous replicas.

Such a group acknowledges a commit once a number of replicas have received it. A promotion takes
effect some time after its request, with what the candidate has received by then. So a candidate is
proven only once no other replica can be the one whose receipt acknowledges a commit: the old
primary has stepped down, or the other replicas have stopped replication. candidate_choice.py makes
the requests and asks for the check.
"""

from collections.abc import Mapping, Sequence

import msgspec

from dewledge.core.pooler.failover.messages import (
    DatabaseStatus,
    ReplicationStopped,
    StartReplication,
    StopReplication,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO
from dewledge.core.shared.positions import LogPosition

STOP_REPLICATION_INTERVAL_SECONDS = 0.15
"""Seconds between requests to the same database to stop replication."""
STOP_VALIDITY_SECONDS = 1.0
"""Seconds for which an answer to such a request counts: a process that does not know of this
replacement, or a restart of the database, may have it receive again."""


class Copies(msgspec.Struct, frozen=True):
    """The databases, without the old primary, that may have received a commit.

    Includes those whose entry was removed: they receive and acknowledge until they end.
    synchronous_replicas: see GroupLog.
    """

    names: Sequence[str]
    synchronous_replicas: int


class ProofCheck(msgspec.Struct, frozen=True):
    """Result of a check of the candidates.

    proven: the candidates that hold all acknowledged commits, also those to come. final: last
    position of the old primary's log, None unless it has stepped down. stopped: last positions of
    the databases that stopped replication. unknown: databases that may still receive commits.
    """

    proven: tuple[str, ...]
    final: LogPosition | None
    stopped: dict[str, LogPosition]
    unknown: tuple[str, ...]


class CommitProof:
    """Positions at which databases stopped replication during one replacement."""

    def __init__(self) -> None:
        self._stopped: dict[str, DatabaseStatus] = {}
        self._answered_at: dict[str, float] = {}
        self._asked: set[str] = set()
        """Databases that may have stopped replication, with or without an answer."""
        self._requested_at = LONG_AGO

    def add(self, event: ReplicationStopped, now: float) -> None:
        """Adds a database's answer to a request to stop replication.

        The request has no effect on a database that leads, or that knows the requested term.
        """
        status = event.status
        if status is not None and not status.is_primary and status.term < event.term:
            self._stopped[event.database] = status
            self._answered_at[event.database] = now

    def observe(self, database: str, status: DatabaseStatus) -> None:
        """Drops the answer of a database that has received more since, or leads."""
        stopped = self._stopped.get(database)
        if stopped is not None and (status.is_primary or status.received > stopped.received):
            del self._stopped[database]

    def _drop_old_answers(self, now: float) -> None:
        limit = now - STOP_VALIDITY_SECONDS
        for name in [name for name in self._stopped if self._answered_at[name] < limit]:
            del self._stopped[name]

    def stop_requests(
        self, replicas: Sequence[str], term: int, now: float
    ) -> Sequence[StopReplication]:
        """Returns the requests to stop replication that are due, under a term above all others."""
        self._drop_old_answers(now)
        if now < self._requested_at + STOP_REPLICATION_INTERVAL_SECONDS:
            return []
        self._requested_at = now
        missing = [name for name in replicas if name not in self._stopped]
        self._asked.update(missing)
        return [StopReplication(name, term) for name in missing]

    def start_requests(self) -> Sequence[StartReplication]:
        """Returns the requests that undo all requests to stop replication."""
        names, self._asked = sorted(self._asked), set()
        self._stopped = {}
        return [StartReplication(name) for name in names]

    def check(
        self,
        candidates: Sequence[str],
        copies: Copies,
        statuses: Mapping[str, DatabaseStatus],
        final: LogPosition | None,
    ) -> ProofCheck:
        """Finds the candidates that are proven by the statuses and by the answers so far.

        final: see ProofCheck.
        """
        stopped = {name: status.received for name, status in sorted(self._stopped.items())}
        unknown = tuple(name for name in copies.names if name not in stopped)

        def is_proven(name: str) -> bool:
            received = statuses[name].received
            if final is not None and received >= final:
                return True
            others = [each for each in unknown if each != name]
            is_ahead = all(received >= position for position in stopped.values())
            # The others that may still receive commits are too few to acknowledge one.
            return is_ahead and len(others) < copies.synchronous_replicas

        proven = tuple(name for name in candidates if name in statuses and is_proven(name))
        return ProofCheck(proven, final, stopped, unknown)
