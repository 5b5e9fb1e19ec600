"""The moment that an operation over its caller's limit is told to come back at.

Inputs, at the grantor: the caller's rate (tokens a second, the share held now), the seconds until
the queue has a token for one more, the moments told so far (grantor's steady clock, seconds; at
most RETURN_SECONDS ahead). At the process that asked: the grantor's answer, one round trip old.
Decision: for an operation that a standing queue refused, a moment of its own, 1 / (rate x
RETURN_SHARE) seconds after the one before; for one beyond a queue that drains, the next moment at
the rate; never less than LEAST_RETURN_SECONDS; without a grantor UNKNOWN_RETURN_MS.
Reason: one that comes back at its own moment has the next token before all that wait, so the
moments are so far apart that others have their part of the tokens too, and those refused together
do not come back together.

Owns the moments told. The operation's own refusal is made in gate.py; log line:
operation_not_admitted, with come_back_ms.
"""

import itertools

from dewledge.core.pooler.rate_limits.queue_key import QueueKey

RETRY_RATIO = 0.5
"""Ratio; share of the rate for those that come back. With all of it whoever asks for the first time
would be refused, and each operation would be served late."""
RETRY_HORIZON_SECONDS = 5.0
"""Seconds ahead for which moments are remembered; bounds their number at `rate` x RETURN_SHARE x
this. Clients have some seconds for an operation."""
MIN_RETRY_SECONDS = 0.02
"""Seconds that any wait for a token is told to last at least: a round trip between processes."""
DEFAULT_RETRY_MS = 500
"""Milliseconds told where no grantor is known: about the time in which one is found."""


def retry_seconds(token_delay: float) -> float:
    """Returns the seconds that an operation is told whose token comes in `token_in` seconds."""
    return max(token_delay, MIN_RETRY_SECONDS)


class RetryTimes:
    """Of one caller. Soft state: without it who comes back is last in the queue."""

    def __init__(self) -> None:
        self._retry_at: dict[QueueKey, float] = {}
        """Operations that may come back, in the order of their moments."""
        self._token_at: dict[QueueKey, float] = {}
        """Operations that came back and found no token yet, in the order in which they came."""
        self._last_retry_at = 0.0
        self._last_unreserved_at = 0.0

    def __len__(self) -> int:
        return len(self._retry_at) + len(self._token_at)

    @property
    def waiting_count(self) -> int:
        """How many came back and have no token yet: the next ones are theirs."""
        return len(self._token_at)

    def retry_at(self, key: QueueKey | None) -> float | None:
        """Returns the moment that an operation was told or promised, None without one."""
        if key is None:
            return None
        return self._token_at.get(key, self._retry_at.get(key))

    def reserve_retry_time(
        self, key: QueueKey, now: float, earliest: float, rate: float
    ) -> tuple[float, bool]:
        """Returns a moment after all that were told, and whether it is the operation's own.

        Where so many were told that it would be too far ahead, it is last when it comes.
        rate: tokens a second that come in now.
        """
        moment = max(earliest, self._last_retry_at + 1.0 / (rate * RETRY_RATIO))
        if moment > now + RETRY_HORIZON_SECONDS:
            return now + RETRY_HORIZON_SECONDS, False
        self._last_retry_at = moment
        self._retry_at[key] = moment
        return moment, True

    def next_unreserved_time(self, earliest: float, rate: float) -> float:
        """Returns a moment beyond the queue, later for each operation than for the one before.

        No token is kept for it. rate: tokens a second that come in now.
        """
        self._last_unreserved_at = max(earliest, self._last_unreserved_at + 1.0 / rate)
        return self._last_unreserved_at

    def record_retry(self, key: QueueKey, now: float) -> int:
        """An operation is back; returns how many that were back before it have no token yet."""
        self._retry_at.pop(key, None)
        self._token_at.setdefault(key, now)
        return next(ahead for ahead, other in enumerate(self._token_at) if other == key)

    def set_token_time(self, key: QueueKey, moment: float) -> None:
        """An operation that is back has its token at a later moment."""
        self._token_at[key] = moment

    def remove(self, key: QueueKey) -> None:
        """An operation that is back has its token."""
        del self._token_at[key]

    def drop_expired(self, earliest: float) -> None:
        """Forgets operations that did not come back; their tokens are for the next."""
        drop_before(self._retry_at, earliest)
        drop_before(self._token_at, earliest)


def drop_before(moments: dict[QueueKey, float], earliest: float) -> None:
    """Drops from the front what is older."""
    old = list(itertools.takewhile(lambda key: moments[key] < earliest, moments))
    for key in old:
        del moments[key]
