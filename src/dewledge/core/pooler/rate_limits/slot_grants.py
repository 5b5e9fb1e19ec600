"""What this process gives out of the rate-limit tokens of one slot's callers.

Inputs: a caller's limit (operations a second), the share of the votes held now (held_share.py), the
want of an operation (its key, urgency, and the seconds for which it may wait). Decision: a token,
or the milliseconds until the operation's own. Relies on caller_token_queues.py for the order of a
caller's operations.

What all buckets of a caller hold together never exceeds one full bucket: a bucket begins empty,
holds v/n of a full one at most, and loses what is beyond that as soon as the share falls, also for
a moment (limits.py).
"""

import math
from collections.abc import Mapping

from dewledge.core.pooler.rate_limits.caller_token_queues import CallerTokenQueues
from dewledge.core.pooler.rate_limits.held_share import VoteFraction
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import TokenGrant, TokenWant
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Granted
from dewledge.core.shared.units import MILLISECONDS


class SlotGrants:
    """The buckets and queues of a slot's callers. Soft state."""

    def __init__(self, policy: QuotaPolicy, vote_fraction: VoteFraction) -> None:
        self._policy = policy
        self._vote_fraction = vote_fraction
        self._queues: dict[str, CallerTokenQueues] = {}
        """By caller. Their buckets' time is `share_seconds`, so each fills with the share held."""

    def drop_unlimited(self, limits: Mapping[str, RateLimit]) -> None:
        """Forgets the callers that have no limit now."""
        for caller in [name for name in self._queues if name not in limits]:
            del self._queues[caller]

    def shrink_buckets(self, limits: Mapping[str, RateLimit], fraction: float) -> None:
        """The share fell: each bucket holds less from now on."""
        for caller, queues in self._queues.items():
            limit = limits[caller]
            size = self._policy.bucket_size(limit, fraction)
            queues.bucket.change(limit.rate, size, self._vote_fraction.full_rate_seconds)

    def grant(self, asker: str, want: TokenWant, limit: RateLimit, now: float) -> TokenGrant:
        """Returns a token for an operation, or when its own token comes."""
        share = self._vote_fraction
        queues = self._queues_of(want.caller, limit)
        key = QueueKey(asker, want.place) if want.place else None
        accepted = want.bears_ms / MILLISECONDS
        found = queues.ask(
            want.urgency, key, now, share.full_rate_seconds, share.fraction, accepted
        )
        if isinstance(found, Granted):
            age_ms = math.ceil(found.age * MILLISECONDS)
            return TokenGrant(want.caller, 1, 0, age_ms=age_ms)
        milliseconds = math.ceil(found.seconds * MILLISECONDS)
        is_kept = found.is_kept or found.is_own
        return TokenGrant(want.caller, 0, milliseconds, is_kept, refuses=found.is_refused)

    def _queues_of(self, caller: str, limit: RateLimit) -> CallerTokenQueues:
        """Returns a caller's queues, with the bucket of the present limit and share."""
        size = self._policy.bucket_size(limit, self._vote_fraction.fraction)
        queues = self._queues.get(caller)
        if queues is None:
            bucket = TokenBucket(limit.rate, size, 0.0, self._vote_fraction.filled_since)
            queues = CallerTokenQueues(bucket)
            self._queues[caller] = queues
        queues.bucket.change(limit.rate, size, self._vote_fraction.full_rate_seconds)
        return queues
