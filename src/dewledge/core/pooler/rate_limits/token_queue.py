"""Who gets the next tokens of one caller at its grantor: a line in the order of arrival.

A place in the line keeps a token that is still to come. It takes nothing out of the bucket, so the
line can neither lose a token nor give one twice: what a place did not claim is there for the next.

A queue that stands (standing_queue_watch.py) is kept short. Who is refused then is told a moment
of its own (told_moments.py), and has the next token when it comes back at it.
"""

import itertools
import math

import msgspec

from dewledge.core.pooler.rate_limits.limits import TOKEN_SECONDS
from dewledge.core.pooler.rate_limits.place_key import PlaceKey
from dewledge.core.pooler.rate_limits.standing_queue_watch import (
    STANDING_SECONDS,
    StandingQueueWatch,
)
from dewledge.core.pooler.rate_limits.token_bucket import ROUNDING, Tokens
from dewledge.core.pooler.rate_limits.told_moments import TOLD_SHARE, ToldMoments

KEPT_SECONDS = 2.0
"""So far ahead tokens are kept for who has asked. Statements may take one to some seconds; what is
told a later moment has most of its time behind it when it comes back, and a longer line would have
all of a caller's operations late long after it asked for too much."""
CLAIM_SECONDS = 0.5
"""So long after its moment a token is kept at most: some round trips of a client and of a process.
A bucket that is full before that keeps it for less."""


class Given(msgspec.Struct, frozen=True):
    """A token is given, or was to an earlier question of the asker: `age` seconds ago."""

    age: float = 0.0


class Promised(msgspec.Struct, frozen=True):
    """There is none yet. seconds: until the one of this asker. is_kept: none else gets it.

    is_told: the operation is not to be held. is_own: if it comes back at that moment the next token
    is its own.
    """

    seconds: float
    is_kept: bool
    is_told: bool = False
    is_own: bool = False


