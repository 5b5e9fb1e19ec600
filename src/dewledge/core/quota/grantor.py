"""The process that grants tokens for a slot: at most one at a time has the votes for it.

A vote counts for VOTE_SECONDS from the moment at which the voter was last answered, which lies
before it sent the vote; a voter votes for no other for as long after sending. More than half of all
processes share one with any other such half, so two processes never grant at the same time,
whoever is cut off, frozen or restarted, and no two clocks are compared.
"""

import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from dewledge.core.quota.limits import QuotaPolicy, RateLimit
from dewledge.core.quota.messages import (
    QuotaAnswer,
    QuotaQuestion,
    TokenGrant,
    TokenWant,
)
from dewledge.core.quota.slots import Slot
from dewledge.core.quota.token_bucket import TokenBucket

VOTE_SECONDS = 1.0
"""Two votes may be lost on the way without the grantor losing its place; and so long nobody grants
after a grantor is gone."""
MILLISECONDS = 1000


class GrantorChanged(msgspec.Struct, frozen=True):
    """This process grants a slot's tokens from now on, or does so no more.

    votes: that count now. members: whose votes could count.
    """

    slot_count: int
    slot: int
    grants: bool
    votes: int
    members: int


class _Term:
    """One span of time in which this process grants for a slot."""

    def __init__(self, began_at: float, is_renewed: bool) -> None:
        self.began_at = began_at
        self.is_renewed = is_renewed
        """Whether it granted here a moment ago: then the first tokens were given already."""
        self.buckets: dict[str, TokenBucket] = {}


class Grantor:
    """This process's part in granting, for all slots."""

    def __init__(
        self,
        own_name: str,
        policy: QuotaPolicy,
        chosen: Callable[[Slot], str],
        record: Callable[[GrantorChanged], None] = lambda event: None,
    ) -> None:
        """`chosen`: whom this process takes for the grantor of a slot, empty for nobody."""
        self._own_name = own_name
        self._policy = policy
        self._chosen = chosen
        self._record = record
        self._members: Collection[str] = frozenset({own_name})
        self._limits: Mapping[str, RateLimit] = {}
        self._votes: dict[Slot, dict[str, float]] = {}
        self._withdrawn_at: dict[tuple[Slot, str], float] = {}
        self._terms: dict[Slot, _Term] = {}
        self._ended_at: dict[Slot, float] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Sets whose votes count."""
        self._members = frozenset(members)

    def set_limits(self, limits: Mapping[str, RateLimit], now: float) -> None:
        """Sets the limits; they hold from now on."""
        self._limits = limits
        for slot, term in self._terms.items():
            for caller in list(term.buckets):
                limit = limits.get(caller)
                if limit is None:
                    del term.buckets[caller]
                else:
                    size = self._policy.bucket_size(limit)
                    term.buckets[caller].change(self._rate(slot, limit, now), size, now)

    def take_question(self, question: QuotaQuestion, now: float) -> QuotaAnswer:
        """Counts a vote and returns the answer."""
        if question.withdraws:
            self._votes.setdefault(question.slot, {}).pop(question.asker, None)
            self._withdrawn_at[question.slot, question.asker] = now
        elif question.votes and question.heard_at is not None and question.heard_at <= now:
            self._count(question.slot, question.asker, question.heard_at)
        grants: tuple[TokenGrant, ...] = ()
        known = self._own_name if self.grants_for(question.slot, now) else ""
        if known:
            grants = tuple(self._grant(question.slot, want, now) for want in question.wants)
        else:
            known = self._chosen(question.slot)
        return QuotaAnswer(self._own_name, question.number, question.slot, now, known, grants)

    def _count(self, slot: Slot, asker: str, heard_at: float) -> None:
        """Counts a vote, unless it was sent before the asker withdrew what it had sent."""
        if heard_at < self._withdrawn_at.get((slot, asker), -math.inf):
            return
        votes = self._votes.setdefault(slot, {})
        votes[asker] = max(votes.get(asker, -math.inf), heard_at + VOTE_SECONDS)

    def grants_for(self, slot: Slot, now: float) -> bool:
        """Tells whether this process has the votes of more than half of all now."""
        valid = self._valid_votes(slot, now)
        grants = valid * 2 > len(self._members)
        if grants != (slot in self._terms):
            event = GrantorChanged(slot.count, slot.index, grants, valid, len(self._members))
            self._record(event)
            if grants:
                ended_at = self._ended_at.get(slot, -math.inf)
                self._terms[slot] = _Term(now, ended_at > now - self._policy.window)
            else:
                del self._terms[slot]
                self._ended_at[slot] = now
        return grants

    def _valid_votes(self, slot: Slot, now: float) -> int:
        votes = self._votes.get(slot, {})
        return sum(until > now for name, until in votes.items() if name in self._members)

    def _rate(self, slot: Slot, limit: RateLimit, now: float) -> float:
        """Returns the shares of those whose votes count; the others may use theirs themselves."""
        return limit.rate * self._valid_votes(slot, now) / len(self._members)

    def _grant(self, slot: Slot, want: TokenWant, now: float) -> TokenGrant:
        limit = self._limits.get(want.caller)
        if limit is None:
            # This process has another configuration than who asks; the limit may be new.
            return TokenGrant(want.caller, 0, int(VOTE_SECONDS * MILLISECONDS))
        term = self._terms[slot]
        bucket = term.buckets.get(want.caller)
        if bucket is None:
            size = self._policy.bucket_size(limit)
            first = 0.0 if term.is_renewed else self._policy.first_tokens(limit)
            bucket = TokenBucket(limit.rate / 2, size, first, term.began_at)
            term.buckets[want.caller] = bucket
        bucket.change(self._rate(slot, limit, now), self._policy.bucket_size(limit), now)
        given = bucket.take(want.count, now)
        if given:
            return TokenGrant(want.caller, given, 0)
        return TokenGrant(want.caller, 0, math.ceil(bucket.next_free(now) * MILLISECONDS))
