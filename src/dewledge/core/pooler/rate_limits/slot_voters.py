"""Whom this process asks and votes for, in all slots of callers.

Owns the members among which callers are divided, one voter for each slot in use, and the votes of
an earlier division, which bind the process until they lapse or are dropped. Relies on the rules of
one slot (voter.py, former_votes.py) and on the division of callers into slots (slots.py).
"""

from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.former_votes import PreviousVotes
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
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
"""Seconds between two votes while each grantor is known; a third of a vote's time (VOTE_SECONDS),
so that two votes may be lost."""
SEARCH_SPACING_SECONDS = 0.1
"""Seconds between two questions while a grantor is not known; some round trips between regions."""


class SlotVoters:
    """The voters of one process. Times in seconds of its steady clock."""

    def __init__(
        self, scheduler: Scheduler, process_name: str, questions: Questions, started_at: float
    ) -> None:
        """`started_at`: of the process; votes of an earlier start may count until later."""
        self._scheduler = scheduler
        self._process_name = process_name
        self._questions = questions
        self._started_at = started_at
        self._members: frozenset[str] = frozenset({process_name})
        self._voters: dict[Slot, Voter] = {}
        self._has_repartitioned = False
        self._previous_votes = PreviousVotes()

    def set_members(self, members: frozenset[str]) -> None:
        """Sets the processes among which callers are divided."""
        now = self._scheduler.now()
        before, self._members = self._members, members
        if members == before:
            return
        count = slot_count(len(members))
        if any(slot.count != count for slot in self._voters):
            self._repartition()
        for slot, voter in self._voters.items():
            candidates = update_candidates(slot, voter.candidates, before, members)
            voter.change_candidates(candidates, now)

    def clear(self) -> None:
        """No caller has a limit: no vote is needed."""
        self._voters = {}

    def slot_of(self, caller: str) -> Slot:
        """Returns the slot of a caller in the present division."""
        return slot_of(caller, slot_count(len(self._members)))

    def voter(self, slot: Slot) -> Voter:
        """Returns the voter of a slot; it begins when it is needed first."""
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
        """Returns who grants a caller's tokens to this process, empty where none is known."""
        voter = self._voters.get(self.slot_of(caller))
        if voter is None or not voter.has_grantor(self._scheduler.now()):
            return ""
        return voter.candidate

    def tick(self, now: float) -> bool:
        """Votes, and leaves grantors that are gone; returns whether each slot has a grantor."""
        self._withdraw_previous_votes(now)
        for slot in voting_slots(self._process_name, slot_count(len(self._members))):
            self.voter(slot)
        watched = {slot: it for slot, it in self._voters.items() if it.needs_polling(now)}
        for slot, voter in watched.items():
            self._poll(slot, voter, now)
        return all(voter.has_grantor(now) for voter in watched.values())

    def may_ask(self, slot: Slot, now: float) -> bool:
        """Tells whether an operation may ask the slot's candidate now.

        It may if the candidate grants. It may also begin to ask a candidate of which nothing was
        heard lately; candidates that were left for this one are then asked beside it.
        """
        voter = self.voter(slot)
        if voter.has_grantor(now):
            return True
        if not voter.may_ask_unconfirmed(now):
            return False
        voter.record_waiting_operation(now)
        for name in voter.check_candidates(now):
            self._questions.probe(slot, name)
        return True

    def record_dropped(self, slot: Slot, sender: str) -> bool:
        """A process dropped a vote of an earlier division; returns whether none binds any more."""
        if not self._previous_votes.record_dropped(slot, sender):
            return False
        for voter in self._voters.values():
            voter.clear_earlier_votes()
        return True

    def handle_answer(self, answer: QuotaAnswer, asked: PendingQuestion) -> bool:
        """Takes the answer to a question; returns False if its slot is not in use any more."""
        voter = self._voters.get(answer.slot)
        if voter is None:
            return False
        voter.handle_answer(answer, asked.sent_at, self._scheduler.now())
        if asked.withdraws and voter.record_withdrawal(answer.sender):
            self._questions.ask(answer.slot, voter)
        return True

    def _poll(self, slot: Slot, voter: Voter, now: float) -> None:
        """Asks the candidate, with this process's vote if it has one; leaves a silent one."""
        for name in voter.check_candidates(now):
            self._questions.probe(slot, name)
        for name in voter.pending_withdrawals(now):
            self._questions.withdraw(slot, name)
        if voter.is_poll_due(now, VOTE_INTERVAL_SECONDS, SEARCH_SPACING_SECONDS):
            self._questions.ask(slot, voter)

    def _repartition(self) -> None:
        """The slots are other ones now; votes in the old ones bind until they are dropped."""
        now = self._scheduler.now()
        self._has_repartitioned = True
        self._previous_votes.add(self._voters, now)
        self._voters = {}
        self._withdraw_previous_votes(now)

    def _withdraw_previous_votes(self, now: float) -> None:
        for slot, name in self._previous_votes.droppable_votes(now).items():
            self._questions.withdraw(slot, name)
