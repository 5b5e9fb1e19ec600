"""Pings made on behalf of others: whom to tell when the target answers, or does not."""

import msgspec

MAX_RELAYS = 64
"""Requests for indirect probes that are under way for others; bounds what a storm of them can
hold."""
NOT_WAITING = float("inf")


class Relay(msgspec.Struct, frozen=True):
    """Who asked, and under which sequence number of its own."""

    address: str
    sequence: int
    deadline: float


class RelayBook:
    """The relayed pings under way, by our own sequence number; a bounded number of them."""

    def __init__(self) -> None:
        self._relays: dict[int, Relay] = {}

    def add(self, sequence: int, relay: Relay) -> bool:
        """Notes a ping; returns False, and notes nothing, when there are too many."""
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[sequence] = relay
        return True

    def answered(self, sequence: int) -> Relay | None:
        """Returns, and forgets, whom to tell of an answer."""
        return self._relays.pop(sequence, None)

    def expire(self, now: float) -> list[Relay]:
        """Returns, and forgets, those whose targets have not answered in time."""
        late = [key for key, relay in self._relays.items() if relay.deadline <= now]
        return [self._relays.pop(key) for key in late]

    def next_deadline(self) -> float:
        """Returns when the next one is late, or infinity."""
        deadlines = (relay.deadline for relay in self._relays.values())
        return min(deadlines, default=NOT_WAITING)
