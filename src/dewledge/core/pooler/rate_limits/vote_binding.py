"""To which candidate this process's vote in one slot binds it, and until when.

Inputs: the moments at which candidates answered (own steady clock, seconds). Decision: whether a
vote for another candidate may be sent now. Reason: each vote counts at one grantor at most, so a
vote for another is sent only when the last one cannot count any more: VOTE_SECONDS after the answer
that it echoes, or once the candidate has dropped it. What an earlier start of the process did is
forgotten, so after a start it votes for nobody for as long, or until each candidate has dropped its
earlier votes.
"""

import math
from collections.abc import Collection, Sequence

from dewledge.core.pooler.rate_limits.candidate_answers import CandidateAnswers
from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS


class VoteBinding:
    """Of one slot at one process."""

    def __init__(
        self, answers: CandidateAnswers, started_at: float, withdrawal_candidates: Collection[str]
    ) -> None:
        """`withdrawing`: the candidates that may count votes of an earlier start of this process.

        started_at: of the process.
        """
        self._answers = answers
        self._earlier_votes_valid_until = started_at + VOTE_LIFETIME_SECONDS
        """From then on no vote of an earlier start of the process counts."""
        self._voted_for = ""
        self._pending_withdrawals = set(withdrawal_candidates)

    @property
    def voted_for(self) -> str:
        """Whom the last vote was for, empty where there was none."""
        return self._voted_for

    @property
    def vote_valid_until(self) -> float:
        """Until then a vote of this process may count.

        A vote counts for VOTE_SECONDS from the sending of the answer that it echoes, which came
        here later.
        """
        return max(
            self._answers.answered_at(self._voted_for) + VOTE_LIFETIME_SECONDS,
            self._earlier_votes_valid_until,
        )

    def may_vote(self, candidate: str, now: float) -> bool:
        """Tells whether a vote for the candidate can count beside no earlier one."""
        return self._voted_for == candidate or now >= self.vote_valid_until

    def record_vote(self, candidate: str) -> None:
        """A vote for the candidate is sent now."""
        self._voted_for = candidate

    def clear_earlier_votes(self) -> None:
        """No vote from before this binding counts any more."""
        self._earlier_votes_valid_until = -math.inf

    def pending_withdrawals(self, now: float) -> Sequence[str]:
        """Returns the candidates that are to drop the earlier votes of this process."""
        return sorted(self._pending_withdrawals) if now < self._earlier_votes_valid_until else ()

    def record_withdrawal(self, sender: str) -> bool:
        """A candidate has dropped the earlier votes; returns whether all have, just now."""
        if sender not in self._pending_withdrawals:
            return False
        self._pending_withdrawals.discard(sender)
        if self._pending_withdrawals or self._voted_for:
            return False
        self.clear_earlier_votes()
        return True
