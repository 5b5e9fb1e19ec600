"""Selects the candidate that this process asks for tokens and votes for in a slot.

All processes prefer the candidates in the same order, so that the votes gather at one grantor. A
process asks the first candidate that answers. If that candidate falls silent, the process selects
the next one, and probes the earlier ones to return to the first that answers again.

A process without a vote in the slot asks only on behalf of operations, and looks for any candidate
that holds votes. vote_binding.py decides when a vote may be sent, grantor_search.py how long
operations wait for a grantor.
"""

import math
from collections.abc import Sequence

from dewledge.core.pooler.rate_limits.candidate_answers import CandidateAnswers
from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.grantor_search import GrantorSearch
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.vote_binding import VoteBinding

SILENCE_TIMEOUT_SECONDS = 0.7
"""Seconds without an answer after which a process with a vote selects the next candidate; two
questions may be lost."""
NON_VOTER_SILENCE_TIMEOUT_SECONDS = 0.09
"""Seconds without an answer after which a process without a vote selects the next candidate: two
round trips between regions. Earlier candidates are probed at the same time, so one lost question
costs one round trip."""
NON_GRANTOR_RETRY_SECONDS = 0.1
"""Seconds after which a candidate that answered that it holds no votes is asked again."""
PROBE_INTERVAL_SECONDS = 1.0
"""Seconds between two probes of the candidates before the selected one."""
POLL_INTERVAL_RATIO = 0.8
"""Ratio of the poll interval after which the next question is due, so that questions of several
slots are sent together."""


