"""Which processes read the store's tables themselves, and whom the others follow. Pure functions.

A few read; the others ask one of those, or one that asks one of those: a tree over the members in
an order that each process works out for itself. A follower whose source is behind tries another,
and at last reads by itself, so a wrong view of the members costs calls and not correctness.
"""

from collections.abc import Iterable

import msgspec
import xxhash

MOST_READING_ALL = 12
"""Up to so many processes each read the store themselves."""
READERS = 2
FOLLOWERS_PER_PROCESS = 40


class ReadingPlan(msgspec.Struct, frozen=True):
    """Whether this process reads the store, and whom it follows, first choice first."""

    is_reader: bool
    sources: tuple[str, ...] = ()


def reading_plan(own_name: str, members: Iterable[str]) -> ReadingPlan:
    """Returns what the process `own_name` does among `members`."""
    order = sorted({*members, own_name}, key=_weight)
    if len(order) <= MOST_READING_ALL:
        return ReadingPlan(True)
    readers = order[:READERS]
    index = order.index(own_name)
    if index < READERS:
        return ReadingPlan(True)
    parent = (index - READERS) // FOLLOWERS_PER_PROCESS
    start = index % READERS
    others = [*readers[start:], *readers[:start]]
    first = order[parent] if parent >= READERS else others.pop(0)
    return ReadingPlan(False, (first, *others))


def _weight(name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"reader {name}".encode()), name)
