"""A bucket that fills at a steady rate; time is passed in."""


class TokenBucket:
    """At most `size` tokens, `rate` more a second."""

    def __init__(self, rate: float, size: float, tokens: float, now: float) -> None:
        self._rate = rate
        self._size = size
        self._tokens = min(tokens, size)
        self._at = now
        self._promised_until = now

    def change(self, rate: float, size: float, now: float) -> None:
        """Fills at another rate from now on."""
        self._fill(now)
        self._rate = rate
        self._size = size
        self._tokens = min(self._tokens, size)

    def add(self, tokens: float) -> None:
        """Puts in some tokens besides; it holds no more than its size."""
        self._tokens = min(self._tokens + tokens, self._size)

    def take(self, wanted: int, now: float) -> int:
        """Returns how many tokens are given, `wanted` at most."""
        self._fill(now)
        given = min(wanted, int(self._tokens))
        self._tokens -= given
        return given

    def next_free(self, now: float) -> float:
        """Returns in how many seconds there is a token for one more who comes back.

        Each call counts one more who was told a moment, so that they come one after the other.
        """
        self._fill(now)
        first = now + max(1.0 - self._tokens, 0.0) / self._rate
        self._promised_until = max(first, self._promised_until + 1.0 / self._rate)
        return self._promised_until - now

    def _fill(self, now: float) -> None:
        self._tokens = min(self._tokens + (now - self._at) * self._rate, self._size)
        self._at = max(now, self._at)
