"""Which processes read the store's tables themselves, and whom the others follow. Pure functions.

A few read; the others ask one of those, or one that asks one of those: a tree over the members in
an order that each process works out for itself. A follower whose source is behind tries another,
and at last reads by itself, so a wrong view of the members costs calls and not correctness.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.sharing.members import Member

MOST_READING_ALL = 3
"""Processes; where there are no more, each reads the store itself."""
READERS = 2
"""Processes that read where not all do: one of each of two regions, or two of the only region, so
that one may be lost."""
FOLLOWERS_PER_PROCESS = 8
"""Followers; few, since a process sends each change once to every follower, over the link of a
small machine."""


class ReadingPlan(msgspec.Struct, frozen=True):
    """Whether this process reads the store, and whom it follows, first choice first."""

    is_reader: bool
    sources: tuple[str, ...] = ()


def reading_plan(
    own_name: str, members: Mapping[str, Member], region_of: Callable[[str], str]
) -> ReadingPlan:
    """Returns what the process `own_name` does among `members`, itself one of them.

    region_of: of a zone.
    """
    if len(members) <= MOST_READING_ALL:
        return ReadingPlan(True)
    regions = _by_region(members, region_of)
    readers = _readers(regions)
    if own_name in readers:
        return ReadingPlan(True)
    order = regions[region_of(members[own_name].zone)]
    near = [name for name in order if name in readers]
    far = [name for name in readers if name not in near]
    position = order.index(own_name)
    parents = [order[(position - 1) // FOLLOWERS_PER_PROCESS]] if position > 0 else []
    sources = dict.fromkeys([*parents, *near, *far])
    return ReadingPlan(False, tuple(sources))


def _readers(regions: Mapping[str, Sequence[str]]) -> Sequence[str]:
    if len(regions) == 1:
        return next(iter(regions.values()))[:READERS]
    return [names[0] for names in regions.values()][:READERS]


def _by_region(
    members: Mapping[str, Member], region_of: Callable[[str], str]
) -> Mapping[str, Sequence[str]]:
    """Returns the names of each region in the order in which they become readers."""
    regions: dict[str, list[str]] = {}
    for name in sorted(members, key=_weight):
        regions.setdefault(region_of(members[name].zone), []).append(name)
    return {region: regions[region] for region in sorted(regions)}


def _weight(name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"reader {name}".encode()), name)
