"""What poolers say to each other in cbor2 over UDP: on lost databases, claims and rate limits.

Owns the encoding of datagrams. Fields go by position, so their order must not change; a message of
an unknown kind is unreadable and dropped.
"""

import cbor2
import msgspec

from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.quorum_confirmation import (
    ConfirmationAnswer,
    ConfirmationQuestion,
)
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.errors import ProtocolError

MAX_BYTES = 8192
"""Of one datagram; longer ones are neither sent nor read."""


class IndirectProbeQuestion(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks whether the receiver can open a connection to a database."""

    asker: str
    database: str


class IndirectProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="say"):
    """The answer. A process that does not know the database gives none."""

    witness: str
    database: str
    reachable: bool


class LeaderNotice(msgspec.Struct, frozen=True, array_like=True, tag="lead"):
    """Tells that a database is the primary of its group now."""

    sender: str
    database: str


class ClaimNotice(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Tells the newest claim on a group; the receiver answers that it knows it."""

    sender: str
    group: str
    claim: Claim


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True, tag="known"):
    """The fencing token of the newest claim on a group that the sender knows."""

    sender: str
    group: str
    token: int


PeerMessage = (
    IndirectProbeQuestion
    | IndirectProbeAnswer
    | LeaderNotice
    | ClaimNotice
    | ClaimAnswer
    | ConfirmationQuestion
    | ConfirmationAnswer
    | QuotaQuestion
    | QuotaAnswer
)


def encode(message: PeerMessage) -> bytes:
    """Returns a message as one datagram."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(data: bytes) -> PeerMessage:
    """Returns the message of a datagram. Raises ProtocolError."""
    if len(data) > MAX_BYTES:
        raise ProtocolError("a datagram is too long")
    try:
        message: PeerMessage = msgspec.convert(cbor2.loads(data), type=PeerMessage)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        raise ProtocolError(f"unreadable datagram: {error}") from error
    return message
