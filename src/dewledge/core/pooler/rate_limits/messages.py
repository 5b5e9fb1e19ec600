"""What processes say to each other about rate limits, in datagrams that may be lost or come twice.

Times are those of the grantor's steady clock, in seconds; nobody else compares them with its own.
"""

import msgspec

from dewledge.core.pooler.rate_limits.slots import Slot

MAX_WAIT_MS = 60_000
"""Milliseconds: an operation that may wait for longer than this may wait for as long as tokens are
kept (KEPT_SECONDS of token_queue.py is far less); bounds the number in the message."""


class TokenWant(msgspec.Struct, frozen=True, array_like=True):
    """A token that is wanted for an operation of a caller.

    count: one, for an operation; processes of an earlier release read it, so its position stays.
    place: the number in the operation's key (queue_key.py), the same each time it asks; 0: nothing
    is kept.
    bears_ms: for so long it may wait for its token and still be answered within its target.
    urgency: of its route, 0 is the highest.
    """

    caller: str
    count: int = 1
    place: int = 0
    bears_ms: int = MAX_WAIT_MS
    urgency: int = 0


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens for a caller, and when there is one for who got none (milliseconds).

    is_kept: the token of that moment is kept for the operation that asked.
    refuses: the operation is not to be held until then; it may come back then.
    age_ms: how long ago the token was given, to a question whose answer was lost or is slow.
    """

    caller: str
    count: int
    come_back_ms: int
    is_kept: bool = False
    age_ms: int = 0
    refuses: bool = False


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
