"""The times at which a grantor lets a caller's refused operations retry.

An operation that a persistent queue refuses gets a retry time of its own. An operation that retries
at that time gets the next token, before all that wait in the queue. Retry times are therefore 1 /
(rate x RETRY_RATIO) seconds apart, which leaves tokens to the other operations and spreads the
retries. An operation beyond the end of a draining queue gets a time without a token reserved for
it, and times for further operations follow at the caller's rate.

gate.py makes the refusal itself. Log line: operation_not_admitted, with come_back_ms.
"""

import itertools

from dewledge.core.pooler.rate_limits.queue_key import QueueKey

RETRY_RATIO = 0.5
"""Ratio of the caller's rate that is reserved for retries. If the whole rate were reserved, every
first request would be refused and each operation would be served late."""
RETRY_HORIZON_SECONDS = 5.0
"""Seconds ahead for which retry times are reserved, which bounds their number at rate x RETRY_RATIO
x this. Clients usually have some seconds for an operation."""
MIN_RETRY_SECONDS = 0.02
"""Seconds: the shortest wait reported for a token, a round trip between processes."""
DEFAULT_RETRY_MS = 500
"""Milliseconds until a retry where no grantor is known: about the time in which one is found."""


def retry_seconds(token_delay: float) -> float:
    """Returns the wait to report for a token that is available in `token_delay` seconds."""
    return max(token_delay, MIN_RETRY_SECONDS)


class RetryTimes:
    """A caller's retry times. Soft state: if it is lost, a retry joins the end of the queue."""

    def __init__(self) -> None:
        self._retry_at: dict[QueueKey, float] = {}
        """The operations that may retry, in the order of their retry times."""
        self._token_at: dict[QueueKey, float] = {}
        """The operations that retried and have no token yet, in the order of arrival."""
        self._last_retry_at = 0.0
        self._last_unreserved_at = 0.0

    def __len__(self) -> int:
        return len(self._retry_at) + len(self._token_at)

    @property
    def waiting_count(self) -> int:
        """Number of operations that retried and have no token yet; the next tokens are for them."""
        return len(self._token_at)

    def retry_at(self, key: QueueKey | None) -> float | None:
        """Returns when an operation may retry or, if it did, when its token is available."""
        if key is None:
            return None
        return self._token_at.get(key, self._retry_at.get(key))

    def reserve_retry_time(
        self, key: QueueKey, now: float, earliest: float, rate: float
    ) -> tuple[float, bool]:
        """Returns a retry time, and whether it is reserved for the operation.

        A reserved time is later than every one reserved before. If it would be beyond
        RETRY_HORIZON_SECONDS, the horizon is returned and nothing is reserved; the retry then joins
        the end of the queue. rate: tokens added each second now.
        """
        retry_at = max(earliest, self._last_retry_at + 1.0 / (rate * RETRY_RATIO))
        if retry_at > now + RETRY_HORIZON_SECONDS:
            return now + RETRY_HORIZON_SECONDS, False
        self._last_retry_at = retry_at
        self._retry_at[key] = retry_at
        return retry_at, True

    def next_unreserved_time(self, earliest: float, rate: float) -> float:
        """Returns a retry time for which no token is reserved.

        It is `earliest` or, if later, one token interval after the last time returned here. rate:
        tokens added each second now.
        """
        self._last_unreserved_at = max(earliest, self._last_unreserved_at + 1.0 / rate)
        return self._last_unreserved_at

    def record_retry(self, key: QueueKey, now: float) -> int:
        """Records that an operation retried; returns how many earlier retries have no token yet."""
        self._retry_at.pop(key, None)
        self._token_at.setdefault(key, now)
        return next(ahead for ahead, other in enumerate(self._token_at) if other == key)

    def set_token_time(self, key: QueueKey, token_at: float) -> None:
        """Sets when the token of an operation that retried is available."""
        self._token_at[key] = token_at

    def remove(self, key: QueueKey) -> None:
        """Removes an operation that retried and has its token."""
        del self._token_at[key]

    def drop_expired(self, earliest: float) -> None:
        """Drops operations whose time is before `earliest`; the next ones get their tokens."""
        drop_before(self._retry_at, earliest)
        drop_before(self._token_at, earliest)


def drop_before(times: dict[QueueKey, float], earliest: float) -> None:
    """Removes the keys at the front whose time is before `earliest`."""
    old = list(itertools.takewhile(lambda key: times[key] < earliest, times))
    for key in old:
        del times[key]
