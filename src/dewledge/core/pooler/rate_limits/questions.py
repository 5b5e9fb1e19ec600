"""The questions of this process to those that may grant rate-limit tokens, until their answers.

Owns the numbers of questions and what each question was for. Relies on the voter of a slot to say
whom to ask and whether the question is a vote. A question that is lost is not sent again here: who
waits for it asks anew (gate.py), and the next vote follows (slot_voters.py).
"""

import itertools
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.rate_limits.admission import Application
from dewledge.core.pooler.rate_limits.messages import (
    MAX_WAIT_MS,
    QuotaAnswer,
    QuotaQuestion,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS

QUESTION_RETENTION_SECONDS = 1.0
"""Seconds after which an answer is no longer waited for; some times longer than any answer is
waited for, it only bounds what is remembered."""

SendQuestion = Callable[[str, QuotaQuestion], None]
"""Takes the name of the process to ask, and the question."""


class PendingQuestion(msgspec.Struct, frozen=True):
    """A question under way: for whom, and when it was sent (steady clock, seconds)."""

    slot: Slot
    sent_at: float
    applications: tuple[Application, ...] = ()
    withdraws: bool = False


class Questions:
    """Those that have no answer yet, by their numbers."""

    def __init__(self, scheduler: Scheduler, process_name: str, send: SendQuestion) -> None:
        self._scheduler = scheduler
        self._process_name = process_name
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingQuestion] = {}

    def ask(self, slot: Slot, voter: Voter, applications: tuple[Application, ...] = ()) -> int:
        """Asks the voter's candidate, with this process's vote if it may count; returns its number.

        applications: the operations that want a token.
        """
        now = self._scheduler.now()
        votes = voter.may_vote(now)
        if votes:
            voter.record_vote()
        voter.record_question(now)
        number = self._register(PendingQuestion(slot, now, applications))
        wants = tuple(_token_want(each) for each in applications)
        question = QuotaQuestion(
            self._process_name, number, slot, votes, voter.last_timestamp, wants
        )
        self._send(voter.candidate, question)
        return number

    def probe(self, slot: Slot, name: str) -> None:
        """Asks a candidate for an answer only: it may be reached again."""
        number = self._register(PendingQuestion(slot, self._scheduler.now()))
        self._send(name, QuotaQuestion(self._process_name, number, slot, False, None))

    def withdraw(self, slot: Slot, name: str) -> None:
        """Asks a candidate to drop the earlier votes of this process."""
        number = self._register(PendingQuestion(slot, self._scheduler.now(), withdraws=True))
        question = QuotaQuestion(self._process_name, number, slot, False, None, withdraws=True)
        self._send(name, question)

    def is_open(self, number: int) -> bool:
        """Tells whether a question has no answer yet."""
        return number in self._pending

    def match_answer(self, answer: QuotaAnswer) -> PendingQuestion | None:
        """Returns the question that an answer is for, once; None if it is not waited for."""
        return self._pending.pop(answer.number, None)

    def forget_unanswered(self, now: float) -> None:
        """Forgets the questions whose answers are no longer waited for."""
        lost = [
            number
            for number, asked in self._pending.items()
            if asked.sent_at < now - QUESTION_RETENTION_SECONDS
        ]
        for number in lost:
            del self._pending[number]

    def _register(self, asked: PendingQuestion) -> int:
        number = next(self._numbers)
        self._pending[number] = asked
        return number


def _token_want(application: Application) -> TokenWant:
    accepted_ms = min(application.max_wait * MILLISECONDS, MAX_WAIT_MS)
    return TokenWant(
        application.caller,
        place=application.number,
        bears_ms=int(accepted_ms),
        urgency=application.urgency,
    )
