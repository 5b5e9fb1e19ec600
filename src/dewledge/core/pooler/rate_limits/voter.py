"""Whom a process asks in one slot: the first candidate that answers, and its vote is for that one.

Inputs: the candidates in their order, and the answers to this process's questions (own steady
clock, seconds; an answer is a round trip old). Decision: which candidate is asked, when it is asked
again, when it is left for the next, which earlier ones are probed. Reason: all processes of a slot
prefer the same candidate, so that one grantor has the votes; a silent one may be lost or cut off.

Where the process has no vote it asks only when there is an operation, nothing is sent while there
is none, and it looks for a candidate that has votes, whichever that is. Relies on vote_binding.py
for when a vote may be sent and on grantor_search.py for how long operations look for a grantor.
"""

import math
from collections.abc import Sequence

from dewledge.core.pooler.rate_limits.candidate_answers import CandidateAnswers
from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.grantor_search import GrantorSearch
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.vote_binding import VoteBinding

SILENCE_TIMEOUT_SECONDS = 0.7
"""Seconds without an answer after which a candidate is left for the next: two lost questions are
survived."""
NON_VOTER_SILENCE_TIMEOUT_SECONDS = 0.09
"""Seconds of the same where no vote binds this process: two round trips between regions. Earlier
candidates are asked beside the next one, so that one lost question costs a round trip."""
NON_GRANTOR_RETRY_SECONDS = 0.1
"""Seconds after which a candidate that said that it has no votes is asked again."""
PROBE_INTERVAL_SECONDS = 1.0
"""Seconds between two questions to the candidates before the present one, which are gone back
to."""
POLL_DUE_RATIO = 0.8
"""Ratio; share of the time between two questions after which the next one is due: what is nearly
due is sent with what is due now."""


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
        """`started_at`: of the process. began_at: when it began to look for a grantor.

        can_withdraw: whether no other process than the candidates may count earlier votes.
        """
        self._has_vote = has_vote
        self._candidates = tuple(candidates)
        self._index = 0
        self._answers = CandidateAnswers()
        withdrawing = candidates if has_vote and can_withdraw else ()
        self._binding = VoteBinding(self._answers, started_at, withdrawing)
        self._search = GrantorSearch(began_at, has_vote)
        self._asked_at = -math.inf
        """When a candidate was asked last."""
        self._unanswered_since = math.inf
        """When the present candidate was asked first after its last answer."""
        self._allows_concurrent_questions = False
        """Whether all that come may ask the candidate, as nothing shows that it is no grantor."""
        self._selected_at = began_at
        """Since when the present candidate is asked."""
        self._confirmed_at = -math.inf
        """When a question was sent whose answer said that the candidate grants."""
        self._probe_after = began_at

    @property
    def candidate(self) -> str:
        """Whom this process asks."""
        return self._candidates[self._index] if self._candidates else ""

    @property
    def last_timestamp(self) -> float | None:
        """What the candidate is to be told back of its own clock."""
        return self._answers.last_timestamp(self.candidate)

    @property
    def candidates(self) -> Sequence[str]:
        """Who may grant, first choice first."""
        return self._candidates

    @property
    def vote_valid_until(self) -> float:
        """Until then a vote of this process may count."""
        return self._binding.vote_valid_until

    @property
    def voted_for(self) -> str:
        """Whom the last vote was for, empty where there was none."""
        return self._binding.voted_for

    def change_candidates(self, candidates: Sequence[str], now: float) -> None:
        """Keeps to the present candidate if it is still one of them."""
        present = self.candidate
        self._candidates = tuple(candidates)
        if present in self._candidates:
            self._index = self._candidates.index(present)
        else:
            self._select(0, now)

    def may_vote(self, now: float) -> bool:
        """Tells whether a vote for the present candidate can count beside no earlier one."""
        return self._has_vote and self._binding.may_vote(self.candidate, now)

    def record_question(self, now: float) -> None:
        """The present candidate is asked now."""
        self._asked_at = now
        self._unanswered_since = min(self._unanswered_since, now)

    def record_vote(self) -> None:
        """A vote for the present candidate is sent now."""
        self._binding.record_vote(self.candidate)

    def clear_earlier_votes(self) -> None:
        """No vote from before this voter counts any more."""
        self._binding.clear_earlier_votes()

    def pending_withdrawals(self, now: float) -> Sequence[str]:
        """Returns the candidates that are to drop the earlier votes of this process."""
        return self._binding.pending_withdrawals(now)

    def record_withdrawal(self, sender: str) -> bool:
        """A candidate has dropped the earlier votes; returns whether all have, just now."""
        return self._binding.record_withdrawal(sender)

    def record_waiting_operation(self, now: float) -> None:
        """An operation waits for a grantor."""
        self._search.record_waiting_operation(now)

    def search_deadline(self, now: float, seconds: float) -> float:
        """Returns until when an operation may wait that finds no grantor known.

        seconds: for the search, once: not for each operation while there is none.
        """
        if self.has_grantor(now):
            return -math.inf
        return self._search.wait_deadline(now, seconds)

    def needs_polling(self, now: float) -> bool:
        """Tells whether the candidate is to be asked although no operation asks for a token."""
        return self._search.needs_polling(now)

    def is_poll_due(self, now: float, grantor_interval: float, search_interval: float) -> bool:
        """Tells whether it is time to ask; operations' questions serve as well."""
        spacing = grantor_interval if self.has_grantor(now) else search_interval
        return now >= self._asked_at + spacing * POLL_DUE_RATIO

    def may_ask_unconfirmed(self, now: float) -> bool:
        """Tells whether an operation may ask the candidate though it is not known to grant.

        Only where this process has no vote. One that does not answer is left for the next one.
        Operations that come beside the first question ask too; if it leads to no grantor, one
        question at a time goes on, however many wait.
        """
        if self._has_vote:
            return False
        if self._is_silent(now):
            self._select_next(now)
            return True
        if self._unanswered_since < math.inf:
            return self._allows_concurrent_questions
        self._allows_concurrent_questions = not self.needs_polling(now)
        return now >= self._answers.answered_at(self.candidate) + NON_GRANTOR_RETRY_SECONDS

    def has_grantor(self, now: float) -> bool:
        """Tells whether the candidate granted a moment ago."""
        return now < self._confirmed_at + VOTE_LIFETIME_SECONDS

    def handle_answer(self, answer: QuotaAnswer, sent_at: float, now: float) -> None:
        """Takes an answer to a question sent at `sent_at`."""
        self._answers.record(answer, now)
        if answer.sender != self.candidate:
            self._return_to_earlier(answer, now)
            return
        self._unanswered_since = math.inf
        if answer.grants_here:
            self._confirmed_at = max(self._confirmed_at, sent_at)
            self._search.record_found()
        elif not self._has_vote:
            self._select_next(now)

    def _return_to_earlier(self, answer: QuotaAnswer, now: float) -> None:
        """Goes back to a candidate that comes before the present one, if that is of use."""
        is_useful = self._has_vote or answer.grants_here
        if is_useful and answer.sender in self._candidates[: self._index]:
            self._select(self._candidates.index(answer.sender), now)

    def check_candidates(self, now: float) -> Sequence[str]:
        """Leaves a candidate that is silent; returns the earlier ones to be asked for an answer."""
        if self._is_silent(now):
            self._select_next(now)
        if now < self._probe_after:
            return ()
        self._probe_after = now + PROBE_INTERVAL_SECONDS
        return self._candidates[: self._index]

    def _is_silent(self, now: float) -> bool:
        """Tells whether the candidate is to be left; one that was not asked is not silent."""
        if not self._has_vote:
            return now > self._unanswered_since + NON_VOTER_SILENCE_TIMEOUT_SECONDS
        heard = max(self._selected_at, self._answers.answered_at(self.candidate))
        return now > heard + SILENCE_TIMEOUT_SECONDS

    def _select_next(self, now: float) -> None:
        self._allows_concurrent_questions = False
        if len(self._candidates) > 1:
            self._select((self._index + 1) % len(self._candidates), now)

    def _select(self, index: int, now: float) -> None:
        self._index = index
        self._selected_at = now
        self._unanswered_since = math.inf
        self._confirmed_at = -math.inf
