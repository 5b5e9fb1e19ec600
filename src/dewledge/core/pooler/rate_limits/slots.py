"""Assigns callers to slots, and grantor candidates and voters to each slot.

Callers are hashed into slots, whose number grows with the number of processes, so that no process
grants for all callers. For each slot every process computes the same few candidates by rendezvous
hashing. The votes that a candidate holds determine how much it may grant (grantor.py).

A process votes in SLOTS_PER_VOTER slots whatever the number of processes, so neither the votes that
it sends nor those that a grantor receives grow with a deployment. Its slots follow from its name
and the number of slots alone, so processes with different member lists agree on them.
"""

from collections.abc import Collection, Sequence

import msgspec
import xxhash

MAX_PROCESSES_PER_SLOT = 32
"""Processes for each slot, at most: determines the number of slots. With more processes than this,
a slot has between SLOTS_PER_VOTER / 2 and SLOTS_PER_VOTER times as many voters, which limits the
votes that a grantor receives each second."""
SLOTS_PER_VOTER = 2
"""Slots in which each process votes. More slots divide the votes more evenly between the two sides
of a network partition; each costs a question and an answer every VOTE_INTERVAL_SECONDS."""
CANDIDATES_PER_SLOT = 5
"""Processes that may grant in a slot. A side of a network partition with a third of all processes
has a candidate with a probability of 1 - (2/3)^5, about seven in eight."""


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """A partition of the callers, one of `count`."""

    count: int
    index: int


def slot_count(processes: int) -> int:
    """Returns the number of slots for a number of processes: a power of two.

    Powers of two keep changes of the number rare while a deployment starts process by process. Each
    change delays grants until the votes in the old slots expire or are dropped.
    """
    min_slots = max(-(-processes // MAX_PROCESSES_PER_SLOT), 1)
    return 1 << (min_slots - 1).bit_length()


def voting_slots(name: str, count: int) -> Sequence[Slot]:
    """Returns the slots in which a process votes.

    When the number of slots doubles, every voter of a new slot was a voter of the old slot that
    contained it, so a caller keeps some of its voters.
    """
    first = xxhash.xxh3_64_intdigest(f"votes {name}".encode()) % count
    return [Slot(count, (first + step) % count) for step in range(min(SLOTS_PER_VOTER, count))]


def is_voter(name: str, slot: Slot) -> bool:
    """Returns whether a process votes in a slot."""
    return slot in voting_slots(name, slot.count)


def voters_of(slot: Slot, members: Collection[str]) -> frozenset[str]:
    """Returns the members that vote in a slot."""
    if slot.count <= SLOTS_PER_VOTER:
        return frozenset(members)
    return frozenset(name for name in members if is_voter(name, slot))


def slot_of(caller: str, count: int) -> Slot:
    """Returns the slot of a caller."""
    return Slot(count, xxhash.xxh3_64_intdigest(f"quota {caller}".encode()) % count)


def candidates_of(slot: Slot, members: Collection[str]) -> Sequence[str]:
    """Returns the members that may grant in a slot, the most preferred first."""
    return _ranked(f"quota {slot.count} {slot.index}", members)[:CANDIDATES_PER_SLOT]


def update_candidates(
    slot: Slot,
    previous_candidates: Sequence[str],
    previous_members: frozenset[str],
    members: frozenset[str],
) -> Sequence[str]:
    """Returns the candidates after a change of the members.

    Hashes only the previous candidates and the added members, not all members.
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
    """Returns the voters after a change of the members; hashes only the added members."""
    return (previous_voters & members) | voters_of(slot, members - previous_members)


def rank_of(process_name: str, caller: str, members: Collection[str]) -> int:
    """Returns a process's rank among all members, in a different order for each caller."""
    process_weight = _hash_weight(f"reserve {caller}", process_name)
    return sum(_hash_weight(f"reserve {caller}", name) < process_weight for name in members)


def _ranked(salt: str, members: Collection[str]) -> Sequence[str]:
    return sorted(members, key=lambda name: _hash_weight(salt, name))


def _hash_weight(salt: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"{salt} {name}".encode()), name)
