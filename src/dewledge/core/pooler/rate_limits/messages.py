"""Messages between processes about rate limits: datagrams that may be lost or duplicated.

Times are in seconds of the grantor's steady clock; no other process compares them with its own
clock.
"""

import msgspec

from dewledge.core.pooler.rate_limits.slots import Slot

MAX_WAIT_MS = 60_000
"""Milliseconds: the maximum of `TokenWant.bears_ms`, far above the time for which tokens are
reserved (RESERVATION_HORIZON_SECONDS of token_queue.py)."""


class TokenWant(msgspec.Struct, frozen=True, array_like=True):
    """A request for a token for an operation of a caller.

    count: always one; processes of an earlier release read it, so it keeps its position. place: the
    operation's number (queue_key.py), the same for each request of an operation; 0 if no token
    should be reserved. bears_ms: how long the operation can wait for its token and still meet its
    latency target. urgency: of its route, 0 is the highest.
    """

    caller: str
    count: int = 1
    place: int = 0
    bears_ms: int = MAX_WAIT_MS
    urgency: int = 0


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a TokenWant: a token, or the time until one is available.

    count: tokens granted. come_back_ms: milliseconds until a token is available if none was
    granted. is_kept: the token at that time is reserved for the operation. age_ms: how long ago the
    token was granted, if to an earlier request whose answer was lost or slow. refuses: the
    operation should not be held until the token is available, but may be retried then.
    """

    caller: str
    count: int
    come_back_ms: int
    is_kept: bool = False
    age_ms: int = 0
    refuses: bool = False


class QuotaQuestion(msgspec.Struct, frozen=True, array_like=True, tag="quota_ask"):
    """Asks a candidate for tokens, and may carry a vote for it.

    heard_at: the timestamp of this candidate's last answer to the asker, None without one. votes:
    whether this is a vote; the asker votes for no other candidate while it may be valid,
    VOTE_LIFETIME_SECONDS from that answer on. withdraws: drops the votes sent before; the asker has
    restarted or the slot is no longer in use.
    """

    asker: str
    number: int
    slot: Slot
    votes: bool
    heard_at: float | None
    wants: tuple[TokenWant, ...] = ()
    withdraws: bool = False


class QuotaAnswer(msgspec.Struct, frozen=True, array_like=True, tag="quota_say"):
    """The answer: whether the sender grants in this slot, and its grants.

    told_at: when it was sent, by the sender's clock.
    """

    sender: str
    number: int
    slot: Slot
    told_at: float
    grants_here: bool
    grants: tuple[TokenGrant, ...] = ()
