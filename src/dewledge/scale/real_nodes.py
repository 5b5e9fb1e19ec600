"""Real members on loopback UDP beside the hollow ones: the same objects behind real sockets."""

import selectors
import socket
import time
from random import Random

import msgspec

from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.messages import MembershipEffect, SendDatagram
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.scale.topology import place_of

BUFFER_BYTES = 2048
SEEDS = 2


class RealRun(msgspec.Struct, frozen=True):
    """What real members did. processor_share: of a core, for each member, loop and sockets too."""

    members: int
    seconds: float
    all_joined: bool
    datagrams: float
    bytes_sent: float
    processor_share: float


class _RealNode:
    """One member with its socket."""

    def __init__(self, index: int, address: tuple[str, int], sock: socket.socket) -> None:
        self.sock = sock
        self.address = f"{address[0]}:{address[1]}"
        me = Member(f"real-{index:02d}", self.address, self.address, place_of(index).zone, 1)
        self.membership = Membership(me, MembershipSettings(), Random(f"real {index}"))
        self.datagrams = 0
        self.bytes_sent = 0

    def carry(self, effects: list[MembershipEffect]) -> None:
        """Sends what membership asks to be sent."""
        for effect in effects:
            if isinstance(effect, SendDatagram):
                host, port = effect.address.rsplit(":", 1)
                self.sock.sendto(effect.data, (host, int(port)))
                self.datagrams += 1
                self.bytes_sent += len(effect.data)

    def receive(self) -> None:
        """Takes in one datagram."""
        data, (host, port) = self.sock.recvfrom(BUFFER_BYTES)
        self.carry(self.membership.handle_datagram(data, f"{host}:{port}", time.monotonic()))


def run_real_nodes(count: int, seconds: float) -> RealRun:
    """Runs `count` members in this thread for a while."""
    nodes = [_open(index) for index in range(count)]
    seeds = [node.address for node in nodes[:SEEDS]]
    begun = time.thread_time()
    with selectors.DefaultSelector() as selector:
        for node in nodes:
            selector.register(node.sock, selectors.EVENT_READ, node)
            node.carry(node.membership.start(seeds, time.monotonic()))
        _loop(selector, nodes, time.monotonic() + seconds)
    spent = time.thread_time() - begun
    for node in nodes:
        node.sock.close()
    node_seconds = count * seconds
    return RealRun(
        members=count,
        seconds=seconds,
        all_joined=all(len(node.membership.members) == count for node in nodes),
        datagrams=sum(node.datagrams for node in nodes) / node_seconds,
        bytes_sent=sum(node.bytes_sent for node in nodes) / node_seconds,
        processor_share=spent / node_seconds,
    )


def _open(index: int) -> _RealNode:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return _RealNode(index, sock.getsockname(), sock)


def _loop(selector: selectors.BaseSelector, nodes: list[_RealNode], end: float) -> None:
    while (now := time.monotonic()) < end:
        due = min(node.membership.next_wake() for node in nodes)
        for key, _ in selector.select(max(0.0, min(due, end) - now)):
            key.data.receive()
        now = time.monotonic()
        for node in nodes:
            if node.membership.next_wake() <= now:
                node.carry(node.membership.tick(now))