class Voter:
    """The candidate selected in a slot. Times are in seconds of the process's steady clock."""

    def __init__(
        self,
        candidates: Sequence[str],
        started_at: float,
        began_at: float,
        has_vote: bool = True,
        can_withdraw: bool = True,
    ) -> None:
        """`started_at`: when the process started. began_at: when the search for a grantor began.

        can_withdraw: whether the candidates are the only processes that can hold votes from before
        a restart, so that they can be asked to drop them all.
        """
        self._has_vote = has_vote
        self._candidates = tuple(candidates)
        self._index = 0
        self._answers = CandidateAnswers()
        withdrawing = candidates if has_vote and can_withdraw else ()
        self._binding = VoteBinding(self._answers, started_at, withdrawing)
        self._search = GrantorSearch(began_at, has_vote)
        self._asked_at = -math.inf
        """When this process last sent a question to a selected candidate."""
        self._unanswered_since = math.inf
        """When the candidate was first asked after its last answer; inf if no question is open."""
        self._allows_concurrent_questions = False
        """Whether operations may ask the candidate while an earlier question to it is
        unanswered."""
        self._selected_at = began_at
        """When the candidate was selected."""
        self._confirmed_at = -math.inf
        """When the question was sent to which the candidate last answered that it grants."""
        self._probe_after = began_at

    @property
    def candidate(self) -> str:
        """The candidate that this process asks, empty without candidates."""
        return self._candidates[self._index] if self._candidates else ""

    @property
    def last_timestamp(self) -> float | None:
        """The timestamp in the candidate's last answer, by its own clock, for a vote to echo."""
        return self._answers.last_timestamp(self.candidate)

    @property
    def candidates(self) -> Sequence[str]:
        """The processes that may grant, the most preferred first."""
        return self._candidates

    @property
    def vote_valid_until(self) -> float:
        """When every vote sent by this process has expired."""
        return self._binding.vote_valid_until

    @property
    def voted_for(self) -> str:
        """The candidate of the last vote, empty if there was none."""
        return self._binding.voted_for

    def change_candidates(self, candidates: Sequence[str], now: float) -> None:
        """Sets the candidates; keeps the selected one if it is still among them."""
        current = self.candidate
        self._candidates = tuple(candidates)
        if current in self._candidates:
            self._index = self._candidates.index(current)
        else:
            self._select(0, now)

    def may_vote(self, now: float) -> bool:
        """Returns whether a vote for the selected candidate may be sent now."""
        return self._has_vote and self._binding.may_vote(self.candidate, now)

    def record_question(self, now: float) -> None:
        """Records that the selected candidate is asked now."""
        self._asked_at = now
        self._unanswered_since = min(self._unanswered_since, now)

    def record_vote(self) -> None:
        """Records that a vote for the selected candidate is sent now."""
        self._binding.record_vote(self.candidate)

    def clear_earlier_votes(self) -> None:
        """Records that no vote sent before this object was created is valid any more."""
        self._binding.clear_earlier_votes()

    def pending_withdrawals(self, now: float) -> Sequence[str]:
        """Returns the candidates that have yet to drop the votes from before a restart."""
        return self._binding.pending_withdrawals(now)

    def record_withdrawal(self, sender: str) -> bool:
        """Records that a candidate dropped the votes from before a restart.

        Returns whether this was the last one and this process may vote now.
        """
        return self._binding.record_withdrawal(sender)

    def record_waiting_operation(self, now: float) -> None:
        """Records that an operation waits for a grantor now."""
        self._search.record_waiting_operation(now)

    def search_deadline(self, now: float, seconds: float) -> float:
        """Returns the latest time for which an operation may wait, -inf if a grantor is known.

        seconds: the length of a search, which all operations during it share.
        """
        if self.has_grantor(now):
            return -math.inf
        return self._search.wait_deadline(now, seconds)

    def needs_polling(self, now: float) -> bool:
        """Returns whether to ask the candidate even though no operation asks for a token."""
        return self._search.needs_polling(now)

    def is_poll_due(self, now: float, grantor_interval: float, search_interval: float) -> bool:
        """Returns whether the last question is so old that the candidate should be asked again.

        Operations' questions count too. grantor_interval: seconds between questions while a grantor
        is known; search_interval: while none is.
        """
        spacing = grantor_interval if self.has_grantor(now) else search_interval
        return now >= self._asked_at + spacing * POLL_INTERVAL_RATIO

    def may_ask_unconfirmed(self, now: float) -> bool:
        """Returns whether an operation may ask the candidate although it is not known to grant.

        Always False if this process has a vote. If the candidate is silent, selects the next one.
        While the first question of a search is open, other operations may ask too; after another
        candidate was selected, only one question is open at a time, however many operations wait.
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
        """Returns whether the candidate recently confirmed that it grants."""
        return now < self._confirmed_at + VOTE_LIFETIME_SECONDS

    def handle_answer(self, answer: QuotaAnswer, sent_at: float, now: float) -> None:
        """Handles an answer to a question that was sent at `sent_at`."""
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
        """Selects an earlier candidate that answered, if it grants or this process has a vote."""
        is_useful = self._has_vote or answer.grants_here
        if is_useful and answer.sender in self._candidates[: self._index]:
            self._select(self._candidates.index(answer.sender), now)

    def replace_silent_candidate(self, now: float) -> Sequence[str]:
        """Selects the next candidate if this one is silent; returns earlier ones to probe now."""
        if self._is_silent(now):
            self._select_next(now)
        if now < self._probe_after:
            return ()
        self._probe_after = now + PROBE_INTERVAL_SECONDS
        return self._candidates[: self._index]

    def _is_silent(self, now: float) -> bool:
        """Returns whether the candidate left questions unanswered for too long."""
        if not self._has_vote:
            return now > self._unanswered_since + NON_VOTER_SILENCE_TIMEOUT_SECONDS
        last_answer_at = max(self._selected_at, self._answers.answered_at(self.candidate))
        return now > last_answer_at + SILENCE_TIMEOUT_SECONDS

    def _select_next(self, now: float) -> None:
        self._allows_concurrent_questions = False
        if len(self._candidates) > 1:
            self._select((self._index + 1) % len(self._candidates), now)

    def _select(self, index: int, now: float) -> None:
        self._index = index
        self._selected_at = now
        self._unanswered_since = math.inf
        self._confirmed_at = -math.inf
