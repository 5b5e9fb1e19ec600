"""What processes say to each other about rate limits, in datagrams that may be lost or come twice.

Times are those of the grantor's steady clock, in seconds; nobody else compares them with its own.
"""

import msgspec

from dewledge.core.quota.slots import Slot


class TokenWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that are wanted for a caller."""

    caller: str
    count: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens for a caller, and when there are more for who got none (milliseconds)."""

    caller: str
    count: int
    come_back_ms: int


class QuotaQuestion(msgspec.Struct, frozen=True, array_like=True, tag="quota_ask"):
    """Asks a candidate for tokens, and may be a vote for it.

    heard_at: from the last answer of this candidate to the asker, None without one. Where `votes`,
    the asker votes for no other while this vote may count, VOTE_SECONDS from that answer on.
    withdraws: votes that it sent before count no more; it has just started and does not know them.
    """

    asker: str
    number: int
    slot: Slot
    votes: bool
    heard_at: float | None
    wants: tuple[TokenWant, ...] = ()
    withdraws: bool = False


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True, tag="quota_say"):
    """The answer: whether the sender has votes in this slot, and what it grants.

    told_at: when it was sent.
    """

    sender: str
    number: int
    slot: Slot
    told_at: float
    grants_here: bool
    grants: tuple[TokenGrant, ...] = ()
