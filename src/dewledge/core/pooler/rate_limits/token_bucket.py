"""A token bucket that fills at a steady rate. Callers pass the time."""

from typing import Protocol

ROUNDING_TOKENS = 1e-9
"""Tokens of tolerance for the floating-point error of many small additions."""


class TokenSource(Protocol):
    """The token bucket as a queue uses it."""

    @property
    def rate(self) -> float:
        """Tokens added each second."""

    @property
    def size(self) -> float:
        """Maximum number of tokens."""

    def acquire(self, wanted: int, now: float) -> int:
        """Removes up to `wanted` whole tokens and returns their number."""

    def holds(self, count: float, now: float) -> bool:
        """Returns whether at least `count` tokens are available."""

    def seconds_until(self, count: float, now: float) -> float:
        """Returns the seconds until `count` tokens are available if none is removed before."""


class TokenBucket:
    """Holds at most `size` tokens and gains `rate` tokens a second."""

    def __init__(self, rate: float, size: float, tokens: float, now: float) -> None:
        self._rate = rate
        self._size = size
        self._tokens = min(tokens, size)
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Tokens added each second."""
        return self._rate

    @property
    def size(self) -> float:
        """Maximum number of tokens."""
        return self._size

    def set_rate_and_size(self, rate: float, size: float, now: float) -> None:
        """Sets the rate and the size from now on; drops the tokens beyond the new size."""
        self._fill(now)
        self._rate = rate
        self._size = size
        self._tokens = min(self._tokens, size)

    def acquire(self, wanted: int, now: float) -> int:
        """Removes up to `wanted` whole tokens and returns their number."""
        self._fill(now)
        granted = min(wanted, int(self._tokens + ROUNDING_TOKENS))
        self._tokens -= granted
        return granted

    def holds(self, count: float, now: float) -> bool:
        """Returns whether at least `count` tokens are available."""
        self._fill(now)
        return self._tokens >= count - ROUNDING_TOKENS

    def seconds_until(self, count: float, now: float) -> float:
        """Returns the seconds until `count` tokens are available if none is removed before."""
        self._fill(now)
        return max(count - self._tokens, 0.0) / self._rate

    def _fill(self, now: float) -> None:
        self._tokens = min(self._tokens + (now - self._filled_at) * self._rate, self._size)
        self._filled_at = max(now, self._filled_at)
