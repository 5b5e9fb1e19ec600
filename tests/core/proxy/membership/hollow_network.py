"""The simulated network between hollow nodes: delays, faults, cuts, and what passed over it."""

from collections.abc import Callable
from random import Random

import msgspec

from dewledge.simulation.clock import EventQueue
from tests.core.proxy.membership.hollow_topology import Locality, delay

JITTER_SHARE = 0.1
"""Each delay is stretched by up to this share of itself."""

DATAGRAM_OVERHEAD = 28
"""Bytes of the IP and UDP headers."""

MESSAGE_OVERHEAD = 4 + 2 * 52
"""Bytes of the length prefix and of the IP and TCP headers of a segment and its acknowledgement."""

LINK_ROUND_TRIPS = 1.5
"""Delays before a message arrives over a link that has to be opened first, in round trips."""

Delivery = Callable[[], None]


class NetworkFaults(msgspec.Struct, frozen=True):
    """Probabilities for each datagram; `extra_delay` is the most that a late one waits, seconds."""

    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0
    extra_delay: float = 0.0


class Traffic(msgspec.Struct):
    """What one node has sent and received, headers included."""

    datagrams_sent: int = 0
    bytes_sent: int = 0
    datagrams_received: int = 0
    bytes_received: int = 0
    messages_sent: int = 0


class HollowNetwork:
    """Carries datagrams, which may be lost, and messages on links, which only a cut can harm."""

    def __init__(self, queue: EventQueue, random: Random) -> None:
        self.faults = NetworkFaults()
        self.regions_are_cut = False
        self._queue = queue
        self._random = random

    def send_datagram(self, source: Locality, destination: Locality, deliver: Delivery) -> None:
        """Delivers a datagram once, twice, late or never."""
        faults = self.faults
        if self._is_cut(source, destination) or self._random.random() < faults.loss:
            return
        self._deliver_after(self._late(delay(source, destination)), source, destination, deliver)
        if faults.duplicate and self._random.random() < faults.duplicate:
            self._deliver_after(
                self._late(delay(source, destination)), source, destination, deliver
            )

    def send_message(self, source: Locality, destination: Locality, deliver: Delivery) -> None:
        """Delivers a message over a link that is opened for it."""
        if self._is_cut(source, destination):
            return
        pause = delay(source, destination) * (1 + 2 * LINK_ROUND_TRIPS)
        self._deliver_after(pause, source, destination, deliver)

    def _late(self, pause: float) -> float:
        if self.faults.late and self._random.random() < self.faults.late:
            return pause + self._random.uniform(0.0, self.faults.extra_delay)
        return pause

    def _deliver_after(
        self, pause: float, source: Locality, destination: Locality, deliver: Delivery
    ) -> None:
        def arrive() -> None:
            if not self._is_cut(source, destination):
                deliver()

        stretched = pause * (1.0 + JITTER_SHARE * self._random.random())
        self._queue.call_after(stretched, arrive)

    def _is_cut(self, source: Locality, destination: Locality) -> bool:
        return self.regions_are_cut and source.region != destination.region
