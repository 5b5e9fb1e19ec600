"""Datagrams of membership: typed, bounded, authenticated, and the effects that membership asks for.

A datagram is one cbor2 item of an `Envelope`, followed by a truncated HMAC-SHA256 when members
share a key. Claims are idempotent and ordered by incarnation, so a replayed datagram does nothing.
"""

import hmac
from typing import Annotated

import cbor2
import msgspec

from dewledge.core.proxy.effects import LogEvent
from dewledge.core.proxy.membership.member import Claim, Member
from dewledge.errors import ProtocolError

MEMBERSHIP_VERSION = 1
"""Of datagrams; one of any other version is refused."""
MAX_DATAGRAM_BYTES = 1400
"""Of a datagram's content: below an Ethernet frame's 1,500 with IP and UDP headers, so that none
is fragmented."""
AUTHENTICATION_BYTES = 16
"""Of the truncated HMAC-SHA256 at a datagram's end: half of the hash, as RFC 2104 advises."""
ENVELOPE_BYTES = 150
"""Room kept for everything in a datagram but its claims and digests (names up to 63 bytes)."""
TEXT_BYTES = 2
"""Most bytes that cbor puts before a text of less than 256 bytes."""
CLAIM_BYTES = 1 + TEXT_BYTES + 9 + 1 + 1 + 1
"""Most bytes of a claim without its texts: array, name, incarnation, state, two absent fields."""
MAX_CLAIM_BYTES = MAX_DATAGRAM_BYTES - AUTHENTICATION_BYTES - ENVELOPE_BYTES
"""Of the member records in one datagram: what the envelope and the HMAC leave."""


Age = Annotated[float, msgspec.Meta(ge=0.0)]
"""Seconds; never negative, so that no peer can date its word into the future."""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks `target` to answer; another process at its address stays silent."""

    sequence: int
    target: str


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """Answers a ping. store_age: seconds since the store last confirmed the sender's revision."""

    sequence: int
    store_age: Age | None = None


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks the receiver to ping `target` and to pass its answer on."""

    sequence: int
    target: str


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="nack"):
    """The target of a PingRequest did not answer; the one who was asked is well (Lifeguard)."""

    sequence: int


class News(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Carries claims only."""


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the living members whose names follow `after`; a newcomer's first word."""

    sequence: int
    after: str


class PullAnswer(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """Some members in the order of their names. complete: none follow."""

    sequence: int
    entries: tuple[Claim, ...]
    complete: bool


class SyncRequest(msgspec.Struct, frozen=True, array_like=True, tag="sync"):
    """The digests of the sender's table, four bytes for each bucket."""

    digests: bytes


class SyncAnswer(msgspec.Struct, frozen=True, array_like=True, tag="diff"):
    """Entries of the named buckets; without buckets, just entries that the receiver lacks."""

    buckets: bytes
    entries: tuple[Claim, ...]


Body = Ping | Ack | PingRequest | Nack | News | PullRequest | PullAnswer | SyncRequest | SyncAnswer


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One datagram. revision: the configuration revision in force at the sender."""

    version: int
    sender: str
    revision: int
    body: Body
    claims: tuple[Claim, ...] = ()


class SendDatagram(msgspec.Struct, frozen=True):
    """Send `data` to the UDP address "ip:port"."""

    address: str
    data: bytes


class MembersChanged(msgspec.Struct, frozen=True):
    """The members that are not gone, this one included, sorted by name."""

    members: tuple[Member, ...]


class PeerRevisionSeen(msgspec.Struct, frozen=True):
    """A peer showed another configuration revision than ours."""

    peer: str
    revision: int


class StoreContactSeen(msgspec.Struct, frozen=True):
    """A peer's answer shows that the store's head was at most `revision` at time `at`.

    `at` is on our clock and never later than the truth. Whoever holds `revision` or a later one
    may count it as contact with the store.
    """

    at: float
    revision: int


MembershipEffect = SendDatagram | MembersChanged | PeerRevisionSeen | StoreContactSeen | LogEvent


def encode_datagram(envelope: Envelope, key: bytes = b"") -> bytes:
    """Encodes an envelope, with its authentication if `key` is not empty."""
    data = cbor2.dumps(msgspec.to_builtins(envelope, builtin_types=(bytes,)))
    return data + _authentication(data, key) if key else data


def decode_datagram(data: bytes, key: bytes = b"") -> Envelope:
    """Decodes a datagram. Raises ProtocolError for anything else than a well-formed one."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise ProtocolError("datagram too long")
    if key:
        data = _authenticated(data, key)
    try:
        envelope = msgspec.convert(cbor2.loads(data), Envelope)
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError, OverflowError) as error:
        raise ProtocolError(f"not a datagram: {error}") from error
    if envelope.version != MEMBERSHIP_VERSION:
        raise ProtocolError(f"membership version {envelope.version} is not spoken here")
    return envelope


def claim_size(claim: Claim) -> int:
    """Returns how many bytes a claim takes in a datagram, or up to a few more."""
    size = CLAIM_BYTES + len(claim.name.encode())
    if claim.accuser is not None:
        size += TEXT_BYTES + len(claim.accuser.encode())
    if claim.location is not None:
        location = claim.location
        texts = (location.peer_address, location.gossip_address, location.zone)
        size += 1 + sum(TEXT_BYTES + len(text.encode()) for text in texts)
    return size


def _authentication(data: bytes, key: bytes) -> bytes:
    return hmac.digest(key, data, "sha256")[:AUTHENTICATION_BYTES]


def _authenticated(data: bytes, key: bytes) -> bytes:
    content, tag = data[:-AUTHENTICATION_BYTES], data[-AUTHENTICATION_BYTES:]
    if not hmac.compare_digest(_authentication(content, key), tag):
        raise ProtocolError("datagram is not authentic")
    return content
