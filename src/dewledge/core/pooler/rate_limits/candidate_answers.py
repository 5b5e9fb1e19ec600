"""What the candidates of one slot said last, and when; the voter of the slot reads it.

Owns two moments for each candidate: its own clock's, to be told back, and this process's.
"""

import math

from dewledge.core.pooler.rate_limits.messages import QuotaAnswer


class CandidateAnswers:
    """The last answer of each candidate to this process."""

    def __init__(self) -> None:
        self._last_timestamp: dict[str, float] = {}
        self._answered_at: dict[str, float] = {}

    def record(self, answer: QuotaAnswer, now: float) -> None:
        """Takes an answer that came now."""
        self._last_timestamp[answer.sender] = answer.told_at
        self._answered_at[answer.sender] = now

    def last_timestamp(self, candidate: str) -> float | None:
        """Returns what a candidate is to be told back of its own clock; None without an answer."""
        return self._last_timestamp.get(candidate)

    def answered_at(self, candidate: str) -> float:
        """Returns when a candidate answered last (own steady clock, seconds); -inf: never."""
        return self._answered_at.get(candidate, -math.inf)
