"""The order in which databases are tried for a read: by expected completion, without a herd.

Inputs: for each candidate the parts of its expected completion (`Completion`, seconds, with the age
of the load report on which they rest), and random numbers.
Decision: two candidates are drawn, near and fast ones more often; the one with the least expected
completion comes first, unless another is better in round trip, wait and work; the others follow by
completion. Reason: processes that heard the same report must not all go to the same database before
the next report comes (the power of two choices, Mitzenmacher 2001; Prequal does so too).
"""

from collections.abc import Callable, Sequence

import msgspec

CLOSENESS_POWER = 4
"""Exponent; the chance to be drawn falls with this power of what is certain of the completion: ones
that are alike share, one at a distance of three times the work is drawn first once in eighty
times."""


class Completion(msgspec.Struct, frozen=True):
    """When an answer is expected, by what it takes; seconds.

    round_trip: to the database. wait: for a slot. service: the work. position: until the
    database's log has the position. opening: of a connection. displacing: what is taken from
    statements that only this database can serve. detour: what failures there are expected to cost.
    age_seconds: of the report that the wait rests on.
    """

    round_trip: float = 0.0
    wait: float = 0.0
    service: float = 0.0
    position: float = 0.0
    opening: float = 0.0
    displacing: float = 0.0
    detour: float = 0.0
    age_seconds: float = 0.0

    @property
    def seconds(self) -> float:
        """All of it."""
        return self.certain + self.wait + self.position

    @property
    def certain(self) -> float:
        """The part that does not depend on the load of this moment."""
        return self.round_trip + self.service + self.opening + self.displacing + self.detour

    def is_better_in_all(self, other: "Completion") -> bool:
        """Tells whether round trip, wait and work are each less, and nothing else is more."""
        is_nearer = self.round_trip < other.round_trip
        is_sooner = self.wait < other.wait and self.service < other.service
        return (
            is_nearer
            and is_sooner
            and self.position <= other.position
            and self.opening <= other.opening
            and self.displacing <= other.displacing
            and self.detour <= other.detour
        )


class Candidate(msgspec.Struct, frozen=True):
    """A database that may serve, and when it is expected to have done so."""

    database_id: str
    completion: Completion


def order(candidates: Sequence[Candidate], draw: Callable[[], float]) -> Sequence[Candidate]:
    """Returns all candidates, the one to try first at the head, the others by completion.

    draw: returns a number from 0 up to 1, at random.
    """
    ranked = sorted(candidates, key=_rank)
    if len(ranked) < 2:
        return ranked
    first = _drawn(ranked, draw())
    rest = [candidate for candidate in ranked if candidate is not first]
    head = min(first, _drawn(rest, draw()), key=_rank)
    head = next(
        (other for other in ranked if other.completion.is_better_in_all(head.completion)), head
    )
    return [head, *(candidate for candidate in ranked if candidate is not head)]


def _rank(candidate: Candidate) -> tuple[float, str]:
    return (candidate.completion.seconds, candidate.database_id)


def _drawn(candidates: Sequence[Candidate], drawn: float) -> Candidate:
    """Returns one by weights. Those that lack the position by far are no alternative to others."""
    least = min(_settled(candidate) for candidate in candidates)
    weights = [(least / _settled(candidate)) ** CLOSENESS_POWER for candidate in candidates]
    left = drawn * sum(weights)
    for candidate, weight in zip(candidates, weights, strict=True):
        left -= weight
        if left < 0:
            return candidate
    return candidates[-1]


LEAST_SETTLED_SECONDS = 0.001
"""Seconds; below this differences say nothing, and weights stay finite. A timer is no more
exact."""


def _settled(candidate: Candidate) -> float:
    completion = candidate.completion
    return max(completion.certain + completion.position, LEAST_SETTLED_SECONDS)
