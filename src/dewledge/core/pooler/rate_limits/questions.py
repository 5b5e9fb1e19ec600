"""Sends this process's questions to grantor candidates and matches the answers.

Keeps the questions that have no answer yet. The slot's voter chooses the candidate and decides
whether the question carries a vote. A lost question is not sent again from here: operations ask
again after a timeout (gate.py), and votes are repeated (slot_voters.py).
"""

import itertools
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.rate_limits.admission import PendingAdmission
from dewledge.core.pooler.rate_limits.messages import (
    MAX_WAIT_MS,
    QuotaAnswer,
    QuotaQuestion,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

QUESTION_RETENTION_SECONDS = 1.0
"""Seconds after which a question without an answer is forgotten. Longer than any operation waits
for an answer; it only bounds the memory."""

SendQuestion = Callable[[str, QuotaQuestion], None]
"""Sends a question to the process of the given name."""


class PendingQuestion(msgspec.Struct, frozen=True):
    """A question without an answer yet.

    applications: the operations that it asks for. sent_at: steady clock, seconds. withdraws:
    whether it asks to drop earlier votes.
    """

    slot: Slot
    sent_at: float
    applications: tuple[PendingAdmission, ...] = ()
    withdraws: bool = False


class Questions:
    """The questions without an answer, by number."""

    def __init__(self, scheduler: Scheduler, process_name: str, send: SendQuestion) -> None:
        self._scheduler = scheduler
        self._process_name = process_name
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, PendingQuestion] = {}

    def ask(self, slot: Slot, voter: Voter, pending: tuple[PendingAdmission, ...] = ()) -> int:
        """Asks the voter's candidate, with a vote if one may be sent; returns the number.

        pending: the operations to request a token for.
        """
        now = self._scheduler.now()
        votes = voter.may_vote(now)
        if votes:
            voter.record_vote()
        voter.record_question(now)
        number = self._register(PendingQuestion(slot, now, pending))
        wants = tuple(_token_want(each) for each in pending)
        question = QuotaQuestion(
            self._process_name, number, slot, votes, voter.last_timestamp, wants
        )
        self._send(voter.candidate, question)
        return number

    def probe(self, slot: Slot, name: str) -> None:
        """Asks a candidate only for an answer, to learn whether it is reachable again."""
        number = self._register(PendingQuestion(slot, self._scheduler.now()))
        self._send(name, QuotaQuestion(self._process_name, number, slot, False, None))

    def withdraw(self, slot: Slot, name: str) -> None:
        """Asks a candidate to drop the earlier votes of this process."""
        number = self._register(PendingQuestion(slot, self._scheduler.now(), withdraws=True))
        question = QuotaQuestion(self._process_name, number, slot, False, None, withdraws=True)
        self._send(name, question)

    def is_open(self, number: int) -> bool:
        """Returns whether a question has no answer yet."""
        return number in self._pending

    def match_answer(self, answer: QuotaAnswer) -> PendingQuestion | None:
        """Removes and returns the question of an answer, or None if it is no longer open."""
        return self._pending.pop(answer.number, None)

    def forget_unanswered(self, now: float) -> None:
        """Forgets the questions older than QUESTION_RETENTION_SECONDS."""
        expired = [
            number
            for number, asked in self._pending.items()
            if asked.sent_at < now - QUESTION_RETENTION_SECONDS
        ]
        for number in expired:
            del self._pending[number]

    def _register(self, asked: PendingQuestion) -> int:
        number = next(self._numbers)
        self._pending[number] = asked
        return number


def _token_want(pending: PendingAdmission) -> TokenWant:
    max_wait_ms = min(pending.max_wait * MILLISECONDS_PER_SECOND, MAX_WAIT_MS)
    return TokenWant(
        pending.caller,
        place=pending.number,
        bears_ms=int(max_wait_ms),
        urgency=pending.urgency,
    )
