"""Selects the databases that may serve a statement and orders them. Pure functions.

For a read every database that is not draining is a candidate, and must have applied the floor, the
minimum log position of the read. The candidates are ordered either by local load and distance or by
the expected completion from load reports. The primary is appended once more as the last
target, because it holds every commit; there it must prove that it is the primary instead of having
reached the floor. Without a known floor the primary is the only target.
"""

from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_view import DatabaseRecord, GroupView
from dewledge.core.pooler.load.database_order import Candidate, Completion
from dewledge.core.pooler.sessions.routes import NO_CALLER, Consistency, Route
from dewledge.core.shared.positions import LogPosition

LOAD_PER_ZONE_STEP = 2
"""Statements added to the load of a database for each step of distance (zone, region), to order the
targets of a read."""
PRIMARY_LOAD_PENALTY = 2
"""Statements added to the load of the primary, to order the targets of a read: reads at the primary
take capacity from writes."""


class Proof(StrEnum):
    """How a database proves that it may serve the statement.

    FLOOR: the database checks that its log has reached the floor; replicas can do so too.
    PRIMARY_TRANSACTION: the statement runs in a transaction that only the primary accepts.
    LEASE: the database was confirmed as primary under the current lease of this process.
    NONE: no proof needed, since every database but the primary refuses the statement.
    """

    FLOOR = "floor"
    PRIMARY_TRANSACTION = "lead"
    LEASE = "right"
    NONE = "none"


class Target(msgspec.Struct, frozen=True):
    """A database that may serve the statement, and the proof that it requires.

    floor: minimum log position for Proof.FLOOR. expected: expected completion of a read, None if
    the targets are ordered by local load.
    """

    database: DatabaseRecord
    proof: Proof
    floor: LogPosition | None = None
    expected: Completion | None = None


class ReadRequirements(msgspec.Struct, frozen=True):
    """The freshness requirements of a read.

    arrived: arrival (steady clock, seconds). session_floor: log position of the session's newest
    write. caller: the caller that sent the read.
    """

    arrived: float
    session_floor: LogPosition | None
    caller: str = NO_CALLER


def read_floor(
    route: Route, history: FreshnessHistory, need: ReadRequirements
) -> LogPosition | None:
    """Returns the minimum log position for this read; None if only the primary may serve it."""
    if route.consistency is Consistency.PRIMARY:
        return None
    proof = history.floor(need.arrived, route.max_staleness)
    if proof is None:
        return None
    if route.consistency is Consistency.READ_OWN_WRITES and need.session_floor is not None:
        return max(proof.position, need.session_floor)
    return proof.position


def targets_by_local_load(
    view: GroupView,
    floor: LogPosition | None,
    primary: DatabaseRecord | None,
    distance: Callable[[DatabaseRecord], int],
    load: Callable[[DatabaseRecord], int],
    lacks: Callable[[DatabaseRecord, LogPosition], bool],
    excluded: str | None = None,
    primary_proof: Proof = Proof.PRIMARY_TRANSACTION,
) -> Sequence[Target]:
    """Returns the targets of a read, ordered by the load of this process and the distance.

    The primary is always added as the last target with `primary_proof`, in case no database has
    reached the floor. load: statements of this process at a database. lacks: whether a database
    probably lags behind the floor; such replicas come last. excluded: an unreachable database.
    """
    primary_targets = [] if primary is None else [Target(primary, primary_proof)]
    if floor is None:
        return primary_targets
    primary_id = None if primary is None else primary.id

    def cost(record: DatabaseRecord) -> tuple[bool, int, bool]:
        is_primary = record.id == primary_id
        penalty = PRIMARY_LOAD_PENALTY if is_primary else 0
        weight = load(record) + LOAD_PER_ZONE_STEP * distance(record) + penalty
        return (not is_primary and lacks(record, floor), weight, is_primary)

    serving = sorted(_available(view, excluded), key=cost)
    return [Target(record, Proof.FLOOR, floor) for record in serving] + primary_targets


def targets_by_completion(
    view: GroupView,
    floor: LogPosition | None,
    primary: DatabaseRecord | None,
    cost: Callable[[DatabaseRecord, LogPosition], Completion],
    order: Callable[[Sequence[Candidate]], Sequence[Candidate]],
    excluded: str | None = None,
    primary_proof: Proof = Proof.PRIMARY_TRANSACTION,
) -> Sequence[Target]:
    """Returns the targets of a read, ordered by expected completion.

    Databases and proofs are the same as in `targets_by_local_load`. cost: expected completion
    at a database for a floor. order: sorts the candidates.
    """
    primary_targets = [] if primary is None else [Target(primary, primary_proof)]
    if floor is None:
        return primary_targets
    candidates = [Candidate(each.id, cost(each, floor)) for each in _available(view, excluded)]
    ordered = [
        Target(view.databases[each.database_id], Proof.FLOOR, floor, each.completion)
        for each in order(candidates)
    ]
    return ordered + primary_targets


def _available(view: GroupView, excluded: str | None) -> Sequence[DatabaseRecord]:
    return [
        record
        for record in view.databases.values()
        if not record.draining and record.id != excluded
    ]
