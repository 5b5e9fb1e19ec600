"""Which databases may serve a statement, in the order in which they are tried. Pure functions.

Inputs: the group's view, the floor that a read must show, the usable primary, and either this
process's own counts of statements under way with the distance, or the expected completion (seconds)
by what holders report.
Decision: for a read all databases that take work, the cheapest first, each under the floor; then
the primary once more under a proof of its own. Without a floor the primary alone.
Reason: a replica may answer only what it shows to hold, and the primary holds everything.
"""

from collections.abc import Callable, Sequence
from enum import StrEnum

import msgspec

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_view import DatabaseRecord, GroupView
from dewledge.core.pooler.load.choice import Candidate, Completion
from dewledge.core.pooler.sessions.routes import NO_CALLER, Consistency, Route
from dewledge.core.shared.positions import LogPosition

LOAD_PER_ZONE_STEP = 2
"""Statements; a count. A database one step farther away (zone, region) is preferred when it has so
many less before it."""
LOAD_OF_LEADING = 2
"""Statements; a count. A primary serves a read that a replica could serve only if it has so many
less: what it runs is taken from writes."""


class Proof(StrEnum):
    """What shows that the database may answer.

    FLOOR: it compares its log with a position; any database may do so.
    LEAD: the statement runs in a transaction that only a primary opens and keeps.
    RIGHT: it has shown that it is primary, and no other is while this process has the lease.
    NONE: any database but the primary refuses the statement itself.
    """

    FLOOR = "floor"
    LEAD = "lead"
    RIGHT = "right"
    NONE = "none"


class Target(msgspec.Struct, frozen=True):
    """A database that may serve the statement, and under which proof.

    expected: when, for a read whose databases are chosen by that.
    """

    database: DatabaseRecord
    proof: Proof
    floor: LogPosition | None = None
    expected: Completion | None = None


class ReadNeed(msgspec.Struct, frozen=True):
    """What a read must show, and whose it is."""

    arrived: float
    session_floor: LogPosition | None
    caller: str = NO_CALLER


def read_floor(route: Route, history: FreshnessHistory, need: ReadNeed) -> LogPosition | None:
    """Returns the position that a replica must show for this read; None if none is known."""
    if route.consistency is Consistency.PRIMARY:
        return None
    proof = history.floor(need.arrived, route.max_staleness)
    if proof is None:
        return None
    if route.consistency is Consistency.READ_OWN_WRITES and need.session_floor is not None:
        return max(proof.position, need.session_floor)
    return proof.position


def read_targets(
    view: GroupView,
    floor: LogPosition | None,
    primary: DatabaseRecord | None,
    distance: Callable[[DatabaseRecord], int],
    load: Callable[[DatabaseRecord], int],
    lacks: Callable[[DatabaseRecord, LogPosition], bool],
    excluded: str | None = None,
    primary_proof: Proof = Proof.LEAD,
) -> Sequence[Target]:
    """Returns the targets of a read by own counts: near and unloaded first, then the primary.

    The primary stands last once more, under `primary_proof`, for a floor that none shows.
    lacks: whether a database probably lacks the floor; such ones come after all others.
    excluded: a database that cannot be reached.
    """
    leading = [] if primary is None else [Target(primary, primary_proof)]
    if floor is None:
        return leading
    leader = None if primary is None else primary.id

    def cost(record: DatabaseRecord) -> tuple[bool, int, bool]:
        leads = record.id == leader
        penalty = LOAD_OF_LEADING if leads else 0
        weight = load(record) + LOAD_PER_ZONE_STEP * distance(record) + penalty
        return (not leads and lacks(record, floor), weight, leads)

    serving = sorted(_serving(view, excluded), key=cost)
    return [Target(record, Proof.FLOOR, floor) for record in serving] + leading


def expected_targets(
    view: GroupView,
    floor: LogPosition | None,
    primary: DatabaseRecord | None,
    cost: Callable[[DatabaseRecord, LogPosition], Completion],
    order: Callable[[Sequence[Candidate]], Sequence[Candidate]],
    excluded: str | None = None,
    primary_proof: Proof = Proof.LEAD,
) -> Sequence[Target]:
    """Returns the targets of a read by expected completion: as `order` puts the candidates.

    The same databases under the same proofs as by own counts, and the primary last once more.
    cost: when a database is expected to have answered under the floor.
    """
    leading = [] if primary is None else [Target(primary, primary_proof)]
    if floor is None:
        return leading
    candidates = [Candidate(each.id, cost(each, floor)) for each in _serving(view, excluded)]
    ordered = [
        Target(view.databases[each.database_id], Proof.FLOOR, floor, each.completion)
        for each in order(candidates)
    ]
    return ordered + leading


def _serving(view: GroupView, excluded: str | None) -> Sequence[DatabaseRecord]:
    return [
        record
        for record in view.databases.values()
        if not record.draining and record.id != excluded
    ]
