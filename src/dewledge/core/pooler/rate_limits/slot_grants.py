"""Grants the rate-limit tokens of a slot's callers.

Each caller has a bucket, whose clock is the fraction of the slot's votes that this process holds
over time (vote_fraction.py). caller_token_queues.py decides which operation gets the next token.

All buckets of a caller, at all grantors, never hold more than one full bucket together: each starts
empty, holds at most this process's fraction of a full one, and drops the excess as soon as the
fraction falls, even if briefly (limits.py).
"""

import math
from collections.abc import Mapping

from dewledge.core.pooler.rate_limits.caller_token_queues import CallerTokenQueues
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import TokenGrant, TokenWant
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Granted
from dewledge.core.pooler.rate_limits.vote_fraction import VoteFraction
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND


class SlotGrants:
    """The buckets and queues of a slot's callers. Soft state: lost with the process."""

    def __init__(self, policy: QuotaPolicy, vote_fraction: VoteFraction) -> None:
        self._policy = policy
        self._vote_fraction = vote_fraction
        self._queues: dict[str, CallerTokenQueues] = {}
        """The queues by caller. Their buckets use `full_rate_seconds` as their clock."""

    def drop_unlimited(self, limits: Mapping[str, RateLimit]) -> None:
        """Drops the queues of callers without a limit."""
        for caller in [name for name in self._queues if name not in limits]:
            del self._queues[caller]

    def shrink_buckets(self, limits: Mapping[str, RateLimit], fraction: float) -> None:
        """Reduces the bucket sizes after the fraction of the votes fell."""
        for caller, queues in self._queues.items():
            limit = limits[caller]
            size = self._policy.bucket_size(limit, fraction)
            queues.bucket.set_rate_and_size(limit.rate, size, self._vote_fraction.full_rate_seconds)

    def grant(self, asker: str, want: TokenWant, limit: RateLimit, now: float) -> TokenGrant:
        """Returns a token for an operation, or the time until one is available."""
        vote_fraction = self._vote_fraction
        queues = self._queues_of(want.caller, limit)
        key = QueueKey(asker, want.place) if want.place else None
        max_wait = want.bears_ms / MILLISECONDS_PER_SECOND
        result = queues.ask(
            want.urgency,
            key,
            now,
            vote_fraction.full_rate_seconds,
            vote_fraction.fraction,
            max_wait,
        )
        if isinstance(result, Granted):
            age_ms = math.ceil(result.age * MILLISECONDS_PER_SECOND)
            return TokenGrant(want.caller, 1, 0, age_ms=age_ms)
        milliseconds = math.ceil(result.seconds * MILLISECONDS_PER_SECOND)
        is_reserved = result.is_kept or result.is_own
        return TokenGrant(want.caller, 0, milliseconds, is_reserved, refuses=result.is_refused)

    def _queues_of(self, caller: str, limit: RateLimit) -> CallerTokenQueues:
        """Returns a caller's queues, with the bucket updated to the present limit and fraction."""
        size = self._policy.bucket_size(limit, self._vote_fraction.fraction)
        queues = self._queues.get(caller)
        if queues is None:
            bucket = TokenBucket(limit.rate, size, 0.0, self._vote_fraction.filled_since)
            queues = CallerTokenQueues(bucket)
            self._queues[caller] = queues
        queues.bucket.set_rate_and_size(limit.rate, size, self._vote_fraction.full_rate_seconds)
        return queues
