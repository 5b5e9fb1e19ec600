"""What one process may admit of a caller's operations without a grantor.

A process whose vote is no longer valid at any grantor may use that vote's part of the caller's
rate: a grantor elsewhere hands out only the parts of valid votes. Until the vote expires, the
process has only a small reserve for each window.
"""

from collections import deque

from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit

MAX_CREDIT = 1.0
"""Operations: the maximum unused credit from the rate. The reserve is smaller by the same number,
so the bound holds."""


class LocalAllowance:
    """Limits a caller's operations that this process admits without a grantor. Times are in seconds
    of the process's steady clock."""

    def __init__(
        self,
        limit: RateLimit,
        policy: QuotaPolicy,
        processes: int,
        rank: int,
        now: float,
        voters: int | None = None,
    ) -> None:
        """`rank`: of this process among the `processes`, from 0.

        voters: the number of voters that the rate is divided between, including this process; 0 if
        it has no vote, None if all processes have one.
        """
        self._window = policy.window
        voters = processes if voters is None else voters
        self._rate = limit.rate / voters if voters else 0.0
        reserve = policy.reserve(limit, processes, rank)
        self._has_rate = reserve >= 1 and self._rate * policy.window >= MAX_CREDIT
        self._reserve = reserve - 1 if self._has_rate else reserve
        self._credit = 0.0
        self._credited_until = now
        self._admitted: deque[float] = deque()

    def admit(self, now: float, vote_valid_until: float) -> bool:
        """Returns whether one operation may begin, and counts it if so.

        vote_valid_until: until then this process's vote may be valid at a grantor, which then hands
        out this process's part of the rate.
        """
        self._gain_credit(now, vote_valid_until)
        if self._credit >= MAX_CREDIT:
            self._credit -= MAX_CREDIT
            return True
        while self._admitted and self._admitted[0] <= now - self._window:
            self._admitted.popleft()
        if len(self._admitted) >= self._reserve:
            return False
        self._admitted.append(now)
        return True

    def _gain_credit(self, now: float, vote_valid_until: float) -> None:
        credited_from = max(self._credited_until, vote_valid_until)
        if self._has_rate and now > credited_from:
            self._credit = min(self._credit + (now - credited_from) * self._rate, MAX_CREDIT)
        self._credited_until = max(now, self._credited_until)
