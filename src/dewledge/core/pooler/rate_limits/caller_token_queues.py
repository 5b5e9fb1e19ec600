"""Who gets the tokens of one caller at its grantor: the most urgent operations, then by arrival.

A caller at its limit can't have all that it asks for; what it wants least is refused first. Each
urgency has a line of its own over the caller's one bucket. A line sees the bucket without a
token for each more urgent operation that waits and what of these usually comes at once, so these
have the next token, and a moment that is told to a less urgent operation holds while the demand is
as usual. With one urgency it is one line.
"""

from dewledge.core.pooler.rate_limits.place_key import PlaceKey
from dewledge.core.pooler.rate_limits.recent_demand import RecentDemand
from dewledge.core.pooler.rate_limits.reserved_bucket import ReservedBucket
from dewledge.core.pooler.rate_limits.token_bucket import TokenBucket
from dewledge.core.pooler.rate_limits.token_queue import Given, Promised, TokenQueue

LEAST_URGENT = 7
"""What is less urgent stands with this: bounds the lines of a caller. Operators use a few."""


class _UrgencyLine:
    """The operations of one urgency, and what they were given lately."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = ReservedBucket(bucket)
        self.line = TokenQueue(self.bucket)
        self.demand = RecentDemand()


class CallerTokenQueues:
    """Of one caller. Soft state; what is given is bounded by the bucket alone."""

    def __init__(self, bucket: TokenBucket) -> None:
        self.bucket = bucket
        self._lines: dict[int, _UrgencyLine] = {}

    def __len__(self) -> int:
        """How many operations have a place, of all urgencies."""
        return sum(len(each.line) for each in self._lines.values())

    def ask(
        self,
        urgency: int,
        key: PlaceKey | None,
        now: float,
        filled_to: float,
        share: float,
        bears: float,
    ) -> Given | Promised:
        """Gives a token, or the moment of one.

        urgency: 0 is the highest. Else as for a line (token_queue.py).
        """
        level = min(max(urgency, 0), LEAST_URGENT)
        own = self._line(level)
        taken = self._taken_before(level, now) / share
        own.bucket.set_aside(self._waiting_before(level), taken)
        found = own.line.ask(key, now, filled_to, share, bears)
        if isinstance(found, Given) and not found.age:
            own.demand.note(now)
        return found

    def _line(self, urgency: int) -> _UrgencyLine:
        line = self._lines.get(urgency)
        if line is None:
            line = self._lines[urgency] = _UrgencyLine(self.bucket)
        return line

    def _waiting_before(self, urgency: int) -> int:
        """Returns how many more urgent operations have a place."""
        return sum(len(each.line) for other, each in self._lines.items() if other < urgency)

    def _taken_before(self, urgency: int, now: float) -> float:
        """Returns how many tokens a second the more urgent have had lately."""
        lines = self._lines.items()
        return sum(each.demand.per_second(now) for other, each in lines if other < urgency)
