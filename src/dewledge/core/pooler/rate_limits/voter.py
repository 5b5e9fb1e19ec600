"""Whom a process asks in one slot: the first candidate that answers, and its vote is for that one.

Where it has no vote it asks only when there is an operation, nothing is sent while there is none,
and it looks for a candidate that has votes, whichever that is.
"""

import math
from collections.abc import Sequence

from dewledge.core.pooler.rate_limits.grantor import VOTE_SECONDS
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer

SILENT_SECONDS = 0.7
"""A candidate without an answer for so long is left for the next: two lost questions are borne."""
SILENT_WITHOUT_VOTE_SECONDS = 0.09
"""Where no vote binds this process: two round trips between regions. Earlier candidates are asked
beside the next one, so that one lost question costs a round trip."""
UNVOTED_AGAIN_SECONDS = 0.1
"""A candidate that said that it has no votes is asked again after this."""
PROBE_SPACING_SECONDS = 1.0
"""Between two questions to the candidates before the present one, which are gone back to."""
WANTED_SECONDS = 1.0
"""A grantor is looked for so long after an operation waited for one: who is refused comes back."""
DUE_SHARE = 0.8
"""Of the time between two questions: what is nearly due is sent with what is due now."""


class Voter:
    """The state of one slot at one process. Times in seconds of its own steady clock."""

    def __init__(
        self,
        candidates: Sequence[str],
        started_at: float,
        began_at: float,
        has_vote: bool = True,
        can_withdraw: bool = True,
    ) -> None:
        """`started_at`: of the process. What it did before is forgotten, so for as long as a vote
        lasts it votes for nobody, or until every candidate has dropped its earlier votes.
        began_at: when it began to look for a grantor. can_withdraw: whether no other process than
        the candidates may count earlier votes.
        """
        self.began_at = began_at
        self.has_known_grantor = False
        self.has_vote = has_vote
        self.sent_at = -math.inf
        """When a candidate was asked last."""
        self._unanswered_since = math.inf
        """When the present candidate was asked first after its last answer."""
        self._searching_since = math.inf
        """Since when operations look for a grantor."""
        self._ask_beside = False
        """Whether all that come may ask the candidate, as nothing shows that it is no grantor."""
        self._wanted_at = -math.inf
        """When an operation waited for a grantor last."""
        self._candidates = tuple(candidates)
        self._place = 0
        self._asked_since = began_at
        """Since when the present candidate is asked."""
        self._granting_at = -math.inf
        """When a question was sent whose answer said that the candidate grants."""
        self._free_at = started_at + VOTE_SECONDS
        """From then on no vote of an earlier start of the process counts."""
        self._voted_for = ""
        self._heard_at: dict[str, float] = {}
        """What each candidate is to be told back of its own clock."""
        self._answered_at: dict[str, float] = {}
        self._probe_after = began_at
        self._withdrawing = set(candidates) if has_vote and can_withdraw else set()
        """The candidates that have not dropped the votes of an earlier start of this process."""

    @property
    def candidate(self) -> str:
        """Whom this process asks."""
        return self._candidates[self._place] if self._candidates else ""

    @property
    def heard_at(self) -> float | None:
        """What the candidate is to be told back of its own clock."""
        return self._heard_at.get(self.candidate)

    @property
    def candidates(self) -> Sequence[str]:
        """Who may grant, first choice first."""
        return self._candidates

    def change_candidates(self, candidates: Sequence[str], now: float) -> None:
        """Keeps to the present candidate if it is still one of them."""
        present = self.candidate
        self._candidates = tuple(candidates)
        if present in self._candidates:
            self._place = self._candidates.index(present)
        else:
            self._move(0, now)

    @property
    def counted_until(self) -> float:
        """Until then a vote of this process may count.

        A vote counts for VOTE_SECONDS from the sending of the answer that it echoes, which came
        here later.
        """
        answered_at = self._answered_at.get(self._voted_for, -math.inf)
        return max(answered_at + VOTE_SECONDS, self._free_at)

    def may_vote(self, now: float) -> bool:
        """Tells whether a vote for the present candidate can count beside no earlier one."""
        if not self.has_vote:
            return False
        if self._voted_for == self.candidate:
            return True
        return now >= self.counted_until

    def note_question(self, now: float) -> None:
        """The present candidate is asked now."""
        self.sent_at = now
        self._unanswered_since = min(self._unanswered_since, now)

    @property
    def voted_for(self) -> str:
        """Whom the last vote was for, empty where there was none."""
        return self._voted_for

    def free(self) -> None:
        """No vote from before this voter counts any more."""
        self._free_at = -math.inf

    def note_vote(self) -> None:
        """A vote for the present candidate is sent now."""
        self._voted_for = self.candidate

    def want(self, now: float) -> None:
        """An operation waits for a grantor."""
        if not self.is_watched(now) or self._searching_since == math.inf:
            self._searching_since = now
        self._wanted_at = now

    def first_search_until(self, now: float, seconds: float) -> float:
        """Returns until when an operation may wait that finds no grantor known.

        seconds: for the search, once: not for each operation while there is none.
        """
        if self.knows_grantor(now):
            return -math.inf
        if self.has_vote:
            return -math.inf if self.has_known_grantor else self.began_at + seconds
        goes_on = self.is_watched(now) and self._searching_since < math.inf
        return (self._searching_since if goes_on else now) + seconds

    def is_watched(self, now: float) -> bool:
        """Tells whether the candidate is to be asked although no operation asks for a token."""
        return self.has_vote or now < self._wanted_at + WANTED_SECONDS

    def is_due(self, now: float, knows_spacing: float, search_spacing: float) -> bool:
        """Tells whether it is time to ask; operations' questions serve as well."""
        spacing = knows_spacing if self.knows_grantor(now) else search_spacing
        return now >= self.sent_at + spacing * DUE_SHARE

    def begin_to_ask(self, now: float) -> bool:
        """Tells whether an operation may ask the candidate though it is not known to grant.

        Only where this process has no vote. One that does not answer is left for the next one.
        Operations that come beside the first question ask too; if it leads to no grantor, one
        question at a time goes on, however many wait.
        """
        if self.has_vote:
            return False
        if self._is_silent(now):
            self._move_on(now)
            return True
        if self._unanswered_since < math.inf:
            return self._ask_beside
        answered_at = self._answered_at.get(self.candidate, -math.inf)
        self._ask_beside = not self.is_watched(now)
        return now >= answered_at + UNVOTED_AGAIN_SECONDS

    def knows_grantor(self, now: float) -> bool:
        """Tells whether the candidate granted a moment ago."""
        return now < self._granting_at + VOTE_SECONDS

    def withdrawing_from(self, now: float) -> Sequence[str]:
        """Returns the candidates that are to drop the earlier votes of this process."""
        return sorted(self._withdrawing) if now < self._free_at else ()

    def take_withdrawal(self, sender: str) -> bool:
        """A candidate has dropped the earlier votes; returns whether all have, just now."""
        if sender not in self._withdrawing:
            return False
        self._withdrawing.discard(sender)
        if self._withdrawing or self._voted_for:
            return False
        self._free_at = -math.inf
        return True

    def take_answer(self, answer: QuotaAnswer, sent_at: float, now: float) -> None:
        """Takes an answer to a question sent at `sent_at`."""
        self._heard_at[answer.sender] = answer.told_at
        self._answered_at[answer.sender] = now
        if answer.sender == self.candidate:
            self._unanswered_since = math.inf
        if answer.sender != self.candidate:
            is_useful = self.has_vote or answer.grants_here
            if is_useful and answer.sender in self._candidates[: self._place]:
                self._move(self._candidates.index(answer.sender), now)
            return
        if answer.grants_here:
            self._granting_at = max(self._granting_at, sent_at)
            self.has_known_grantor = True
            self._searching_since = math.inf
        elif not self.has_vote:
            self._move_on(now)

    def look(self, now: float) -> Sequence[str]:
        """Leaves a candidate that is silent; returns the earlier ones to be asked for an answer."""
        if self._is_silent(now):
            self._move_on(now)
        if now < self._probe_after:
            return ()
        self._probe_after = now + PROBE_SPACING_SECONDS
        return self._candidates[: self._place]

    def _is_silent(self, now: float) -> bool:
        """Tells whether the candidate is to be left; one that was not asked is not silent."""
        if not self.has_vote:
            return now > self._unanswered_since + SILENT_WITHOUT_VOTE_SECONDS
        heard = max(self._asked_since, self._answered_at.get(self.candidate, -math.inf))
        return now > heard + SILENT_SECONDS

    def _move_on(self, now: float) -> None:
        self._ask_beside = False
        if len(self._candidates) > 1:
            self._move((self._place + 1) % len(self._candidates), now)

    def _move(self, place: int, now: float) -> None:
        self._place = place
        self._asked_since = now
        self._unanswered_since = math.inf
        self._granting_at = -math.inf
