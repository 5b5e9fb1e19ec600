"""News waiting to be passed on: each item a bounded number of times, within a bound of bytes."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.membership.member import Claim
from dewledge.core.proxy.membership.messages import MAX_CLAIM_BYTES, claim_size


class _Item(msgspec.Struct):
    claim: Claim
    size: int


class ByteBudget:
    """A token bucket: `rate` bytes a second, at most one second's worth saved up."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._saved = rate
        self._at: float | None = None

    def available(self, now: float) -> int:
        """Returns the bytes that may be spent now."""
        if self._at is not None:
            self._saved = min(self._rate, self._saved + (now - self._at) * self._rate)
        self._at = now
        return int(self._saved)

    def spend(self, amount: int) -> None:
        """Takes what was spent."""
        self._saved -= amount


class BroadcastQueue:
    """One claim for each member at most, the least often sent first (SWIM, section 4.1)."""

    def __init__(self, budget: ByteBudget, transmit_limit: Callable[[], int]) -> None:
        self._budget = budget
        self._transmit_limit = transmit_limit
        self._levels: list[dict[str, _Item]] = [{}]
        self._level_of: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._level_of)

    def add(self, claim: Claim) -> None:
        """Queues a claim in place of any older one about the same member."""
        self.discard(claim.name)
        self._levels[0][claim.name] = _Item(claim, claim_size(claim))
        self._level_of[claim.name] = 0

    def discard(self, name: str) -> None:
        """Drops the claim about a member, if there is one."""
        level = self._level_of.pop(name, None)
        if level is not None:
            del self._levels[level][name]

    def take(self, now: float, limit: int = MAX_CLAIM_BYTES) -> tuple[Claim, ...]:
        """Returns claims for one datagram, at most `limit` bytes, and counts them as sent."""
        if not self._level_of:
            return ()
        remaining = min(limit, self._budget.available(now))
        allowed = remaining
        taken: list[tuple[int, _Item]] = []
        for level, items in enumerate(self._levels):
            for item in items.values():
                if item.size > remaining:
                    break
                remaining -= item.size
                taken.append((level, item))
        self._budget.spend(allowed - remaining)
        transmit_limit = self._transmit_limit()
        for level, item in taken:
            self._promote(item, level, transmit_limit)
        return tuple(item.claim for _, item in taken)

    def _promote(self, item: _Item, level: int, transmit_limit: int) -> None:
        name = item.claim.name
        del self._levels[level][name]
        next_level = level + 1
        if next_level >= transmit_limit:
            del self._level_of[name]
            return
        if next_level == len(self._levels):
            self._levels.append({})
        self._levels[next_level][name] = item
        self._level_of[name] = next_level
