"""Who gets the next tokens of one caller at its grantor: a queue in the order of arrival.

Inputs: the caller's bucket (tokens; its time passes with the share of votes held), the key of an
operation and the seconds that it may wait, now. Decision: a token, or in how many seconds the
operation's own comes, whether it is kept and whether the operation is to be refused. Reason: a
position in the queue keeps a token that is still to come. It takes nothing out of the bucket, so
the queue can neither lose a token nor give one twice: what a position did not redeem is there for
the next. A standing queue (standing_queue_watch.py) is kept short: who is refused then is told a
moment of its own (return_times.py), and has the next token when it comes back at it.

Owns the positions and the tokens given lately. Relies on the bucket alone for the bound.
"""

import math

import msgspec

from dewledge.core.pooler.rate_limits.limits import TOKEN_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.return_times import (
    RETRY_RATIO,
    RetryTimes,
    drop_before,
)
from dewledge.core.pooler.rate_limits.standing_queue_watch import (
    ACCEPTABLE_WAIT_SECONDS,
    PersistentQueueDetector,
)
from dewledge.core.pooler.rate_limits.token_bucket import ROUNDING_TOKENS, TokenSource

RESERVATION_HORIZON_SECONDS = 2.0
"""Seconds ahead for which tokens are kept for who has asked. Statements may take one to some
seconds; what is told a later moment has most of its time behind it when it comes back, and a longer
queue would have all of a caller's operations late long after it asked for too much."""
REDEEM_TIMEOUT_SECONDS = 0.5
"""Seconds after its moment for which a token is kept at most: some round trips of a client and of a
process. A bucket that is full before that keeps it for less."""


class Granted(msgspec.Struct, frozen=True):
    """A token is given, or was to an earlier question of the asker: `age` seconds ago."""

    age: float = 0.0


class Deferred(msgspec.Struct, frozen=True):
    """There is none yet. seconds: until the one of this asker. is_kept: none else gets it.

    is_refused: the operation is not to be held. is_own: if it comes back at that moment the next
    token is its own.
    """

    seconds: float
    is_kept: bool
    is_refused: bool = False
    is_own: bool = False


