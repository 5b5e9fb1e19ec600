"""Processor times of single steps that hollow nodes do not take, or take too seldom to see."""

import socket
import time
from collections.abc import Callable

import msgspec

from dewledge.core.configuration import Configuration
from dewledge.core.configuration_codec import decode_snapshot, encode_snapshot
from dewledge.core.configuration_spread import with_changes
from dewledge.core.placement import GatewayPlacement
from dewledge.scale.memory import founders
from dewledge.scale.workload import drain_change

DATAGRAMS = 5000
REPEATS = 5
DATAGRAM = b"x" * 100
BUFFER_BYTES = 2048


class UnitCosts(msgspec.Struct, frozen=True):
    """Seconds of processor time, and sizes in bytes.

    datagram_system_call: sending and receiving one datagram on loopback, in the kernel and the
    socket library. placement_full: ranking all databases; placement_update: after one member has
    gone. configuration_change: applying one change. snapshot_encode, snapshot_decode: a newcomer's.
    """

    datagram_system_call: float
    placement_full: float
    placement_update: float
    configuration_change: float
    snapshot_encode: float
    snapshot_decode: float
    snapshot_bytes: int


def measure_unit_costs(size: int, configuration: Configuration) -> UnitCosts:
    """Measures each step a few times and takes the least."""
    members = founders(size)
    snapshot = encode_snapshot(configuration)
    name = members[0].name
    previous = GatewayPlacement(members, configuration)
    previous.databases_of(name)

    def place_anew() -> None:
        GatewayPlacement(members, configuration).databases_of(name)

    def place_after_a_loss() -> None:
        GatewayPlacement(members[:-1], configuration, previous).databases_of(name)

    change = drain_change(configuration.revision + 1)
    return UnitCosts(
        datagram_system_call=_datagram_cost(),
        placement_full=_least(place_anew),
        placement_update=_least(place_after_a_loss),
        configuration_change=_least(lambda: with_changes(configuration, [change])),
        snapshot_encode=_least(lambda: encode_snapshot(configuration)),
        snapshot_decode=_least(lambda: decode_snapshot(snapshot)),
        snapshot_bytes=len(snapshot),
    )


def _least(step: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        begun = time.thread_time()
        step()
        times.append(time.thread_time() - begun)
    return min(times)


def _datagram_cost() -> float:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(1.0)
        address = receiver.getsockname()
        begun = time.thread_time()
        for _ in range(DATAGRAMS):
            sender.sendto(DATAGRAM, address)
            receiver.recvfrom(BUFFER_BYTES)
        return (time.thread_time() - begun) / DATAGRAMS
