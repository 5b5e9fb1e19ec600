"""Messages between poolers over UDP, in CBOR: probes, claims, confirmations and rate limits.

Fields are encoded by position, so their order must not change. Decoding a message of an unknown
type raises ProtocolError.
"""

import cbor2
import msgspec

from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.quorum_confirmation import (
    ConfirmationAnswer,
    ConfirmationQuestion,
)
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.core.shared.decoding import decode_cbor
from dewledge.errors import ProtocolError

MAX_BYTES = 8192
"""Maximum size of a datagram; longer ones are neither sent nor decoded."""


class IndirectProbeQuestion(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks whether the receiver can open a connection to a database."""

    asker: str
    database: str


class IndirectProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag="say"):
    """Answers an IndirectProbeQuestion; a process that does not know the database sends none.

    term: newest term of the database's group that the witness knows, 0 for none.
    """

    witness: str
    database: str
    reachable: bool
    term: int = 0


class LeaderNotice(msgspec.Struct, frozen=True, array_like=True, tag="lead"):
    """Announces that a database has become the primary of its group."""

    sender: str
    database: str


class ClaimNotice(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Announces the newest claim on a group; the receiver replies with a ClaimAnswer."""

    sender: str
    group: str
    claim: Claim


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True, tag="known"):
    """Acknowledges the newest claim that the sender knows of a group: its token and its holder."""

    sender: str
    group: str
    token: int
    holder: str = ""


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
    """Returns the datagram that encodes a message."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode(data: bytes) -> PeerMessage:
    """Returns the message in a datagram. Raises ProtocolError if it is unreadable."""
    if len(data) > MAX_BYTES:
        raise ProtocolError(f"datagram exceeds {MAX_BYTES} bytes")
    return decode_cbor(data, PeerMessage)  # type: ignore[arg-type]
