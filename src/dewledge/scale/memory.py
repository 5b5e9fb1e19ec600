"""Memory of one node's control state, as a slope: traced bytes of some nodes over their number."""

import gc
import tracemalloc
from collections.abc import Callable

import msgspec

from dewledge.core.proxy.configuration.codec import decode_snapshot, encode_snapshot
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.scale.hollow_cluster import HollowCluster
from dewledge.scale.topology import place_of

SAMPLED_NODES = 4


class MemoryPerNode(msgspec.Struct, frozen=True):
    """Bytes. membership: table and protocol state; configuration: decoded; placement: rankings."""

    membership: int
    configuration: int
    placement: int


def measure_memory(size: int, configuration: Configuration, seed: int) -> MemoryPerNode:
    """Measures with a few nodes that hold a table of `size` members."""
    members = founders(size)
    tracemalloc.start()
    try:
        return MemoryPerNode(
            membership=_traced(lambda: _small_cluster(size, seed)) // SAMPLED_NODES,
            configuration=_traced(lambda: decode_snapshot(encode_snapshot(configuration))),
            placement=_traced(lambda: _placement(members, configuration)),
        )
    finally:
        tracemalloc.stop()


def founders(size: int) -> tuple[Member, ...]:
    """Returns that many members, spread over the zones."""
    return tuple(
        Member(f"proxy-{index:04d}", "p", "g", place_of(index).zone, 1) for index in range(size)
    )


def _traced(build: Callable[[], object]) -> int:
    """Returns the bytes that the result of `build` holds, temporary ones excluded."""
    gc.collect()
    before, _ = tracemalloc.get_traced_memory()
    held = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    del held
    return after - before


def _small_cluster(size: int, seed: int) -> HollowCluster:
    """Returns a cluster in which only a few of `size` members run; these know all the others."""
    cluster = HollowCluster(size, seed)
    cluster.start_all(EMPTY_CONFIGURATION, SAMPLED_NODES)
    cluster.run(2.0)
    return cluster


def _placement(members: tuple[Member, ...], configuration: Configuration) -> GatewayPlacement:
    placement = GatewayPlacement(members, configuration)
    placement.databases_of(members[0].name)
    return placement
