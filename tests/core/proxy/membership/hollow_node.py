"""A hollow node: the control parts of a real proxy, without sockets, callers or databases."""

import time
from collections.abc import Callable
from random import Random

import msgspec

from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration
from dewledge.core.proxy.configuration.spread import (
    ConfigurationChanged,
    ConfigurationSpread,
    SpreadEffect,
    SpreadMessage,
)
from dewledge.core.proxy.effects import LogEvent, SendToPeer
from dewledge.core.proxy.membership.isolation import IsolationGuard
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.messages import (
    MembersChanged,
    MembershipEffect,
    PeerRevisionSeen,
    SendDatagram,
    StoreContactSeen,
)
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.messages import PeerMessage, decode, encode
from tests.core.proxy.membership.hollow_network import DATAGRAM_OVERHEAD, MESSAGE_OVERHEAD, Traffic
from tests.core.proxy.membership.hollow_topology import Locality


class Carrier(msgspec.Struct, frozen=True):
    """How a node's effects leave it: towards a UDP address, or over a link to a named peer."""

    datagram: Callable[["HollowNode", str, bytes], None]
    message: Callable[["HollowNode", str, bytes], None]


class HollowNode:
    """Membership, configuration spread and isolation guard, wired as in a proxy.

    processor_time: seconds of thread time spent in the control parts, codecs included.
    """

    def __init__(
        self, me: Member, place: Locality, settings: MembershipSettings, seed: str, carrier: Carrier
    ) -> None:
        self.name = me.name
        self.place = place
        self.membership = Membership(me, settings, Random(f"{seed} membership"))
        self.spread = ConfigurationSpread(me.name, Random(f"{seed} spread"))
        self.guard = IsolationGuard()
        self.traffic = Traffic()
        self.processor_time = 0.0
        self.log_counts: dict[str, int] = {}
        self._carrier = carrier

    @property
    def revision(self) -> int:
        """The configuration revision in force."""
        return self.spread.configuration.revision

    def start(self, seeds: tuple[str, ...], configuration: Configuration, now: float) -> None:
        """Joins, with a configuration read beforehand (the empty one: from peers)."""
        self._run(lambda: self._carry_spread(self.spread.adopt_snapshot(configuration, now), now))
        self._run(lambda: self._carry(self.membership.start(seeds, now), now))

    def tick(self, now: float) -> None:
        """Does what is due."""

        def work() -> None:
            self._carry(self.membership.tick(now), now)
            self._carry_spread(self.spread.tick(now), now)
            membership = self.membership
            self.guard.note_members(membership.reachable_count, membership.known_count, now)

        self._run(work)

    def next_wake(self) -> float:
        """Returns when `tick` is next due."""
        due = self.spread.next_wake()
        wake = self.membership.next_wake()
        return wake if due is None else min(wake, due)

    def receive_datagram(self, data: bytes, address: str, now: float) -> None:
        """Takes in a datagram."""
        self.traffic.datagrams_received += 1
        self.traffic.bytes_received += len(data) + DATAGRAM_OVERHEAD
        self._run(lambda: self._carry(self.membership.handle_datagram(data, address, now), now))

    def receive_message(self, peer: str, data: bytes, now: float) -> None:
        """Takes in a message from a link."""
        self.traffic.bytes_received += len(data) + MESSAGE_OVERHEAD

        def work() -> None:
            message: PeerMessage = decode(data)
            if isinstance(message, SpreadMessage):
                self._carry_spread(self.spread.handle_peer_message(peer, message, now), now)

        self._run(work)

    def accept_change(self, change: ChangeSet, now: float) -> None:
        """Takes a change as the proxy that got it accepted by the store."""
        self._run(lambda: self._carry_spread(self.spread.adopt_change(change, now), now))

    def note_store_contact(self, now: float) -> None:
        """Takes word from the store that the revision in force is its head."""
        self.membership.note_store_contact(now)
        self.guard.note_store_contact(now)

    def leave(self, now: float) -> None:
        """Announces a planned stop."""
        self._run(lambda: self._carry(self.membership.leave(now), now))

    def stop(self, now: float) -> None:
        """Announces the end."""
        self._run(lambda: self._carry(self.membership.stop(now), now))

    def _run(self, work: Callable[[], None]) -> None:
        begun = time.thread_time()
        work()
        self.processor_time += time.thread_time() - begun

    def _carry(self, effects: list[MembershipEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case SendDatagram(address=address, data=data):
                    self.traffic.datagrams_sent += 1
                    self.traffic.bytes_sent += len(data) + DATAGRAM_OVERHEAD
                    self._carrier.datagram(self, address, data)
                case MembersChanged(members=members):
                    self._carry_spread(self.spread.set_members(members, now), now)
                case PeerRevisionSeen(peer=peer, revision=revision):
                    found = self.spread.handle_peer_revision(peer, revision, now)
                    self._carry_spread(found, now)
                case StoreContactSeen(at=at):
                    self.guard.note_store_contact(at)
                case LogEvent(name=name):
                    self.log_counts[name] = self.log_counts.get(name, 0) + 1

    def _carry_spread(self, effects: list[SpreadEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case SendToPeer(peer=peer, message=message):
                    data = encode(message)
                    self.traffic.messages_sent += 1
                    self.traffic.bytes_sent += len(data) + MESSAGE_OVERHEAD
                    self._carrier.message(self, peer, data)
                case ConfigurationChanged(configuration=configuration):
                    self.membership.local_revision = configuration.revision
                case LogEvent(name=name):
                    self.log_counts[name] = self.log_counts.get(name, 0) + 1
