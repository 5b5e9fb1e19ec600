"""The queue of operations for a caller's tokens at its grantor, in the order of arrival.

A position in the queue reserves a token that is still to be added to the bucket. Nothing is removed
from the bucket until the token is granted, so the queue can neither lose a token nor grant one
twice: a token that was not redeemed is available to the next operation.

A persistent queue (persistent_queue_detector.py) is kept short. Operations that it refuses get a
retry time of their own (retry_times.py), and the next token when they retry at that time.

The bucket alone enforces the caller's limit.
"""

import math

import msgspec

from dewledge.core.pooler.rate_limits.limits import TOKEN_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.persistent_queue_detector import (
    ACCEPTABLE_WAIT_SECONDS,
    PersistentQueueDetector,
)
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.retry_times import (
    RETRY_RATIO,
    RetryTimes,
    drop_before,
)
from dewledge.core.pooler.rate_limits.token_bucket import ROUNDING_TOKENS, TokenSource

RESERVATION_HORIZON_SECONDS = 2.0
"""Seconds ahead for which tokens are reserved. Statements usually have timeouts of a few seconds. A
longer queue would delay all of a caller's operations long after its demand has fallen."""
REDEEM_TIMEOUT_SECONDS = 0.5
"""Seconds for which an available token stays reserved at most: some round trips to the client and
between processes. The time is shorter if the bucket fills up before."""


class Granted(msgspec.Struct, frozen=True):
    """A token is granted now, or was granted `age` seconds ago to the same operation."""

    age: float = 0.0


class Deferred(msgspec.Struct, frozen=True):
    """No token is available yet.

    seconds: until the operation should ask again. is_kept: the token at that time is reserved in
    the queue. is_refused: the operation should not be held until then. is_own: the retry time is
    reserved, so an operation that retries then gets the next token.
    """

    seconds: float
    is_kept: bool
    is_refused: bool = False
    is_own: bool = False


