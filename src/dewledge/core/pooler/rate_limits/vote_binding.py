"""Decides when this process may vote for another candidate of a slot.

Each vote must be valid at one grantor at most. So a vote for another candidate is sent only after
the last vote has expired, VOTE_LIFETIME_SECONDS after the answer that it echoes, or after its
candidate dropped it. A process does not remember its votes across a restart. For
VOTE_LIFETIME_SECONDS after a start, or until each candidate has dropped its earlier votes, the
process therefore sends no vote.
"""

import math
from collections.abc import Collection, Sequence

from dewledge.core.pooler.rate_limits.candidate_answers import CandidateAnswers
from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS


class VoteBinding:
    """The last vote of this process in one slot."""

    def __init__(
        self, answers: CandidateAnswers, started_at: float, withdrawal_candidates: Collection[str]
    ) -> None:
        """`withdrawal_candidates`: the candidates that may hold votes from before a restart.

        started_at: when the process started.
        """
        self._answers = answers
        self._earlier_votes_valid_until = started_at + VOTE_LIFETIME_SECONDS
        """When the votes from before a restart expire."""
        self._voted_for = ""
        self._pending_withdrawals = set(withdrawal_candidates)

    @property
    def voted_for(self) -> str:
        """The candidate of the last vote, empty if there was none."""
        return self._voted_for

    @property
    def vote_valid_until(self) -> float:
        """When every vote sent by this process in the slot has expired.

        A vote expires VOTE_LIFETIME_SECONDS after the candidate sent the answer that the vote
        echoes; the answer arrived here later than that.
        """
        return max(
            self._answers.answered_at(self._voted_for) + VOTE_LIFETIME_SECONDS,
            self._earlier_votes_valid_until,
        )

    def may_vote(self, candidate: str, now: float) -> bool:
        """Returns whether a vote may be sent: no vote for another candidate can be valid."""
        return self._voted_for == candidate or now >= self.vote_valid_until

    def record_vote(self, candidate: str) -> None:
        """Records that a vote for the candidate is sent now."""
        self._voted_for = candidate

    def clear_earlier_votes(self) -> None:
        """Records that no vote from before this binding is valid any more."""
        self._earlier_votes_valid_until = -math.inf

    def pending_withdrawals(self, now: float) -> Sequence[str]:
        """Returns the candidates that have yet to drop the votes from before a restart."""
        return sorted(self._pending_withdrawals) if now < self._earlier_votes_valid_until else ()

    def record_withdrawal(self, sender: str) -> bool:
        """Records that a candidate dropped the votes from before a restart.

        Returns whether this was the last one and this process may vote now.
        """
        if sender not in self._pending_withdrawals:
            return False
        self._pending_withdrawals.discard(sender)
        if self._pending_withdrawals or self._voted_for:
            return False
        self.clear_earlier_votes()
        return True
