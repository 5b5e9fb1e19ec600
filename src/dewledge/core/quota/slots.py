"""Which processes may grant a caller's tokens. Pure functions.

Callers are divided into slots, more with more processes, so that no process answers all. For
each slot every process works out the same few candidates by rendezvous hashing; how much each may
grant follows from the votes for it (grantor.py).
"""

from collections.abc import Collection, Sequence

import msgspec
import xxhash

PROCESSES_PER_SLOT = 32
"""At this many, a grantor hears some hundred questions a second from its voters, a few hundredths
of a small machine's core."""
CANDIDATES = 5
"""So many processes stand in for each other: of a side with a third of all, one is among them with
seven chances of eight."""


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """One of `count` parts of all callers."""

    count: int
    index: int


def slot_count(processes: int) -> int:
    """Returns into how many slots callers are divided."""
    return max(-(-processes // PROCESSES_PER_SLOT), 1)


def slot_of(caller: str, count: int) -> Slot:
    """Returns the slot of a caller."""
    return Slot(count, xxhash.xxh3_64_intdigest(f"quota {caller}".encode()) % count)


def candidates_of(slot: Slot, members: Collection[str]) -> Sequence[str]:
    """Returns the processes that may grant for a slot, first choice first."""
    return _ranked(f"quota {slot.count} {slot.index}", members)[:CANDIDATES]


def place_of(own_name: str, caller: str, members: Collection[str]) -> int:
    """Returns a process's place among all, another order for each caller."""
    own = _weight(f"reserve {caller}", own_name)
    return sum(_weight(f"reserve {caller}", name) < own for name in members)


def _ranked(salt: str, members: Collection[str]) -> Sequence[str]:
    return sorted(members, key=lambda name: _weight(salt, name))


def _weight(salt: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"{salt} {name}".encode()), name)
