"""Selects the processes that this process asks and votes for, in all slots.

Holds the members, a voter for each slot in use (voter.py), and the votes of the previous
partitioning (previous_votes.py), which delay new votes until they expire or are dropped. slots.py
assigns callers and voters to slots.
"""

from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.previous_votes import PreviousVotes
from dewledge.core.pooler.rate_limits.questions import PendingQuestion, Questions
from dewledge.core.pooler.rate_limits.slots import (
    Slot,
    candidates_of,
    is_voter,
    slot_count,
    slot_of,
    update_candidates,
    voting_slots,
)
from dewledge.core.pooler.rate_limits.voter import Voter
from dewledge.core.pooler.scheduling import Scheduler

VOTE_INTERVAL_SECONDS = 0.3
"""Seconds between two votes while every grantor is known: a third of the lifetime of a vote, so
that two may be lost."""
SEARCH_INTERVAL_SECONDS = 0.1
"""Seconds between two questions while a grantor is not known: some round trips between regions."""


class SlotVoters:
    """This process's voters by slot. Times are in seconds of its steady clock."""

    def __init__(
        self, scheduler: Scheduler, process_name: str, questions: Questions, started_at: float
    ) -> None:
        """`started_at`: when the process started; votes from before then may still be valid."""
        self._scheduler = scheduler
        self._process_name = process_name
        self._questions = questions
        self._started_at = started_at
        self._members: frozenset[str] = frozenset({process_name})
        self._voters: dict[Slot, Voter] = {}
        self._has_repartitioned = False
        self._previous_votes = PreviousVotes()

    def set_members(self, members: frozenset[str]) -> None:
        """Sets the members; discards all voters if the number of slots changes."""
        now = self._scheduler.now()
        previous_members, self._members = self._members, members
        if members == previous_members:
            return
        count = slot_count(len(members))
        if any(slot.count != count for slot in self._voters):
            self._repartition()
        for slot, voter in self._voters.items():
            candidates = update_candidates(slot, voter.candidates, previous_members, members)
            voter.change_candidates(candidates, now)

    def clear(self) -> None:
        """Discards all voters, because no caller has a limit."""
        self._voters = {}

    def slot_of(self, caller: str) -> Slot:
        """Returns the present slot of a caller."""
        return slot_of(caller, slot_count(len(self._members)))

    def voter(self, slot: Slot) -> Voter:
        """Returns the voter of a slot, created on first use."""
        voter = self._voters.get(slot)
        if voter is None:
            now = self._scheduler.now()
            candidates = candidates_of(slot, self._members)
            bound_until = max(
                self._started_at + VOTE_LIFETIME_SECONDS, self._previous_votes.valid_until
            )
            started_at = bound_until - VOTE_LIFETIME_SECONDS
            has_vote = is_voter(self._process_name, slot)
            voter = Voter(candidates, started_at, now, has_vote, not self._has_repartitioned)
            self._voters[slot] = voter
        return voter

    def grantor_of(self, caller: str) -> str:
        """Returns the process that grants a caller's tokens to this one, or "" if none is known."""
        voter = self._voters.get(self.slot_of(caller))
        if voter is None or not voter.has_grantor(self._scheduler.now()):
            return ""
        return voter.candidate

    def tick(self, now: float) -> bool:
        """Sends the votes that are due and replaces silent candidates.

        Returns whether the grantor of every polled slot is known.
        """
        self._withdraw_previous_votes(now)
        for slot in voting_slots(self._process_name, slot_count(len(self._members))):
            self.voter(slot)
        polled = {slot: each for slot, each in self._voters.items() if each.needs_polling(now)}
        for slot, voter in polled.items():
            self._poll(slot, voter, now)
        return all(voter.has_grantor(now) for voter in polled.values())

    def may_ask(self, slot: Slot, now: float) -> bool:
        """Returns whether an operation may ask the slot's candidate now.

        The candidate may be asked if it grants, or if `Voter.may_ask_unconfirmed` allows it. In the
        second case the more preferred candidates are probed too.
        """
        voter = self.voter(slot)
        if voter.has_grantor(now):
            return True
        if not voter.may_ask_unconfirmed(now):
            return False
        voter.record_waiting_operation(now)
        for name in voter.replace_silent_candidate(now):
            self._questions.probe(slot, name)
        return True

    def record_dropped(self, slot: Slot, sender: str) -> bool:
        """Records that a process dropped a vote of the previous partitioning.

        Returns whether no vote of that partitioning is valid any more.
        """
        if not self._previous_votes.record_dropped(slot, sender):
            return False
        for voter in self._voters.values():
            voter.clear_earlier_votes()
        return True

    def handle_answer(self, answer: QuotaAnswer, asked: PendingQuestion) -> bool:
        """Handles the answer to a question; returns False if its slot is no longer in use."""
        voter = self._voters.get(answer.slot)
        if voter is None:
            return False
        voter.handle_answer(answer, asked.sent_at, self._scheduler.now())
        if asked.withdraws and voter.record_withdrawal(answer.sender):
            self._questions.ask(answer.slot, voter)
        return True

    def _poll(self, slot: Slot, voter: Voter, now: float) -> None:
        """Asks the candidate, with a vote if one may be sent; replaces a silent candidate."""
        for name in voter.replace_silent_candidate(now):
            self._questions.probe(slot, name)
        for name in voter.pending_withdrawals(now):
            self._questions.withdraw(slot, name)
        if voter.is_poll_due(now, VOTE_INTERVAL_SECONDS, SEARCH_INTERVAL_SECONDS):
            self._questions.ask(slot, voter)

    def _repartition(self) -> None:
        """Discards the voters of the old slots, and asks their candidates to drop the votes."""
        now = self._scheduler.now()
        self._has_repartitioned = True
        self._previous_votes.add(self._voters, now)
        self._voters = {}
        self._withdraw_previous_votes(now)

    def _withdraw_previous_votes(self, now: float) -> None:
        for slot, name in self._previous_votes.droppable_votes(now).items():
            self._questions.withdraw(slot, name)
