"""Many hollow nodes on one simulated network and clock, and the faults that befall them."""

from collections.abc import Iterable
from random import Random

import msgspec

from dewledge.core.proxy.configuration.configuration import (
    EMPTY_CONFIGURATION,
    ChangeSet,
    Configuration,
)
from dewledge.core.proxy.membership.member import Member, claim_of
from dewledge.core.proxy.membership.messages import (
    MAX_CLAIM_BYTES,
    MEMBERSHIP_VERSION,
    Envelope,
    PullAnswer,
    PullRequest,
    claim_size,
    decode_datagram,
    encode_datagram,
)
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.simulation.clock import EventQueue, ScheduledEvent
from tests.core.proxy.membership.hollow_network import HollowNetwork
from tests.core.proxy.membership.hollow_node import Carrier, HollowNode
from tests.core.proxy.membership.hollow_topology import place_of

DIRECTORY_ADDRESS = "10.255.255.255:7002"
"""Answers newcomers at the first start of all, so that a run need not begin with a join storm."""

SEEDS_PER_NODE = 3
MAX_BUFFERED_DATAGRAMS = 200
NOT_SCHEDULED = float("inf")


class _Hosted(msgspec.Struct):
    """A node with its next tick, and the datagrams that wait while it is frozen."""

    node: HollowNode
    wake_at: float = NOT_SCHEDULED
    wake: ScheduledEvent | None = None
    frozen: bool = False
    waiting: list[tuple[bytes, str]] = msgspec.field(default_factory=list)


