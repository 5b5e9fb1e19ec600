"""The part of a process in granting tokens: each vote for it carries its share of the rates.

A vote counts for VOTE_SECONDS from the moment at which the voter was last answered, which lies
before it sent the vote; a voter votes for another only when its last vote cannot count any more. So
each vote counts at one process at most, whoever is cut off, frozen or restarted, and no two clocks
are compared. A process with v of a slot's n votes gives out v/n of each rate; two sides of a split
each go on with theirs.

What all buckets of a caller hold together never exceeds one full bucket: a bucket begins empty,
holds v/n of a full one at most, and loses what is beyond that as soon as the share falls, also for
a moment (limits.py).
"""

import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from dewledge.core.pooler.rate_limits.caller_token_queues import CallerTokenQueues
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import (
    QuotaAnswer,
    QuotaQuestion,
    TokenGrant,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.place_key import PlaceKey
from dewledge.core.pooler.rate_limits.slots import Slot, voters_after, voters_of
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Given
from dewledge.core.shared.units import MILLISECONDS

VOTE_SECONDS = 1.0
"""Two votes may be lost on the way without being missed; and so long a vote counts for a process
that is gone."""


class GrantorChanged(msgspec.Struct, frozen=True):
    """This process grants tokens of a slot from now on, or does so no more.

    votes: that count now. members: how many processes' votes could count.
    """

    slot_count: int
    slot: int
    grants: bool
    votes: int
    members: int


class _SlotState:
    """What this process knows and gives out in one slot."""

    def __init__(self) -> None:
        self.votes: dict[str, float] = {}
        """Until when the vote of each process counts."""
        self.withdrawn_at: dict[str, float] = {}
        """Votes of a process that echo an older answer were sent before it started anew."""
        self.lines: dict[str, CallerTokenQueues] = {}
        """By caller. Their buckets' time is `share_seconds`, so each fills with the share held."""
        self.share_seconds = 0.0
        """The share held so far, over time: a second with half of all votes counts for half."""
        self.grants = False
        self.share = 0.0
        """As it was noted last; since then it can have fallen only."""
        self._share_at = 0.0
        self.filled_since = 0.0
        """A bucket that nobody has asked for yet has filled since then, in `share_seconds`: since
        the share fell last or the limits changed."""

    def note_share(self, share: float, now: float) -> bool:
        """Notes the share held now, before a question's vote is counted; returns whether it fell.

        Votes are renewed by questions only, and each question is noted, so it was no smaller in
        between.
        """
        fell = share < self.share
        if fell:
            self.filled_since = math.inf
        self.share_seconds += min(share, self.share) * (now - self._share_at)
        self.share = share
        self._share_at = now
        self.filled_since = min(self.filled_since, self.share_seconds)
        return fell


class Grantor:
    """This process's part in granting, for all slots."""

    def __init__(
        self,
        own_name: str,
        policy: QuotaPolicy,
        record: Callable[[GrantorChanged], None] = lambda event: None,
    ) -> None:
        self._own_name = own_name
        self._policy = policy
        self._record = record
        self._members: frozenset[str] = frozenset({own_name})
        self._limits: Mapping[str, RateLimit] = {}
        self._slots: dict[Slot, _SlotState] = {}
        self._voters: dict[Slot, frozenset[str]] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Sets whose votes count."""
        before, self._members = self._members, frozenset(members)
        if self._members == before:
            return
        self._voters = {
            slot: voters_after(slot, voters, before, self._members)
            for slot, voters in self._voters.items()
        }

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the limits; they hold from now on."""
        self._limits = limits
        for state in self._slots.values():
            state.filled_since = math.inf
            for caller in [name for name in state.lines if name not in limits]:
                del state.lines[caller]

    def take_question(self, question: QuotaQuestion, now: float) -> QuotaAnswer:
        """Counts a vote and returns the answer."""
        state = self._slots.setdefault(question.slot, _SlotState())
        if question.withdraws:
            state.votes.pop(question.asker, None)
            state.withdrawn_at[question.asker] = now
        self._note_share(question.slot, state, now)
        if question.votes and question.heard_at is not None and question.heard_at <= now:
            _count(state, question.asker, question.heard_at)
        votes = self._valid_votes(question.slot, state, now)
        state.share = self._share_of(question.slot, votes)
        self._tell_change(question.slot, state, votes)
        grants: tuple[TokenGrant, ...] = ()
        if votes:
            grants = tuple(self._grant(state, question.asker, want, now) for want in question.wants)
        return QuotaAnswer(self._own_name, question.number, question.slot, now, votes > 0, grants)

    def _share_of(self, slot: Slot, votes: int) -> float:
        return votes / max(len(self._voters_of(slot)), 1)

    def _note_share(self, slot: Slot, state: _SlotState, now: float) -> None:
        """Lets the buckets fill for the time until now; after a loss of votes they hold less."""
        share = self._share_of(slot, self._valid_votes(slot, state, now))
        if not state.note_share(share, now):
            return
        for caller, line in state.lines.items():
            limit = self._limits[caller]
            size = self._policy.bucket_size(limit, share)
            line.bucket.change(limit.rate, size, state.share_seconds)

    def _valid_votes(self, slot: Slot, state: _SlotState, now: float) -> int:
        voters = self._voters_of(slot)
        return sum(until > now for name, until in state.votes.items() if name in voters)

    def _tell_change(self, slot: Slot, state: _SlotState, votes: int) -> None:
        if state.grants != (votes > 0):
            state.grants = votes > 0
            event = GrantorChanged(
                slot.count, slot.index, state.grants, votes, len(self._voters_of(slot))
            )
            self._record(event)

    def _voters_of(self, slot: Slot) -> Collection[str]:
        voters = self._voters.get(slot)
        if voters is None:
            voters = voters_of(slot, self._members)
            self._voters[slot] = voters
        return voters

    def _grant(self, state: _SlotState, asker: str, want: TokenWant, now: float) -> TokenGrant:
        limit = self._limits.get(want.caller)
        if limit is None:
            # This process has another configuration than who asks; the limit may be new.
            return TokenGrant(want.caller, 0, int(VOTE_SECONDS * MILLISECONDS))
        size = self._policy.bucket_size(limit, state.share)
        line = state.lines.get(want.caller)
        if line is None:
            line = CallerTokenQueues(TokenBucket(limit.rate, size, 0.0, state.filled_since))
            state.lines[want.caller] = line
        line.bucket.change(limit.rate, size, state.share_seconds)
        key = PlaceKey(asker, want.place) if want.place else None
        bears = want.bears_ms / MILLISECONDS
        found = line.ask(want.urgency, key, now, state.share_seconds, state.share, bears)
        if isinstance(found, Given):
            age_ms = math.ceil(found.age * MILLISECONDS)
            return TokenGrant(want.caller, 1, 0, age_ms=age_ms)
        milliseconds = math.ceil(found.seconds * MILLISECONDS)
        is_kept = found.is_kept or found.is_own
        return TokenGrant(want.caller, 0, milliseconds, is_kept, refuses=found.is_told)


def _count(state: _SlotState, asker: str, heard_at: float) -> None:
    """Counts a vote, unless it was sent before the asker withdrew what it had sent."""
    if heard_at < state.withdrawn_at.get(asker, -math.inf):
        return
    state.votes[asker] = max(state.votes.get(asker, -math.inf), heard_at + VOTE_SECONDS)
