"""The last answers of a slot's candidates, used by the slot's voter.

Keeps two times for each candidate: the candidate's own timestamp, which votes echo, and when the
answer arrived here.
"""

import math

from dewledge.core.pooler.rate_limits.messages import QuotaAnswer


class CandidateAnswers:
    """The last answer of each candidate to this process."""

    def __init__(self) -> None:
        self._last_timestamp: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def record(self, answer: QuotaAnswer, now: float) -> None:
        """Records an answer that arrived now."""
        self._last_timestamp[answer.sender] = answer.told_at
        self._answered_at[answer.sender] = now

    def last_timestamp(self, candidate: str) -> float | None:
        """Returns the timestamp of a candidate's last answer, by its own clock, or None."""
        return self._last_timestamp.get(candidate)

    def answered_at(self, candidate: str) -> float:
        """Returns when a candidate's last answer arrived, by the local steady clock, or -inf."""
        return self._answered_at.get(candidate, -math.inf)
