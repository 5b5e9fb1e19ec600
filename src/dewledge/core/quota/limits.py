"""What a caller may ask for, and how the bound on it is divided between the processes.

Operators bound what databases run of a caller in every span of `window` seconds. Few processes
grant tokens out of buckets; one that reaches none of them has a small reserve of its own.
The division is arithmetic, so that the sum stays under the bound whoever is cut off from whom.
"""

import msgspec

TOKEN_SECONDS = 0.25
"""A token ends so long after it was asked for, so what is granted in a window may be used that much
later. Some round trips between regions; each further second costs the bucket a second's rate."""
BUCKET_SHARE = 0.4
"""Of what the bound leaves beside the steady rate: how much may be granted at once."""
FIRST_SHARE = 0.1
"""Of the same: with what new buckets begin, together. Four changes in a window are allowed for."""
RESERVE_SHARE = 0.2
"""Of the same: what all processes together may admit in a window without a grantor."""


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

    def spare(self, limit: RateLimit) -> float:
        """Returns what the bound leaves beside the steady rate, late tokens included."""
        steady = limit.rate * (self.window + TOKEN_SECONDS)
        return max(self.bound(limit) - steady, 0.0)

    def bucket_size(self, limit: RateLimit, share: float = 1.0) -> float:
        """Returns how many tokens a grantor may give at once; one at least.

        share: of the rate that it gives out.
        """
        return max(self.spare(limit) * BUCKET_SHARE * share, 1.0)

    def first_tokens(self, limit: RateLimit) -> float:
        """Returns with how many tokens the buckets of a caller begin, together."""
        return self.spare(limit) * FIRST_SHARE

    def reserve(self, limit: RateLimit, processes: int, place: int) -> int:
        """Returns how many operations one process may admit in a window by itself.

        place: its place among the `processes`, from 0; the first ones take what is left over.
        """
        whole = int(self.spare(limit) * RESERVE_SHARE)
        each, left = divmod(whole, max(processes, 1))
        return each + (place < left)
