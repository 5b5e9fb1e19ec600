"""What one process may admit of one caller by itself, while it reaches nobody that grants.

Inputs: the caller's limit, the policy's window (seconds), this process's rank among the members,
until when its vote may count for a grantor (own steady clock, seconds). Decision: whether one
operation may begin. Reason: a process whose vote cannot count any more has that vote's share of the
caller's rate: the grantor, if there is one elsewhere, gives out only the shares of those whose
votes count. Besides there is a small reserve for each window, for the time until then.
"""

from collections import deque

from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit

MAX_CREDIT = 1.0
"""Operations of the share that may be saved up: one, which the reserve is less for; by the
arithmetic of the bound."""


class LocalAllowance:
    """Of one caller at one process. Times in seconds of the process's steady clock."""

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

        voters: among so many the rate is divided, this one with them; 0 if it has no vote, None if
        all processes have one.
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
        """Tells whether one operation may begin, and counts it.

        counted_until: until then the vote of this process may count for a grantor, which then gives
        out its share.
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
        since = max(self._credited_until, vote_valid_until)
        if self._has_rate and now > since:
            self._credit = min(self._credit + (now - since) * self._rate, MAX_CREDIT)
        self._credited_until = max(now, self._credited_until)
