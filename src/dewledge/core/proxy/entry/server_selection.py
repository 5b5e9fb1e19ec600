"""Pure choice of the database that serves a read with a floor."""

from collections.abc import Callable, Collection, Mapping, Sequence
from enum import IntEnum

import msgspec

from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.group_description import DatabaseDescription, GroupDescription
from dewledge.core.shared.positions import LogPosition, is_cut_off, satisfies

LAG_DEVIATIONS = 2.0
"""Deviations of the lag: a replica is expected fresh once its lag and this many mean deviations
have passed."""

GAMBLE_LEAST_SUCCESS = 0.5
"""Ratio; a read is sent to a replica of unknown freshness while this share of such reads
succeeds."""

GAMBLE_TRIAL_SHARE = 0.02
"""Ratio; share of reads sent to a replica of poor success, to learn whether it has recovered."""

LEAST_HOLD = 0.0005
"""Seconds. A shorter hold costs more than it saves, and one of a few ulps would never end."""

SPILL_OUTSTANDING = 16
"""Reads; from so many unanswered reads, a replica of the own zone is compared with those
elsewhere."""


class Freshness(IntEnum):
    """How sure it is that a replica has reached a floor; the lower the better."""

    KNOWN = 0
    EXPECTED = 1
    SOON = 2
    GAMBLE = 3
    STALE = 4
    CUT_OFF = 5


class ReadQuery(msgspec.Struct, frozen=True):
    """What a read needs.

    candidates: databases it may go to, primary not included.
    floor_age: seconds for which the log has surely held the floor.
    read_wait: seconds it may be held back for a replica to catch up.
    zone: the entry's own zone.
    """

    floor: LogPosition
    floor_age: float
    candidates: Sequence[str]
    read_wait: float
    zone: str
    now: float


class ReadChoice(msgspec.Struct, frozen=True):
    """The replica to read from, after holding the read for `delay` seconds."""

    database: str
    freshness: Freshness
    delay: float = 0.0


class _Candidate(msgspec.Struct, frozen=True):
    database: DatabaseDescription
    freshness: Freshness
    delay: float


def choose_replica(
    description: GroupDescription,
    query: ReadQuery,
    outstanding: Mapping[str, int],
    random: Callable[[], float],
) -> ReadChoice | None:
    """Returns the replica for a read, or None if the primary is the better choice.

    The surest class of freshness wins; within it the own zone, then the least loaded of two.
    outstanding: unanswered reads from here by database. random: as random.Random.random.
    """
    candidates = _judge_all(description, query)
    if not candidates:
        return None
    best = min(candidate.freshness for candidate in candidates)
    if best is Freshness.CUT_OFF:
        return None
    if best is Freshness.STALE and random() >= GAMBLE_TRIAL_SHARE:
        return None
    equals = [candidate for candidate in candidates if candidate.freshness == best]
    if best is Freshness.SOON:
        chosen = min(equals, key=lambda candidate: candidate.delay)
    else:
        chosen = _least_loaded(_near(equals, query.zone, outstanding), outstanding, random)
    return ReadChoice(chosen.database.name, chosen.freshness, chosen.delay)


def judge(
    database: DatabaseDescription, description: GroupDescription, query: ReadQuery
) -> tuple[Freshness, float]:
    """Returns how sure it is that the replica has reached the floor, and how long to hold."""
    if satisfies(database.applied, query.floor, description.term_starts):
        return Freshness.KNOWN, 0.0
    if is_cut_off(database.applied, description.term_starts):
        return Freshness.CUT_OFF, 0.0
    if database.lag is not None:
        ready_in = database.lag + LAG_DEVIATIONS * database.lag_deviation - query.floor_age
        if ready_in <= LEAST_HOLD:
            return Freshness.EXPECTED, 0.0
        if ready_in <= query.read_wait:
            return Freshness.SOON, ready_in
    if database.gamble_success >= GAMBLE_LEAST_SUCCESS:
        return Freshness.GAMBLE, 0.0
    return Freshness.STALE, 0.0


def _judge_all(description: GroupDescription, query: ReadQuery) -> list[_Candidate]:
    found = []
    for name in query.candidates:
        database = description.databases.get(name)
        if database is None or not database.available:
            continue
        if database.role is DatabaseRole.PRIMARY:
            # Not the one believed in, so most likely cut off with writes that will be lost.
            continue
        freshness, delay = judge(database, description, query)
        found.append(_Candidate(database, freshness, delay))
    return found


def _near(
    candidates: list[_Candidate], zone: str, outstanding: Mapping[str, int]
) -> list[_Candidate]:
    near = [
        candidate
        for candidate in candidates
        if candidate.database.zone == zone
        and outstanding.get(candidate.database.name, 0) < SPILL_OUTSTANDING
    ]
    return near or candidates


def _least_loaded(
    candidates: Sequence[_Candidate],
    outstanding: Mapping[str, int],
    random: Callable[[], float],
) -> _Candidate:
    """The power of two choices: enough to spread load, without a herd on the least loaded."""
    if len(candidates) == 1:
        return candidates[0]
    first = int(random() * len(candidates))
    second = (first + 1 + int(random() * (len(candidates) - 1))) % len(candidates)
    pair = (candidates[first], candidates[second])
    return min(pair, key=lambda candidate: outstanding.get(candidate.database.name, 0))


def readable_replicas(
    allowed: Collection[str], primary: str | None, excluded: Collection[str]
) -> list[str]:
    """Returns the allowed databases without the primary and those already tried or drained."""
    return [name for name in allowed if name != primary and name not in excluded]
