"""Which processes may grant a caller's tokens, and which vote for them. Pure functions.

Inputs: a caller's name, the names of the members known here (their list's age is that of the member
table). Decision: the slot of the caller, the slot's candidates and voters.

Callers are divided into slots, more with more processes, so that no process answers all. For
each slot every process works out the same few candidates by rendezvous hashing; how much each may
grant follows from the votes for it (grantor.py).

A process votes in VOTES_EACH slots, whatever the number of processes, so neither what it sends nor
what a grantor takes grows with them. Where it votes follows from its name and the number of slots
alone, so that processes which know other members still agree on it.
"""

from collections.abc import Collection, Sequence

import msgspec
import xxhash

MAX_PROCESSES_PER_SLOT = 32
"""Processes for each slot, at most. With more than that, a slot has between VOTES_EACH / 2 and
VOTES_EACH times as many voters, so a grantor hears some two hundred votes a second, reckoned at
about a hundredth of a small machine's core."""
SLOTS_PER_VOTER = 2
"""Slots in which each process votes. With more, a side of a split has more nearly its part of the
votes (of 32 to 64 within a few); each costs a datagram and its answer in a third of a second. With
two, a process sends and takes 1.1 KB a second at 59, 300 and 850 processes."""
CANDIDATES_PER_SLOT = 5
"""Processes that stand in for each other in a slot: of a side with a third of all, one is among
them with seven chances of eight (1 - (2/3)^5), reckoned."""


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """One of `count` parts of all callers."""

    count: int
    index: int


def slot_count(processes: int) -> int:
    """Returns into how many slots callers are divided: a power of two.

    So a deployment that starts process by process divides them a few times only; each division
    costs the time in which earlier votes may count.
    """
    least = max(-(-processes // MAX_PROCESSES_PER_SLOT), 1)
    return 1 << (least - 1).bit_length()


def voting_slots(name: str, count: int) -> Sequence[Slot]:
    """Returns the slots in which a process votes.

    When each slot is divided in two, the voters of a new slot have voted in the old slot that it
    was a part of, so a caller keeps some of its voters.
    """
    first = xxhash.xxh3_64_intdigest(f"votes {name}".encode()) % count
    return [Slot(count, (first + step) % count) for step in range(min(SLOTS_PER_VOTER, count))]


def is_voter(name: str, slot: Slot) -> bool:
    """Tells whether a process's vote counts in a slot."""
    return slot in voting_slots(name, slot.count)


def voters_of(slot: Slot, members: Collection[str]) -> frozenset[str]:
    """Returns the processes whose votes count in a slot."""
    if slot.count <= SLOTS_PER_VOTER:
        return frozenset(members)
    return frozenset(name for name in members if is_voter(name, slot))


def slot_of(caller: str, count: int) -> Slot:
    """Returns the slot of a caller."""
    return Slot(count, xxhash.xxh3_64_intdigest(f"quota {caller}".encode()) % count)


def candidates_of(slot: Slot, members: Collection[str]) -> Sequence[str]:
    """Returns the processes that may grant for a slot, first choice first."""
    return _ranked(f"quota {slot.count} {slot.index}", members)[:CANDIDATES_PER_SLOT]


def update_candidates(
    slot: Slot,
    previous_candidates: Sequence[str],
    previous_members: frozenset[str],
    members: frozenset[str],
) -> Sequence[str]:
    """Returns the candidates among `members`, from those `known` among `before`.

    A change of a member weighs a few names in place of all, whatever their number.
    """
    if len(previous_candidates) < CANDIDATES_PER_SLOT or not members.issuperset(
        previous_candidates
    ):
        return candidates_of(slot, members)
    added = members - previous_members
    if not added:
        return previous_candidates
    return _ranked(f"quota {slot.count} {slot.index}", [*previous_candidates, *added])[
        :CANDIDATES_PER_SLOT
    ]


def update_voters(
    slot: Slot,
    previous_voters: frozenset[str],
    previous_members: frozenset[str],
    members: frozenset[str],
) -> frozenset[str]:
    """Returns the voters among `members`, from those `known` among `before`."""
    return (previous_voters & members) | voters_of(slot, members - previous_members)


def rank_of(process_name: str, caller: str, members: Collection[str]) -> int:
    """Returns a process's rank among all, another order for each caller."""
    own = _hash_weight(f"reserve {caller}", process_name)
    return sum(_hash_weight(f"reserve {caller}", name) < own for name in members)


def _ranked(salt: str, members: Collection[str]) -> Sequence[str]:
    return sorted(members, key=lambda name: _hash_weight(salt, name))


def _hash_weight(salt: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"{salt} {name}".encode()), name)
