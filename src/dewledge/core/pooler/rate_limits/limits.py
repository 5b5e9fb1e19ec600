"""What a caller may ask for, and how the bound on it is divided between the processes.

Inputs: a caller's limit (operations a second, and at once), the window (seconds), overshoot and
slack of the settings, the share of votes held. Decision: the size of a grantor's bucket and the
reserve of a process that reaches no grantor. Reason: operators bound how many operations of a
caller databases run in every span of `window` seconds. Few processes grant tokens out of buckets; a
process that reaches none of them has a small reserve of its own. The division is arithmetic, so the
sum stays under the bound whichever processes are cut off from each other.

All buckets of a caller together gain `rate` a second at most (their shares of the votes sum up to
one at most) and hold one full bucket at most at each moment (grantor.py). So in every window they
grant a full bucket and rate x window at most, however often the grantors change.
"""

import msgspec

from dewledge.core.pooler.rate_limits.slots import CANDIDATES_PER_SLOT

TOKEN_LIFETIME_SECONDS = 0.25
"""Seconds after it was asked for at which a token ends, so what is granted in a window may be used
that much later. Some round trips between regions; each further second costs the bucket a second's
rate."""
BUCKET_RATIO = 0.8
"""Ratio; share of what the bound leaves beside the steady rate, that may be granted at once.
Nothing is set aside for changes of grantors: a new bucket begins empty. The rest of 1 is
RESERVE_SHARE."""
RESERVE_RATIO = 0.2
"""Ratio; share of the same that all processes together may admit in a window without a grantor.
Also those that vote may use theirs, when answers are lost, so it is left out of the buckets in any
case."""
MIN_BUCKET_TOKENS = 1.0
"""Tokens: a bucket that holds less would give nothing."""


class RateLimit(msgspec.Struct, frozen=True):
    """Operations of one caller over all processes: `rate` a second, and `burst` at once."""

    rate: float
    burst: float


class QuotaPolicy(msgspec.Struct, frozen=True):
    """How exactly limits are to be kept.

    In every span of `window` seconds a caller may have (rate x window + burst) x (1 + overshoot)
    + slack operations run.
    """

    window: float = 5.0
    overshoot: float = 0.0
    slack: float = 0.0

    def bound(self, limit: RateLimit) -> float:
        """Returns how many operations may run in a window."""
        steady = limit.rate * self.window + limit.burst
        return steady * (1 + self.overshoot) + self.slack

    def headroom(self, limit: RateLimit) -> float:
        """Returns what the bound leaves beside the steady rate, late tokens included."""
        steady = limit.rate * (self.window + TOKEN_LIFETIME_SECONDS)
        return max(self.bound(limit) - steady, 0.0)

    def bucket_size(self, limit: RateLimit, fraction: float = 1.0) -> float:
        """Returns how many tokens a grantor may give at once; one at least.

        share: of the rate that it gives out. Each candidate may hold the one, so that the others'
        are left out of what is divided.
        """
        divided = (
            self.headroom(limit) * BUCKET_RATIO - (CANDIDATES_PER_SLOT - 1) * MIN_BUCKET_TOKENS
        )
        return max(divided * fraction, MIN_BUCKET_TOKENS)

    def reserve(self, limit: RateLimit, processes: int, rank: int) -> int:
        """Returns how many operations one process may admit in a window by itself.

        rank: its rank among the `processes`, from 0; the first ones take what is left over.
        """
        whole = int(self.headroom(limit) * RESERVE_RATIO)
        each, left = divmod(whole, max(processes, 1))
        return each + (rank < left)
