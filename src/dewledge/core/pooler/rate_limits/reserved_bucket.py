"""A caller's bucket as its less urgent operations see it, without the reserved tokens.

The reserve is for the more urgent operations that wait and the usual demand of those still to
arrive. So a more urgent operation finds a token on arrival, and a retry time that was sent to a
less urgent operation stays valid while demand is as usual.
"""

import math

from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket

RESERVE_SECONDS = 0.1
"""Seconds of the more urgent operations' usual demand that are reserved: some round trips between
processes, in which an operation asks for the token it was promised. A larger reserve leaves more
tokens unused when a wave of demand ends."""
MIN_RATE_RATIO = 0.1
"""Ratio of the bucket's rate that less urgent operations can count on even where more urgent ones
use nearly all of it, so that a retry time can always be calculated."""


class ReservedBucket:
    """The part of a bucket beyond a reserve. Tokens are removed from the bucket itself."""

    def __init__(self, bucket: TokenBucket) -> None:
        self._bucket = bucket
        self._reserve = 0.0
        self._reserved_rate = 0.0

    def set_reserve(self, waiting_count: int, rate: float) -> None:
        """Sets the reserve: the tokens that less urgent operations cannot get.

        waiting_count: more urgent operations in the queue. rate: tokens that more urgent operations
        usually use in one second of the bucket's time. The reserve is one token for each waiting
        operation, plus the usual demand of RESERVE_SECONDS and its standard deviation (the square
        root). At least one token of the bucket's size is never reserved.
        """
        demand = rate * RESERVE_SECONDS
        reserve = waiting_count + demand + math.sqrt(demand)
        self._reserve = min(reserve, max(self._bucket.size - 1.0, 0.0))
        self._reserved_rate = rate

    @property
    def rate(self) -> float:
        """Tokens added each second that less urgent operations can count on."""
        full_rate = self._bucket.rate
        return max(full_rate - self._reserved_rate, full_rate * MIN_RATE_RATIO)

    @property
    def size(self) -> float:
        """Maximum number of tokens that less urgent operations can find."""
        return self._bucket.size - self._reserve

    def acquire(self, wanted: int, now: float) -> int:
        """Removes up to `wanted` whole tokens and returns their number."""
        return self._bucket.acquire(wanted, now)

    def holds(self, count: float, now: float) -> bool:
        """Returns whether `count` tokens are available beyond the reserve."""
        return self._bucket.holds(count + self._reserve, now)

    def seconds_until(self, count: float, now: float) -> float:
        """Returns the seconds until `count` tokens are available beyond the reserve.

        Assumes that more urgent operations use as many tokens as usual.
        """
        seconds = self._bucket.seconds_until(count + self._reserve, now)
        return seconds * self._bucket.rate / self.rate
