"""The virtual network: delays between nodes, and the faults a message can meet."""

from collections.abc import Callable
from random import Random

import msgspec

from dewledge.simulation.clock import Action, EventQueue

JITTER_SHARE = 0.1
"""Each delay is stretched by up to this share of itself."""


class LinkFaults(msgspec.Struct, frozen=True):
    """Probabilities, per message, of what can go wrong on a link; `extra_delay` is in seconds.

    A delayed or reordered message waits up to `extra_delay` more, and later ones may overtake it.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    extra_delay: float = 0.0


NO_FAULTS = LinkFaults()


class Network:
    """Carries actions from node to node after the delay of their link.

    Without faults a link keeps the order of its messages, as a TCP connection does.
    """

    def __init__(
        self, queue: EventQueue, random: Random, delay_between: Callable[[str, str], float]
    ) -> None:
        self._queue = queue
        self._random = random
        self._delay_between = delay_between
        self._cut: set[frozenset[str]] = set()
        self._faults = NO_FAULTS
        self._last_arrival: dict[tuple[str, str], float] = {}
        self.lost = 0

    def set_faults(self, faults: LinkFaults) -> None:
        """Applies faults to every link between different nodes from now on."""
        self._faults = faults

    def cut(self, first: str, second: str) -> None:
        """Drops everything between two nodes, both ways, also what is on its way."""
        self._cut.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Ends a cut."""
        self._cut.discard(frozenset((first, second)))

    def is_cut(self, first: str, second: str) -> bool:
        """Tells whether nothing passes between two nodes."""
        return frozenset((first, second)) in self._cut

    def send(self, source: str, destination: str, deliver: Action) -> None:
        """Runs `deliver` when the message arrives; never, if it is lost."""
        if source == destination:
            self._queue.call_after(0.0, deliver)
            return
        if self.is_cut(source, destination) or self._random.random() < self._faults.loss:
            self.lost += 1
            return
        self._schedule(source, destination, deliver)
        if self._random.random() < self._faults.duplicate:
            self._schedule(source, destination, deliver)

    def send_stream(self, source: str, destination: str, deliver: Action) -> None:
        """Like `send` on one connection whose reader would notice a doubled or swapped message."""
        if self.is_cut(source, destination) or self._random.random() < self._faults.loss:
            self.lost += 1
            return
        self._schedule_in_order(source, destination, self._delay(source, destination), deliver)

    def send_reliably(
        self, source: str, destination: str, deliver: Action, cut: Action | None = None
    ) -> None:
        """Like `send_stream` on a link that only a cut can harm, such as a caller's own.

        `cut` runs in place of `deliver` if a cut keeps the message from arriving.
        """
        delay = self._delay(source, destination)
        self._schedule_in_order(source, destination, delay, deliver, cut)

    def _schedule(self, source: str, destination: str, deliver: Action) -> None:
        delay = self._delay(source, destination)
        if self._random.random() < self._faults.reorder:
            delay += self._random.uniform(0.0, self._faults.extra_delay)
            self._queue.call_after(delay, self._unless_cut(source, destination, deliver))
            return
        self._schedule_in_order(source, destination, delay, deliver)

    def _schedule_in_order(
        self,
        source: str,
        destination: str,
        delay: float,
        deliver: Action,
        cut: Action | None = None,
    ) -> None:
        link = (source, destination)
        arrival = max(self._queue.now + delay, self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        self._queue.call_at(arrival, self._unless_cut(source, destination, deliver, cut))

    def _unless_cut(
        self, source: str, destination: str, deliver: Action, cut: Action | None = None
    ) -> Action:
        def arrive() -> None:
            if not self.is_cut(source, destination):
                deliver()
                return
            self.lost += 1
            if cut is not None:
                cut()

        return arrive

    def _delay(self, source: str, destination: str) -> float:
        delay = self._delay_between(source, destination)
        return delay * (1.0 + self._random.uniform(0.0, JITTER_SHARE))