class TokenQueue:
    """One caller's. Soft state: without it the next operation that asks is the next served."""

    def __init__(self, bucket: TokenSource) -> None:
        """The bucket fills by the time with a full share; the queue's moments are by the clock."""
        self.bucket = bucket
        self._due_at: dict[QueueKey, float] = {}
        """The positions in the order of arrival; of `rate` x KEPT_SECONDS and a bucket at most."""
        self._granted_at: dict[QueueKey, float] = {}
        """For the life of a token: whoever asks again, its answer being lost or slow, has it."""
        self._detector = PersistentQueueDetector()
        self.retries = RetryTimes()

    def __len__(self) -> int:
        return len(self._due_at)

    def ask(
        self,
        key: QueueKey | None,
        now: float,
        bucket_time: float,
        fraction: float,
        max_wait: float = math.inf,
    ) -> Granted | Deferred:
        """Gives a token, or the moment of one.

        key: None where nothing is to be kept. filled_to: the bucket's time. share: of the rate
        that comes in now, above 0. accepted_wait: for so many seconds the operation may wait and
        still be in time; that counts in a standing queue. The same key again finds its position
        again.
        """
        self._drop_expired(now, fraction)
        if key is not None and key in self._granted_at:
            return Granted(now - self._granted_at[key])
        return_at = self.retries.retry_at(key)
        if key is not None and return_at is not None and return_at <= now + ROUNDING_TOKENS:
            return self._handle_retry(key, now, bucket_time, fraction)
        if self._can_grant(key, now, bucket_time, fraction):
            self._record_wait(key, 0.0, now, fraction)
            self._grant(key, now, bucket_time)
            return Granted()
        if key is not None and key in self._due_at:
            return self._reserve(
                key, self._token_delay(self._positions_ahead(key), bucket_time, fraction), now
            )
        return self._enqueue(key, now, bucket_time, fraction, max_wait)

    def _enqueue(
        self, key: QueueKey | None, now: float, filled_to: float, share: float, accepted_wait: float
    ) -> Deferred:
        """Promises the token after all those in the queue, or refuses and tells a moment."""
        seconds = self._token_delay(len(self._due_at), filled_to, share)
        self._record_wait(key, seconds, now, share)
        if key is None:
            return Deferred(self._unreserved_delay(now, seconds, share), False)
        if self._detector.is_persistent(now):
            return self._enqueue_or_refuse(key, now, seconds, share, accepted_wait)
        if seconds <= RESERVATION_HORIZON_SECONDS:
            return self._reserve(key, seconds, now)
        return Deferred(self._unreserved_delay(now, seconds, share), False)

    def _handle_retry(
        self, key: QueueKey, now: float, filled_to: float, share: float
    ) -> Granted | Deferred:
        """Gives the token of the moment that was told, or says when it comes: soon."""
        needed = self.retries.record_retry(key, now) + 1
        if not self.bucket.holds(needed, filled_to):
            seconds = self.bucket.seconds_until(needed, filled_to) / share
            self.retries.set_token_time(key, now + seconds)
            return Deferred(seconds, True)
        self.retries.remove(key)
        self._grant(key, now, filled_to)
        return Granted()

    def _enqueue_or_refuse(
        self, key: QueueKey, now: float, seconds: float, share: float, accepted_wait: float
    ) -> Deferred:
        """Keeps a token for who is in time with it; others are told a moment.

        A queue as long as its operations accept serves what a wave of demand leaves behind. Who
        comes back as told may have its part of the tokens meanwhile.
        """
        longest = max(accepted_wait * (1.0 - RETRY_RATIO), self._token_interval(share))
        if seconds <= min(longest, RESERVATION_HORIZON_SECONDS):
            return self._reserve(key, seconds, now)
        self._detector.mark_persistent(now, self._token_interval(share))
        return_at = self.retries.retry_at(key)
        if return_at is not None:
            return Deferred(return_at - now, False, True, True)
        moment, is_own = self.retries.reserve_retry_time(
            key, now, now + seconds, self.bucket.rate * share
        )
        return Deferred(moment - now, False, True, is_own)

    def _reserve(self, key: QueueKey, seconds: float, now: float) -> Deferred:
        self._due_at[key] = now + seconds
        return Deferred(seconds, True)

    def _token_delay(self, ahead: int, filled_to: float, share: float) -> float:
        """Returns when there is a token beside those of `ahead` positions and of who came back."""
        needed = ahead + self.retries.waiting_count + 1
        return self.bucket.seconds_until(needed, filled_to) / share

    def _token_interval(self, share: float) -> float:
        """Returns the seconds in which one token comes."""
        return 1.0 / (self.bucket.rate * share)

    def _acceptable_wait(self, share: float) -> float:
        """Returns the wait in a queue that is not too long: there may be one position at least."""
        return max(ACCEPTABLE_WAIT_SECONDS, self._token_interval(share))

    def _record_wait(self, key: QueueKey | None, seconds: float, now: float, share: float) -> None:
        """Tells the watch the wait of an operation that asks for the first time."""
        if key is not None and key not in self._due_at:
            self._detector.record_wait(
                seconds, self._acceptable_wait(share), now, self._token_interval(share)
            )

    def _can_grant(self, key: QueueKey | None, now: float, filled_to: float, share: float) -> bool:
        if not self.bucket.holds(1, filled_to):
            return False
        if key is None or key not in self._due_at:
            return self._has_surplus(now, filled_to, share)
        needed = self._positions_ahead(key) + 1
        if self._due_at[key] <= now:
            # A full bucket cannot hold more tokens for positions ahead that are not redeemed.
            needed = min(needed, max(int(self.bucket.size), 1))
        return self.bucket.holds(self.retries.waiting_count + needed, filled_to)

    def _has_surplus(self, now: float, filled_to: float, share: float) -> bool:
        """Tells whether each in the queue still finds its token at its moment without this one.

        Positions are added with moments at which no token is left over, so the last one decides.
        Tokens that positions before it did not redeem are left over.
        """
        if not self._due_at:
            return self.bucket.holds(self.retries.waiting_count + 1, filled_to)
        last_due_at = next(reversed(self._due_at.values()))
        come_until_then = max(last_due_at - now, 0.0) * self.bucket.rate * share
        needed = self.retries.waiting_count + len(self._due_at) + 1 - come_until_then
        return self.bucket.holds(max(needed, 1), filled_to)

    def _grant(self, key: QueueKey | None, now: float, filled_to: float) -> None:
        self.bucket.acquire(1, filled_to)
        if key is not None:
            self._due_at.pop(key, None)
            self._granted_at[key] = now

    def _positions_ahead(self, key: QueueKey) -> int:
        """Returns how many positions are ahead; one that redeems in time is near the front."""
        return next(ahead for ahead, other in enumerate(self._due_at) if other == key)

    def _unreserved_delay(self, now: float, seconds: float, share: float) -> float:
        """Returns the seconds after which an operation may come back for which no token is kept."""
        return self.retries.next_unreserved_time(now + seconds, self.bucket.rate * share) - now

    def _drop_expired(self, now: float, share: float) -> None:
        """Drops the positions of operations that did not come, before the bucket is full."""
        kept_for = min(REDEEM_TIMEOUT_SECONDS, self.bucket.size / (self.bucket.rate * share))
        drop_before(self._due_at, now - kept_for)
        drop_before(self._granted_at, now - TOKEN_LIFETIME_SECONDS)
        self.retries.drop_expired(now - kept_for)