class TokenQueue:
    """Of one caller. Soft state: without it the next to ask is the next to be served."""

    def __init__(self, bucket: Tokens) -> None:
        """The bucket fills by the time with a full share; the line's moments are by the clock."""
        self.bucket = bucket
        self._due_at: dict[PlaceKey, float] = {}
        """The places in the order of arrival; of `rate` x KEPT_SECONDS and a bucket at most."""
        self._given_at: dict[PlaceKey, float] = {}
        """For the life of a token: whoever asks again, its answer being lost or slow, has it."""
        self._watch = StandingQueueWatch()
        self.told = ToldMoments()
        self._told_until = 0.0

    def __len__(self) -> int:
        return len(self._due_at)

    def ask(
        self,
        key: PlaceKey | None,
        now: float,
        filled_to: float,
        share: float,
        bears: float = math.inf,
    ) -> Given | Promised:
        """Gives a token, or the moment of one.

        key: None where nothing is to be kept. filled_to: the bucket's time. share: of the rate
        that comes in now, above 0. bears: for so many seconds the operation may wait and still be
        in time; that counts in a line that stands. The same key again finds its place again.
        """
        self._drop_old(now, share)
        if key is not None and key in self._given_at:
            return Given(now - self._given_at[key])
        told_at = self.told.due_at(key)
        if key is not None and told_at is not None and told_at <= now + ROUNDING:
            return self._come_back(key, now, filled_to, share)
        if self._may_take(key, now, filled_to, share):
            self._note_wait(key, 0.0, now, share)
            self._give(key, now, filled_to)
            return Given()
        if key is not None and key in self._due_at:
            return self._keep(key, self._seconds_until(self._ahead(key), filled_to, share), now)
        seconds = self._seconds_until(len(self._due_at), filled_to, share)
        self._note_wait(key, seconds, now, share)
        if key is None:
            return Promised(self._spread(now, seconds, share), False)
        if self._watch.stands(now):
            return self._ask_standing(key, now, seconds, share, bears)
        if seconds <= KEPT_SECONDS:
            return self._keep(key, seconds, now)
        return Promised(self._spread(now, seconds, share), False)

    def _come_back(
        self, key: PlaceKey, now: float, filled_to: float, share: float
    ) -> Given | Promised:
        """Gives the token of the moment that was told, or says when it comes: soon."""
        needed = self.told.come(key, now) + 1
        if not self.bucket.holds(needed, filled_to):
            seconds = self.bucket.seconds_until(needed, filled_to) / share
            self.told.wait(key, now + seconds)
            return Promised(seconds, True)
        self.told.leave(key)
        self._give(key, now, filled_to)
        return Given()

    def _ask_standing(
        self, key: PlaceKey, now: float, seconds: float, share: float, bears: float
    ) -> Promised:
        """Keeps a token for who is in time with it; others are told a moment.

        A line as long as its operations can bear serves what a wave of demand leaves behind. Who
        comes back as told may have its part of the tokens meanwhile.
        """
        longest = max(bears * (1.0 - TOLD_SHARE), self._gap(share))
        if seconds <= min(longest, KEPT_SECONDS):
            return self._keep(key, seconds, now)
        self._watch.note_too_many(now, self._gap(share))
        told_at = self.told.due_at(key)
        if told_at is not None:
            return Promised(told_at - now, False, True, True)
        moment, is_own = self.told.tell(key, now, now + seconds, self.bucket.rate * share)
        return Promised(moment - now, False, True, is_own)

    def _keep(self, key: PlaceKey, seconds: float, now: float) -> Promised:
        self._due_at[key] = now + seconds
        return Promised(seconds, True)

    def _seconds_until(self, ahead: int, filled_to: float, share: float) -> float:
        """Returns when there is a token beside those of `ahead` places and of who came back."""
        needed = ahead + self.told.waiting + 1
        return self.bucket.seconds_until(needed, filled_to) / share

    def _gap(self, share: float) -> float:
        """Returns the seconds in which one token comes."""
        return 1.0 / (self.bucket.rate * share)

    def _usual_wait(self, share: float) -> float:
        """Returns the wait in a line that is not too long: there may be one place at least."""
        return max(STANDING_SECONDS, self._gap(share))

    def _note_wait(self, key: PlaceKey | None, seconds: float, now: float, share: float) -> None:
        """Has the watch see what asks for the first time, not those that come for their token."""
        if key is not None and key not in self._due_at:
            self._watch.note(seconds, self._usual_wait(share), now, self._gap(share))

    def _may_take(self, key: PlaceKey | None, now: float, filled_to: float, share: float) -> bool:
        if not self.bucket.holds(1, filled_to):
            return False
        if key is None or key not in self._due_at:
            return self._is_left_over(now, filled_to, share)
        needed = self._ahead(key) + 1
        if self._due_at[key] <= now:
            # A full bucket can't hold more for those before it who do not come.
            needed = min(needed, max(int(self.bucket.size), 1))
        return self.bucket.holds(self.told.waiting + needed, filled_to)

    def _is_left_over(self, now: float, filled_to: float, share: float) -> bool:
        """Tells whether each in the line still finds its token at its moment without this one.

        Places are added with moments at which no token is left over, so the last one decides. What
        was not claimed by those before it is left over.
        """
        if not self._due_at:
            return self.bucket.holds(self.told.waiting + 1, filled_to)
        last_due_at = next(reversed(self._due_at.values()))
        come_until_then = max(last_due_at - now, 0.0) * self.bucket.rate * share
        needed = self.told.waiting + len(self._due_at) + 1 - come_until_then
        return self.bucket.holds(max(needed, 1), filled_to)

    def _give(self, key: PlaceKey | None, now: float, filled_to: float) -> None:
        self.bucket.take(1, filled_to)
        if key is not None:
            self._due_at.pop(key, None)
            self._given_at[key] = now

    def _ahead(self, key: PlaceKey) -> int:
        """Returns how many stand before; who claims in time is near the front."""
        return next(ahead for ahead, other in enumerate(self._due_at) if other == key)

    def _spread(self, now: float, seconds: float, share: float) -> float:
        """Returns a moment beyond the line: one for each who is told, one after the other."""
        after_the_last = self._told_until + 1.0 / (self.bucket.rate * share)
        self._told_until = max(now + seconds, after_the_last)
        return self._told_until - now

    def _drop_old(self, now: float, share: float) -> None:
        """Who does not come is left; its token is for the next, before the bucket is too full."""
        kept_for = min(CLAIM_SECONDS, self.bucket.size / (self.bucket.rate * share))
        _drop_before(self._due_at, now - kept_for)
        _drop_before(self._given_at, now - TOKEN_SECONDS)
        self.told.drop_before(now - kept_for)


def _drop_before(moments: dict[PlaceKey, float], earliest: float) -> None:
    """Drops from the front what is older."""
    old = list(itertools.takewhile(lambda key: moments[key] < earliest, moments))
    for key in old:
        del moments[key]
