"""Whom a process asks and votes for in one slot: the first candidate that grants, or soon will."""

import math
from collections.abc import Sequence

from dewledge.core.quota.grantor import VOTE_SECONDS
from dewledge.core.quota.messages import QuotaAnswer

SILENT_SECONDS = 0.8
"""A candidate without an answer for so long is left for the next: two lost questions and a slow
answer are borne."""
UNCHOSEN_SECONDS = 1.2
"""A candidate that has answered for so long and does not grant is left: a little more than a vote
lasts, after which those that voted for another are free to come."""


class Voter:
    """The state of one slot at one process. Times in seconds of its own steady clock."""

    def __init__(self, candidates: Sequence[str], started_at: float, began_at: float) -> None:
        """`started_at`: of the process. What it did before is forgotten, so for as long as a vote
        lasts it votes for nobody, or until every candidate has dropped its earlier votes.
        began_at: when it began to look for a grantor."""
        self.began_at = began_at
        self.has_known_grantor = False
        self._candidates = tuple(candidates)
        self._place = 0
        self._asked_since = started_at
        """Since when the present candidate is asked."""
        self._answered_at = -math.inf
        self._any_answer_at = started_at
        """When any candidate last answered; what an earlier start of the process heard is older."""
        self._granting_at = -math.inf
        """When a question was sent whose answer said that the candidate grants."""
        self._voted_for = ""
        self._voted_since = math.inf
        """Since when the present candidate has this process's vote; before, it cannot grant."""
        self._bound_until = started_at + VOTE_SECONDS
        self._heard_at: dict[str, float] = {}
        self._withdrawing = set(candidates)
        """The candidates that have not dropped the votes of an earlier start of this process."""

    @property
    def candidate(self) -> str:
        """Whom this process asks."""
        return self._candidates[self._place] if self._candidates else ""

    def change_candidates(self, candidates: Sequence[str], now: float) -> None:
        """Keeps to the present candidate if it is still one of them."""
        present = self.candidate
        self._candidates = tuple(candidates)
        if present in self._candidates:
            self._place = self._candidates.index(present)
        else:
            self._move(0, now)

    def may_vote(self, now: float) -> bool:
        """Tells whether a vote for the present candidate breaks no earlier promise."""
        return self._voted_for == self.candidate or now >= self._bound_until

    def withdrawing_from(self, now: float) -> Sequence[str]:
        """Returns the candidates that are to drop the earlier votes of this process."""
        return sorted(self._withdrawing) if now < self._bound_until else ()

    def take_withdrawal(self, sender: str) -> bool:
        """A candidate has dropped the earlier votes; returns whether all have, just now."""
        if sender not in self._withdrawing:
            return False
        self._withdrawing.discard(sender)
        if self._withdrawing or self._voted_for:
            return False
        self._bound_until = -math.inf
        return True

    def note_vote(self, now: float) -> None:
        """A vote for the present candidate is sent now."""
        if self._voted_since == math.inf:
            self._voted_since = now
        self._voted_for = self.candidate
        self._bound_until = now + VOTE_SECONDS

    @property
    def bound_until(self) -> float:
        """Until then no vote for another is sent."""
        return self._bound_until

    def heard_at(self) -> float | None:
        """Returns what the candidate is to be told back of its own clock."""
        return self._heard_at.get(self.candidate)

    def knows_grantor(self, now: float) -> bool:
        """Tells whether the candidate granted a moment ago."""
        return now < self._granting_at + VOTE_SECONDS

    @property
    def counted_until(self) -> float:
        """Until then a vote of this process may count: each echoes an answer and lasts from it."""
        return self._any_answer_at + VOTE_SECONDS

    def take_answer(self, answer: QuotaAnswer, sent_at: float, now: float) -> None:
        """Takes an answer to a question sent at `sent_at`."""
        self._heard_at[answer.sender] = answer.told_at
        self._any_answer_at = now
        if answer.sender != self.candidate:
            return
        self._answered_at = now
        if answer.grantor == answer.sender:
            self._granting_at = max(self._granting_at, sent_at)
            self.has_known_grantor = True
        elif answer.grantor in self._candidates:
            self._move(self._candidates.index(answer.grantor), now)

    def look(self, now: float) -> bool:
        """Leaves a candidate that is silent or not chosen; returns whether it did so."""
        since = max(self._asked_since, self._answered_at)
        is_silent = now > since + SILENT_SECONDS
        is_unchosen = now > max(self._voted_since, self._granting_at) + UNCHOSEN_SECONDS
        if len(self._candidates) < 2 or not (is_silent or is_unchosen):
            return False
        self._move((self._place + 1) % len(self._candidates), now)
        return True

    def _move(self, place: int, now: float) -> None:
        self._place = place
        self._asked_since = now
        self._voted_since = math.inf
        self._answered_at = -math.inf
        self._granting_at = -math.inf
