"""Divides a caller's rate limit between token buckets and local reserves.

In every span of `window` seconds, databases may run at most `QuotaPolicy.bound` operations of a
caller. Grantors admit operations from token buckets. A process that reaches no grantor admits
operations from a small local reserve. The sum of all parts stays within the bound whichever
processes are partitioned from each other.

All buckets of a caller together fill at no more than `rate` tokens a second, because the fractions
of the votes that grantors hold sum up to one at most. They never hold more than one full bucket
together (slot_grants.py). So they grant at most a full bucket plus rate x window in every window,
however often the grantor changes.
"""

import msgspec

from dewledge.core.pooler.rate_limits.slots import CANDIDATES_PER_SLOT

TOKEN_LIFETIME_SECONDS = 0.25
"""Seconds after the request within which a granted token must be used: some round trips between
regions. Tokens granted in one window may be used this much later, so each further second takes one
second's rate from the bucket size."""
BUCKET_RATIO = 0.8
"""Ratio of the headroom (see `QuotaPolicy.headroom`) that grantors may grant as a burst; with
RESERVE_RATIO it sums to 1. Changes of the grantor need no part, because a new bucket starts
empty."""
RESERVE_RATIO = 0.2
"""Ratio of the headroom that all processes together may admit in a window without a grantor.
Processes with a vote may use their reserve too, when answers are lost, so it is never part of the
buckets."""
MIN_BUCKET_TOKENS = 1.0
"""Tokens: a bucket with a smaller capacity could never grant a whole token."""


class RateLimit(msgspec.Struct, frozen=True):
    """A caller's limit over all processes: `rate` operations a second, `burst` at once."""

    rate: float
    burst: float


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How strictly limits are enforced.

    In every span of `window` seconds a caller may run at most (rate x window + burst) x (1 +
    overshoot) + slack operations.
    """

    window: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0

    def bound(self, limit: RateLimit) -> float:
        """Returns the maximum number of operations in a window."""
        steady = limit.rate * self.window + limit.burst
        return steady * (1 + self.overshoot) + self.slack

    def headroom(self, limit: RateLimit) -> float:
        """Returns the operations that the bound allows beyond the steady rate and late tokens."""
        steady = limit.rate * (self.window + TOKEN_LIFETIME_SECONDS)
        return max(self.bound(limit) - steady, 0.0)

    def bucket_size(self, limit: RateLimit, fraction: float = 1.0) -> float:
        """Returns the capacity in tokens of a grantor's bucket, at least one.

        fraction: the part of the rate that this grantor hands out. One token for each other
        candidate is subtracted first, because every bucket has a capacity of at least one.
        """
        divided = (
            self.headroom(limit) * BUCKET_RATIO - (CANDIDATES_PER_SLOT - 1) * MIN_BUCKET_TOKENS
        )
        return max(divided * fraction, MIN_BUCKET_TOKENS)

    def reserve(self, limit: RateLimit, processes: int, rank: int) -> int:
        """Returns how many operations one process may admit in a window without a grantor.

        rank: of this process among the `processes`, from 0; the lowest ranks get the remainder.
        """
        total = int(self.headroom(limit) * RESERVE_RATIO)
        per_process, remainder = divmod(total, max(processes, 1))
        return per_process + (rank < remainder)