class HollowCluster:
    """Builds, runs and disturbs a cluster. Everything follows from the seed."""

    def __init__(self, size: int, seed: int, settings: MembershipSettings | None = None) -> None:
        self.queue = EventQueue()
        self.random = Random(f"cluster {seed}")
        self.network = HollowNetwork(self.queue, self.random)
        self.settings = settings or MembershipSettings()
        self._seed = seed
        self._hosts: dict[str, _Hosted] = {}
        self._by_address: dict[str, str] = {}
        self._carrier = Carrier(self._carry_datagram, self._carry_message)
        self._started = 0
        self._directory: dict[str, PullAnswer] = {}
        self._founders = tuple(_member(index, 1) for index in range(size))

    @property
    def now(self) -> float:
        """The simulated time, seconds."""
        return self.queue.now

    @property
    def nodes(self) -> list[HollowNode]:
        """The running nodes, frozen ones too."""
        return [hosted.node for hosted in self._hosts.values()]

    @property
    def names(self) -> list[str]:
        """The names of the running nodes."""
        return list(self._hosts)

    def node(self, name: str) -> HollowNode:
        """Returns a running node."""
        return self._hosts[name].node

    def start_all(
        self, configuration: Configuration = EMPTY_CONFIGURATION, limit: int | None = None
    ) -> None:
        """Starts every founder, or the first few; each pulls the table of all from a directory."""
        for member in self._founders[:limit]:
            self._start(member, (DIRECTORY_ADDRESS,), configuration)

    def start_by_joining(self, configuration: Configuration = EMPTY_CONFIGURATION) -> None:
        """Starts every founder with the first few as seeds, as on a first installation."""
        seeds = tuple(member.gossip_address for member in self._founders[:SEEDS_PER_NODE])
        for member in self._founders:
            self._start(member, seeds, configuration)

    def add(self, index: int, seeds: Iterable[str] | None = None) -> HollowNode:
        """Starts a newcomer that knows a few running nodes and no configuration."""
        chosen = tuple(seeds) if seeds is not None else self._some_addresses()
        return self._start(_member(index, self._incarnation()), chosen, EMPTY_CONFIGURATION)

    def kill(self, name: str) -> None:
        """Ends a node without a word."""
        hosted = self._hosts.pop(name)
        del self._by_address[hosted.node.membership.me.gossip_address]
        if hosted.wake is not None:
            hosted.wake.cancel()

    def restart(self, name: str, configuration: Configuration = EMPTY_CONFIGURATION) -> HollowNode:
        """Starts a killed node anew under its old name and address."""
        member = _member(int(name.rsplit("-", 1)[1]), self._incarnation())
        return self._start(member, self._some_addresses(), configuration)

    def freeze(self, name: str) -> None:
        """Stops a node in its tracks; what arrives waits in its socket."""
        self._hosts[name].frozen = True

    def thaw(self, name: str) -> None:
        """Lets a frozen node go on: what waited first, then its clock."""
        hosted = self._hosts[name]
        hosted.frozen = False
        waiting, hosted.waiting = hosted.waiting, []
        for data, address in waiting:
            hosted.node.receive_datagram(data, address, self.now)
        hosted.node.tick(self.now)
        self._schedule(hosted)

    def accept_change(self, name: str, change: ChangeSet) -> None:
        """Has a node take a change as accepted by the store."""
        hosted = self._hosts[name]
        hosted.node.accept_change(change, self.now)
        self._schedule(hosted)

    def leave(self, name: str) -> None:
        """Has a node announce its planned stop."""
        self._hosts[name].node.leave(self.now)

    def stop(self, name: str) -> None:
        """Has a node announce its end, and ends it."""
        self._hosts[name].node.stop(self.now)
        self.kill(name)

    def run(self, seconds: float) -> None:
        """Lets simulated time pass."""
        self.queue.run_until(self.now + seconds)

    def _start(
        self, member: Member, seeds: tuple[str, ...], configuration: Configuration
    ) -> HollowNode:
        self._started += 1
        place = place_of(int(member.name.rsplit("-", 1)[1]))
        seed = f"{self._seed} {member.name} {self._started}"
        node = HollowNode(member, place, self.settings, seed, self._carrier)
        hosted = _Hosted(node)
        self._hosts[member.name] = hosted
        self._by_address[member.gossip_address] = member.name
        node.start(seeds, configuration, self.now)
        self._schedule(hosted)
        return node

    def _schedule(self, hosted: _Hosted) -> None:
        """Keeps one tick scheduled for a node, at the time it asks for."""
        due = hosted.node.next_wake()
        if hosted.wake is not None and hosted.wake_at <= due:
            return
        if hosted.wake is not None:
            hosted.wake.cancel()
        hosted.wake_at = due
        hosted.wake = self.queue.call_at(due, lambda: self._wake(hosted))

    def _wake(self, hosted: _Hosted) -> None:
        hosted.wake = None
        hosted.wake_at = NOT_SCHEDULED
        if hosted.frozen:
            return
        hosted.node.tick(self.now)
        self._schedule(hosted)

    def _carry_datagram(self, source: HollowNode, address: str, data: bytes) -> None:
        if address == DIRECTORY_ADDRESS:
            self._answer_as_directory(source, data)
            return
        name = self._by_address.get(address)
        if name is None:
            return
        origin = source.membership.me.gossip_address
        place = self._hosts[name].node.place
        self.network.send_datagram(source.place, place, lambda: self._arrive(name, data, origin))

    def _arrive(self, name: str, data: bytes, origin: str) -> None:
        hosted = self._hosts.get(name)
        if hosted is None:
            return
        if not hosted.frozen:
            hosted.node.receive_datagram(data, origin, self.now)
            self._schedule(hosted)
        elif len(hosted.waiting) < MAX_BUFFERED_DATAGRAMS:
            hosted.waiting.append((data, origin))

    def _carry_message(self, source: HollowNode, peer: str, data: bytes) -> None:
        hosted = self._hosts.get(peer)
        if hosted is not None:
            self.network.send_message(
                source.place,
                hosted.node.place,
                lambda: self._arrive_message(peer, source.name, data),
            )

    def _arrive_message(self, name: str, source: str, data: bytes) -> None:
        hosted = self._hosts.get(name)
        if hosted is not None and not hosted.frozen:
            hosted.node.receive_message(source, data, self.now)
            self._schedule(hosted)

    def _answer_as_directory(self, newcomer: HollowNode, data: bytes) -> None:
        request = decode_datagram(data, self.settings.shared_key).body
        if not isinstance(request, PullRequest):
            return
        answer = self._directory_part(request)
        envelope = Envelope(MEMBERSHIP_VERSION, "directory", 0, answer)
        reply = encode_datagram(envelope, self.settings.shared_key)
        self.queue.call_after(0.0, lambda: self._arrive(newcomer.name, reply, DIRECTORY_ADDRESS))

    def _directory_part(self, request: PullRequest) -> PullAnswer:
        if request.after not in self._directory:
            self._directory[request.after] = self._compose_part(request.after)
        return msgspec.structs.replace(self._directory[request.after], sequence=request.sequence)

    def _compose_part(self, after: str) -> PullAnswer:
        claims = [claim_of(item, True) for item in self._founders if item.name > after]
        entries = []
        room = MAX_CLAIM_BYTES
        for claim in claims:
            room -= claim_size(claim)
            if room < 0:
                break
            entries.append(claim)
        return PullAnswer(0, tuple(entries), len(entries) == len(claims))

    def _some_addresses(self) -> tuple[str, ...]:
        addresses = sorted(self._by_address)
        return tuple(self.random.sample(addresses, min(SEEDS_PER_NODE, len(addresses))))

    def _incarnation(self) -> int:
        return 2 + int(self.now)


def _member(index: int, incarnation: int) -> Member:
    host = f"10.{index // 62500}.{index // 250 % 250}.{index % 250 + 1}"
    name = f"proxy-{index:04d}"
    zone = place_of(index).zone
    return Member(name, f"{host}:7001", f"{host}:7002", zone, incarnation)
