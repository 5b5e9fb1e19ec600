"""A bucket that fills at a steady rate; time is passed in."""

from typing import Protocol

ROUNDING_TOKENS = 1e-9
"""Tokens by which sums of many small gains may miss a whole one; floating point."""


class TokenSource(Protocol):
    """What gives tokens, as a queue of those who want them sees it."""

    @property
    def rate(self) -> float:
        """How many tokens come in a second."""

    @property
    def size(self) -> float:
        """How many tokens it holds at most."""

    def acquire(self, wanted: int, now: float) -> int:
        """Returns how many tokens are given, `wanted` at most."""

    def holds(self, count: float, now: float) -> bool:
        """Tells whether there are so many tokens."""

    def seconds_until(self, count: float, now: float) -> float:
        """Returns in how many seconds so many have come, those given meanwhile included."""


class TokenBucket:
    """At most `size` tokens, `rate` more a second."""

    def __init__(self, rate: float, size: float, tokens: float, now: float) -> None:
        self._rate = rate
        self._size = size
        self._tokens = min(tokens, size)
        self._filled_at = now

    @property
    def rate(self) -> float:
        """How many tokens come in a second."""
        return self._rate

    @property
    def size(self) -> float:
        """How many tokens it holds at most."""
        return self._size

    def change(self, rate: float, size: float, now: float) -> None:
        """Fills at another rate from now on; what is beyond the new size is lost."""
        self._fill(now)
        self._rate = rate
        self._size = size
        self._tokens = min(self._tokens, size)

    def acquire(self, wanted: int, now: float) -> int:
        """Returns how many tokens are given, `wanted` at most."""
        self._fill(now)
        given = min(wanted, int(self._tokens + ROUNDING_TOKENS))
        self._tokens -= given
        return given

    def holds(self, count: float, now: float) -> bool:
        """Tells whether there are so many tokens."""
        self._fill(now)
        return self._tokens >= count - ROUNDING_TOKENS

    def seconds_until(self, count: float, now: float) -> float:
        """Returns in how many seconds so many have come, those given meanwhile included."""
        self._fill(now)
        return max(count - self._tokens, 0.0) / self._rate

    def _fill(self, now: float) -> None:
        self._tokens = min(self._tokens + (now - self._filled_at) * self._rate, self._size)
        self._filled_at = max(now, self._filled_at)
