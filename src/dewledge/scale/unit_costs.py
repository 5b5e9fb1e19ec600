"""Processor times of single steps that hollow nodes do not take, or take too seldom to see."""

import socket
import time
from collections.abc import Callable

import msgspec

from dewledge.core.proxy.configuration.codec import decode_snapshot, encode_snapshot
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.spread import with_changes
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest, decode, encode
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.scale.hollow_network import MESSAGE_OVERHEAD
from dewledge.scale.memory import founders
from dewledge.scale.workload import drain_change

DATAGRAMS = 5000
REPEATS = 5
DATAGRAM = b"x" * 100
GROUP_SIZE = 3
BUFFER_BYTES = 2048


class UnitCosts(msgspec.Struct, frozen=True):
    """Seconds of processor time, and sizes in bytes.

    datagram_system_call: sending and receiving one datagram on loopback, in the kernel and the
    socket library. placement_full: ranking all databases; placement_update: after one member has
    gone. configuration_change: applying one change. snapshot_encode, snapshot_decode: a newcomer's.
    group_view_codec: encoding and decoding a question for a group's statuses and its answer, as the
    two proxies do it together; group_view_bytes: both messages, headers included.
    """

    datagram_system_call: float
    placement_full: float
    placement_update: float
    configuration_change: float
    snapshot_encode: float
    snapshot_decode: float
    snapshot_bytes: int
    group_view_codec: float
    group_view_bytes: int


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
        group_view_codec=_least(_exchange_group_view),
        group_view_bytes=_exchange_group_view(),
    )


def _exchange_group_view() -> int:
    """Passes a question for a group's statuses and its answer through the codec."""
    position = LogPosition(12, 1_234_567)
    terms = (TermStart(11, 1_000_000), TermStart(12, 1_200_000))
    statuses = tuple(
        DatabaseStatus(
            f"database-{number:04d}", DatabaseRole.REPLICA, 12, position, position, terms
        )
        for number in range(GROUP_SIZE)
    )
    question = encode(GroupStatusRequest(123_456, "group-123"))
    decode(question)
    answer = encode(GroupStatusAnswer(123_456, "group-123", statuses, (0.1, 0.2, 0.3)))
    decode(answer)
    return len(question) + len(answer) + 2 * MESSAGE_OVERHEAD


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
