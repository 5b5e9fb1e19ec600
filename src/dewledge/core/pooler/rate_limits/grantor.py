"""Grants tokens in proportion to the votes that this process holds.

A process with v of a slot's n votes grants v/n of each caller's rate; both sides of a network
partition continue with their parts. Each vote is valid at one process at most (counted_votes.py),
also after a freeze or a restart, so the fractions sum up to one at most.

Holds the state of each slot in this process: its votes, the fraction held, and the callers' buckets
and queues (slot_grants.py). Log line: grantor_changed.
"""

from collections.abc import Callable, Collection, Mapping

import msgspec

from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS, CountedVotes
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import (
    QuotaAnswer,
    QuotaQuestion,
    TokenGrant,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.slot_grants import SlotGrants
from dewledge.core.pooler.rate_limits.slots import Slot, update_voters, voters_of
from dewledge.core.pooler.rate_limits.vote_fraction import VoteFraction
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND


class GrantorChanged(msgspec.Struct, frozen=True):
    """This process started or stopped granting tokens in a slot.

    votes: the valid votes. members: the number of processes with a vote in the slot.
    """

    slot_count: int
    slot: int
    grants: bool
    votes: int
    members: int


class _SlotState:
    """A slot's votes and grants in this process."""

    def __init__(self, policy: QuotaPolicy) -> None:
        self.votes = CountedVotes()
        self.vote_fraction = VoteFraction()
        self.grants = SlotGrants(policy, self.vote_fraction)
        self._is_grantor = False

    def set_granting(self, is_grantor: bool) -> bool:
        """Sets whether this process grants; returns whether that is a change."""
        has_changed = self._is_grantor != is_grantor
        self._is_grantor = is_grantor
        return has_changed


class Grantor:
    """The votes and grants of all slots in this process."""

    def __init__(
        self,
        process_name: str,
        policy: QuotaPolicy,
        record: Callable[[GrantorChanged], None] = lambda event: None,
    ) -> None:
        self._process_name = process_name
        self._policy = policy
        self._record = record
        self._members: frozenset[str] = frozenset({process_name})
        self._limits: Mapping[str, RateLimit] = {}
        self._slots: dict[Slot, _SlotState] = {}
        self._voters: dict[Slot, frozenset[str]] = {}

    def set_members(self, members: Collection[str]) -> None:
        """Sets the processes whose votes count."""
        previous_members, self._members = self._members, frozenset(members)
        if self._members == previous_members:
            return
        self._voters = {
            slot: update_voters(slot, voters, previous_members, self._members)
            for slot, voters in self._voters.items()
        }

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the limits; buckets created from now on start empty."""
        self._limits = limits
        for state in self._slots.values():
            state.vote_fraction.restart_filling()
            state.grants.drop_unlimited(limits)

    def answer_question(self, question: QuotaQuestion, now: float) -> QuotaAnswer:
        """Counts the question's vote, grants tokens, and returns the answer."""
        slot = question.slot
        state = self._slots.get(slot)
        if state is None:
            state = self._slots[slot] = _SlotState(self._policy)
        if question.withdraws:
            state.votes.withdraw(question.asker, now)
        self._update_vote_fraction(slot, state, now)
        if question.votes and question.heard_at is not None and question.heard_at <= now:
            state.votes.add(question.asker, question.heard_at)
        votes = state.votes.count_valid(self._voters_of(slot), now)
        state.vote_fraction.set(self._vote_fraction(slot, votes))
        if state.set_granting(votes > 0):
            members = len(self._voters_of(slot))
            self._record(GrantorChanged(slot.count, slot.index, votes > 0, votes, members))
        grants: tuple[TokenGrant, ...] = ()
        if votes:
            grants = tuple(self._grant(state, question.asker, want, now) for want in question.wants)
        return QuotaAnswer(self._process_name, question.number, slot, now, votes > 0, grants)

    def _vote_fraction(self, slot: Slot, votes: int) -> float:
        return votes / max(len(self._voters_of(slot)), 1)

    def _update_vote_fraction(self, slot: Slot, state: _SlotState, now: float) -> None:
        """Advances the buckets' clock to now; shrinks the buckets if votes have expired."""
        fraction = self._vote_fraction(slot, state.votes.count_valid(self._voters_of(slot), now))
        if state.vote_fraction.record(fraction, now):
            state.grants.shrink_buckets(self._limits, fraction)

    def _voters_of(self, slot: Slot) -> Collection[str]:
        voters = self._voters.get(slot)
        if voters is None:
            voters = voters_of(slot, self._members)
            self._voters[slot] = voters
        return voters

    def _grant(self, state: _SlotState, asker: str, want: TokenWant, now: float) -> TokenGrant:
        limit = self._limits.get(want.caller)
        if limit is None:
            # The asker has another configuration; the limit may be new.
            return TokenGrant(want.caller, 0, int(VOTE_LIFETIME_SECONDS * MILLISECONDS_PER_SECOND))
        return state.grants.grant(asker, want, limit, now)