class TokenQueue:
    """A caller's queue. Soft state: without it, tokens go to operations as they ask."""

    def __init__(self, bucket: TokenSource) -> None:
        """The queue uses real time; the bucket's clock is `VoteFraction.full_rate_seconds`."""
        self.bucket = bucket
        self._token_at: dict[QueueKey, float] = {}
        """When the token of each position is available, in the order of arrival. Holds at most rate
        x RESERVATION_HORIZON_SECONDS positions plus a full bucket."""
        self._granted_at: dict[QueueKey, float] = {}
        """When each token was granted; stored for the token's lifetime, because an operation whose
        answer was lost asks again."""
        self._detector = PersistentQueueDetector()
        self.retries = RetryTimes()

    def __len__(self) -> int:
        return len(self._token_at)

    def ask(
        self,
        key: QueueKey | None,
        now: float,
        bucket_time: float,
        fraction: float,
        max_wait: float = math.inf,
    ) -> Granted | Deferred:
        """Grants a token, or returns when to ask again.

        key: None if no token should be reserved. bucket_time: now, by the bucket's clock. fraction:
        of the rate that the bucket fills at now, above 0. max_wait: seconds that the operation can
        wait and still meet its latency target, which matters in a persistent queue. A repeated
        request with the same key keeps its position.
        """
        self._drop_expired(now, fraction)
        if key is not None and key in self._granted_at:
            return Granted(now - self._granted_at[key])
        retry_at = self.retries.retry_at(key)
        if key is not None and retry_at is not None and retry_at <= now + ROUNDING_TOKENS:
            return self._handle_retry(key, now, bucket_time, fraction)
        if self._can_grant(key, now, bucket_time, fraction):
            self._record_wait(key, 0.0, now, fraction)
            self._grant(key, now, bucket_time)
            return Granted()
        if key is not None and key in self._token_at:
            return self._reserve(
                key, self._token_delay(self._positions_ahead(key), bucket_time, fraction), now
            )
        return self._enqueue(key, now, bucket_time, fraction, max_wait)

    def _enqueue(
        self, key: QueueKey | None, now: float, bucket_time: float, fraction: float, max_wait: float
    ) -> Deferred:
        """Adds the operation at the end of the queue, or returns a time to retry at."""
        seconds = self._token_delay(len(self._token_at), bucket_time, fraction)
        self._record_wait(key, seconds, now, fraction)
        if key is None:
            return Deferred(self._unreserved_delay(now, seconds, fraction), False)
        if self._detector.is_persistent(now):
            return self._enqueue_or_refuse(key, now, seconds, fraction, max_wait)
        if seconds <= RESERVATION_HORIZON_SECONDS:
            return self._reserve(key, seconds, now)
        return Deferred(self._unreserved_delay(now, seconds, fraction), False)

    def _handle_retry(
        self, key: QueueKey, now: float, bucket_time: float, fraction: float
    ) -> Granted | Deferred:
        """Grants the token of an operation that retries, or returns when it is available."""
        needed = self.retries.record_retry(key, now) + 1
        if not self.bucket.holds(needed, bucket_time):
            seconds = self.bucket.seconds_until(needed, bucket_time) / fraction
            self.retries.set_token_time(key, now + seconds)
            return Deferred(seconds, True)
        self.retries.remove(key)
        self._grant(key, now, bucket_time)
        return Granted()

    def _enqueue_or_refuse(
        self, key: QueueKey, now: float, seconds: float, fraction: float, max_wait: float
    ) -> Deferred:
        """Reserves a token if it is available in time for the operation, otherwise a retry time.

        Operations that retry may take the fraction RETRY_RATIO of the tokens, so a wait computed
        now may become longer; only the rest of `max_wait` is used. Within that limit the queue may
        grow, so that more operations are served after a wave of demand.
        """
        max_seconds = max(max_wait * (1.0 - RETRY_RATIO), self._token_interval(fraction))
        if seconds <= min(max_seconds, RESERVATION_HORIZON_SECONDS):
            return self._reserve(key, seconds, now)
        self._detector.mark_persistent(now, self._token_interval(fraction))
        retry_at = self.retries.retry_at(key)
        if retry_at is not None:
            return Deferred(retry_at - now, False, True, True)
        next_retry_at, is_own = self.retries.reserve_retry_time(
            key, now, now + seconds, self.bucket.rate * fraction
        )
        return Deferred(next_retry_at - now, False, True, is_own)

    def _reserve(self, key: QueueKey, seconds: float, now: float) -> Deferred:
        self._token_at[key] = now + seconds
        return Deferred(seconds, True)

    def _token_delay(self, ahead: int, bucket_time: float, fraction: float) -> float:
        """Returns the seconds until a token is available after `ahead` positions and all
        retries."""
        needed = ahead + self.retries.waiting_count + 1
        return self.bucket.seconds_until(needed, bucket_time) / fraction

    def _token_interval(self, fraction: float) -> float:
        """Returns the seconds between two tokens."""
        return 1.0 / (self.bucket.rate * fraction)

    def _acceptable_wait(self, fraction: float) -> float:
        """Returns the wait up to which the queue is not too long; allows at least one position."""
        return max(ACCEPTABLE_WAIT_SECONDS, self._token_interval(fraction))

    def _record_wait(
        self, key: QueueKey | None, seconds: float, now: float, fraction: float
    ) -> None:
        """Reports the wait of an operation's first request to the detector."""
        if key is not None and key not in self._token_at:
            self._detector.record_wait(
                seconds, self._acceptable_wait(fraction), now, self._token_interval(fraction)
            )

    def _can_grant(
        self, key: QueueKey | None, now: float, bucket_time: float, fraction: float
    ) -> bool:
        if not self.bucket.holds(1, bucket_time):
            return False
        if key is None or key not in self._token_at:
            return self._has_surplus(now, bucket_time, fraction)
        needed = self._positions_ahead(key) + 1
        if self._token_at[key] <= now:
            # A full bucket cannot hold more tokens for positions ahead that are not redeemed.
            needed = min(needed, max(int(self.bucket.size), 1))
        return self.bucket.holds(self.retries.waiting_count + needed, bucket_time)

    def _has_surplus(self, now: float, bucket_time: float, fraction: float) -> bool:
        """Returns whether every queued operation would still get its token in time after a grant.

        Positions are added only while no token is surplus, so checking the last one is enough.
        Tokens that were not redeemed are surplus.
        """
        if not self._token_at:
            return self.bucket.holds(self.retries.waiting_count + 1, bucket_time)
        last_token_at = next(reversed(self._token_at.values()))
        arriving_tokens = max(last_token_at - now, 0.0) * self.bucket.rate * fraction
        needed = self.retries.waiting_count + len(self._token_at) + 1 - arriving_tokens
        return self.bucket.holds(max(needed, 1), bucket_time)

    def _grant(self, key: QueueKey | None, now: float, bucket_time: float) -> None:
        self.bucket.acquire(1, bucket_time)
        if key is not None:
            self._token_at.pop(key, None)
            self._granted_at[key] = now

    def _positions_ahead(self, key: QueueKey) -> int:
        """Returns the number of positions ahead of the key's; the search is linear."""
        return next(ahead for ahead, other in enumerate(self._token_at) if other == key)

    def _unreserved_delay(self, now: float, seconds: float, fraction: float) -> float:
        """Returns the seconds until an operation without a reserved token may retry."""
        return self.retries.next_unreserved_time(now + seconds, self.bucket.rate * fraction) - now

    def _drop_expired(self, now: float, fraction: float) -> None:
        """Drops positions and retry times that were not used, and tokens that expired."""
        retention = min(REDEEM_TIMEOUT_SECONDS, self.bucket.size / (self.bucket.rate * fraction))
        drop_before(self._token_at, now - retention)
        drop_before(self._granted_at, now - TOKEN_LIFETIME_SECONDS)
        self.retries.drop_expired(now - retention)
