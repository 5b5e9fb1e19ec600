"""Collects the effects of one call into membership and composes its datagrams."""

from dewledge.core.proxy.effects import LogEvent
from dewledge.core.proxy.membership.broadcast import BroadcastQueue
from dewledge.core.proxy.membership.member import Claim
from dewledge.core.proxy.membership.messages import (
    MAX_CLAIM_BYTES,
    MEMBERSHIP_VERSION,
    Body,
    Envelope,
    MembershipEffect,
    SendDatagram,
    SyncRequest,
    claim_size,
    encode_datagram,
)


class Outbox:
    """Wraps bodies in envelopes with as much news as fits. revision: shown in every datagram."""

    def __init__(self, sender: str, key: bytes, queue: BroadcastQueue) -> None:
        self.revision = 0
        self._sender = sender
        self._key = key
        self._queue = queue
        self._effects: list[MembershipEffect] = []

    def send(self, address: str, body: Body, now: float, first: tuple[Claim, ...] = ()) -> None:
        """Sends `body` with the claims in `first`, then queued news."""
        room = MAX_CLAIM_BYTES - sum(claim_size(claim) for claim in first)
        if isinstance(body, SyncRequest):
            room -= len(body.digests)
        self._compose(address, body, first + self._queue.take(now, room))

    def send_alone(self, address: str, body: Body, claims: tuple[Claim, ...] = ()) -> None:
        """Sends `body` with `claims` and no queued news."""
        self._compose(address, body, claims)

    def add(self, effect: MembershipEffect) -> None:
        """Adds an effect that is not a datagram."""
        self._effects.append(effect)

    def log(self, name: str, **fields: str | int | float | None) -> None:
        """Adds a log line."""
        self._effects.append(LogEvent(name, tuple(fields.items())))

    def drain(self) -> list[MembershipEffect]:
        """Returns the effects collected so far and begins anew."""
        effects, self._effects = self._effects, []
        return effects

    def _compose(self, address: str, body: Body, claims: tuple[Claim, ...]) -> None:
        envelope = Envelope(MEMBERSHIP_VERSION, self._sender, self.revision, body, claims)
        self._effects.append(SendDatagram(address, encode_datagram(envelope, self._key)))
