"""Decides which processes read the store's tables, and from which ones the others get changes.

A few processes, the readers, read the store. The others follow a reader, directly or through other
followers; the tree is computed by each process from the list of members. A follower whose source
lags behind tries another one and finally reads the store itself, so a wrong member list costs extra
calls but never correctness. The functions are pure.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.sharing.members import Member

MAX_PROCESSES_ALL_READING = 3
"""Processes up to which every process reads the store itself."""
READER_COUNT = 2
"""Processes that read the store if not all do: one in each of two regions, or two in the only
region, so that the loss of one is tolerated."""
FOLLOWERS_PER_PROCESS = 8
"""Followers per process. A process sends each change to each of its followers, so more would
overload the network link of a small machine."""


class ReadingPlan(msgspec.Struct, frozen=True):
    """Whether a process reads the store.

    sources: the processes that it follows otherwise, in order of preference.
    """

    is_reader: bool
    sources: tuple[str, ...] = ()


def reading_plan(
    process: str, members: Mapping[str, Member], region_of: Callable[[str], str]
) -> ReadingPlan:
    """Returns the reading plan of a process.

    process: its name, which must be in `members`. region_of: returns the region of a zone.
    """
    if len(members) <= MAX_PROCESSES_ALL_READING:
        return ReadingPlan(True)
    regions = _by_region(members, region_of)
    readers = _readers(regions)
    if process in readers:
        return ReadingPlan(True)
    order = regions[region_of(members[process].zone)]
    near = [name for name in order if name in readers]
    far = [name for name in readers if name not in near]
    position = order.index(process)
    parents = [order[(position - 1) // FOLLOWERS_PER_PROCESS]] if position > 0 else []
    sources = dict.fromkeys([*parents, *near, *far])
    return ReadingPlan(False, tuple(sources))


def _readers(regions: Mapping[str, Sequence[str]]) -> Sequence[str]:
    if len(regions) == 1:
        return next(iter(regions.values()))[:READER_COUNT]
    return [names[0] for names in regions.values()][:READER_COUNT]


def _by_region(
    members: Mapping[str, Member], region_of: Callable[[str], str]
) -> Mapping[str, Sequence[str]]:
    """Returns the processes of each region in the order of preference as readers."""
    regions: dict[str, list[str]] = {}
    for name in sorted(members, key=_weight):
        regions.setdefault(region_of(members[name].zone), []).append(name)
    return {region: regions[region] for region in sorted(regions)}


def _weight(name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"reader {name}".encode()), name)
