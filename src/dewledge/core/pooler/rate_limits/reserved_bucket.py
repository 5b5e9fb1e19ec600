"""A bucket as less urgent operations see it: without what is set aside for more urgent ones.

Inputs: how many more urgent operations wait, the tokens a second that they usually take. Decision:
how many tokens, and at which moments, are left for others. Reason: the more urgent find a token as
they come, and a moment told to others holds while demand is as usual.
"""

import math

from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket

RESERVE_SECONDS = 0.1
"""Seconds of the usual demand of what is more urgent that are set aside: some round trips between
processes, in which one that was promised the next token comes for it. More is left over when a wave
of demand ends."""
MIN_RATE_RATIO = 0.1
"""Ratio; share of the rate to reckon with where the more urgent take nearly all of it: a moment has
to be told, and what is told later than in ten times the usual is refused anyhow."""


class ReservedBucket:
    """What is left of a bucket beside a reserve. It holds no tokens of its own."""

    def __init__(self, bucket: TokenBucket) -> None:
        self._bucket = bucket
        self._reserve = 0.0
        self._reserved_rate = 0.0

    def set_reserve(self, waiting_count: int, rate: float) -> None:
        """Sets how many tokens the less urgent operations do not get.

        waiting: how many more urgent operations have a position. rate: tokens that these usually
        take in a second of the bucket's time. One token is set aside for each that waits, besides
        their usual demand in RESERVE_SECONDS and its usual variation (its square root); a whole
        token is always left to others.
        """
        usual = rate * RESERVE_SECONDS
        wanted = waiting_count + usual + math.sqrt(usual)
        self._reserve = min(wanted, max(self._bucket.size - 1.0, 0.0))
        self._reserved_rate = rate

    @property
    def rate(self) -> float:
        """How many tokens come in a second for the less urgent operations."""
        whole = self._bucket.rate
        return max(whole - self._reserved_rate, whole * MIN_RATE_RATIO)

    @property
    def size(self) -> float:
        """How many tokens the less urgent operations find at most."""
        return self._bucket.size - self._reserve

    def acquire(self, wanted: int, now: float) -> int:
        """Returns how many tokens are given, `wanted` at most."""
        return self._bucket.acquire(wanted, now)

    def holds(self, count: float, now: float) -> bool:
        """Tells whether there are so many tokens beside the reserve."""
        return self._bucket.holds(count + self._reserve, now)

    def seconds_until(self, count: float, now: float) -> float:
        """Returns in how many seconds so many have come, if the more urgent take their usual."""
        seconds = self._bucket.seconds_until(count + self._reserve, now)
        return seconds * self._bucket.rate / self.rate
