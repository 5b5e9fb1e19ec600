"""Decides which operations one process admits without a grantor, for all callers.

Holds one allowance for each caller (local_allowance.py). The processes are ranked differently for
each caller, so the remainders of the callers' reserves go to different processes.
"""

from collections.abc import Collection, Mapping

from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.local_allowance import LocalAllowance
from dewledge.core.pooler.rate_limits.slots import (
    is_voter,
    rank_of,
    slot_count,
    slot_of,
    voters_of,
)


class LocalAllowances:
    """The callers' allowances, each created for the first operation that needs it."""

    def __init__(self, process_name: str, policy: QuotaPolicy) -> None:
        self._process_name = process_name
        self._policy = policy
        self._members: Collection[str] = frozenset({process_name})
        self._limits: Mapping[str, RateLimit] = {}
        self._allowances: dict[str, LocalAllowance] = {}

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the limits; resets the allowances of callers whose limit changed."""
        changed = [name for name in self._allowances if limits.get(name) != self._limits.get(name)]
        for name in changed:
            del self._allowances[name]
        self._limits = limits

    def set_members(self, members: Collection[str]) -> None:
        """Sets the processes that the reserves and rates are divided between."""
        if members != self._members:
            self._allowances = {}
        self._members = members

    def admit(self, caller: str, now: float, vote_valid_until: float) -> bool:
        """Returns whether one operation may begin, and counts it if so.

        vote_valid_until: until then this process's vote may be valid at a grantor.
        """
        limit = self._limits.get(caller)
        if limit is None:
            return True
        allowance = self._allowances.get(caller)
        if allowance is None:
            allowance = self._create(caller, limit, now)
            self._allowances[caller] = allowance
        return allowance.admit(now, vote_valid_until)

    def _create(self, caller: str, limit: RateLimit, now: float) -> LocalAllowance:
        processes = len(self._members)
        rank = rank_of(self._process_name, caller, self._members)
        return LocalAllowance(limit, self._policy, processes, rank, now, self._voter_count(caller))

    def _voter_count(self, caller: str) -> int:
        """Returns the number of voters in the caller's slot, or 0 if this process is not one."""
        slot = slot_of(caller, slot_count(len(self._members)))
        if not is_voter(self._process_name, slot):
            return 0
        return len(voters_of(slot, self._members))
