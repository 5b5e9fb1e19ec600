"""Orders the databases that can serve a read by expected completion time.

Two candidates are drawn at random, weighted towards those that are near and fast, and the better
one is tried first (the power of two choices, Mitzenmacher 2001; Prequal does the same). Always
trying the candidate with the lowest expected completion would send every process that has received
the same load report to the same database until the next report. A candidate that is dominated by
another one (`Completion.dominates`) is never tried first. The remaining candidates follow by
expected completion.
"""

from collections.abc import Callable, Sequence

import msgspec

CLOSENESS_EXPONENT = 4
"""Exponent of the draw weights: a candidate with three times the load-independent time of the
fastest one has 1/81 of its weight. If many processes have the same report, the best of three
candidates still gets two thirds of the reads at most."""


class Completion(msgspec.Struct, frozen=True):
    """The expected completion time of a read at one database, split into its parts, in seconds.

    Attributes:
        round_trip: Network round trip to the database.
        wait: Wait for a free slot.
        service: Execution of the statement.
        position: Wait until the database has replayed the required log position.
        opening: Opening of a connection.
        displacing: Delay that the read causes to statements that only this database can serve.
        detour: Expected cost of failures at the database.
        age_seconds: Age of the load report from which `wait` is derived.
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
        """The total of all parts."""
        return self.load_independent_seconds + self.wait + self.position

    @property
    def load_independent_seconds(self) -> float:
        """The part that does not depend on the current load or replication lag."""
        return self.round_trip + self.service + self.opening + self.displacing + self.detour

    def dominates(self, other: "Completion") -> bool:
        """Tells whether round trip, wait and execution are shorter than those of `other`, and no
        other part is longer."""
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
    """A database that can serve the read, and its expected completion time."""

    database_id: str
    completion: Completion


def order_candidates(
    candidates: Sequence[Candidate], draw: Callable[[], float]
) -> Sequence[Candidate]:
    """Returns all candidates, the one to try first at the head and the others by completion.

    Args:
        candidates: The databases that can serve the read.
        draw: Returns a random number in [0, 1).
    """
    ranked = sorted(candidates, key=_rank)
    if len(ranked) < 2:
        return ranked
    first = _draw_candidate(ranked, draw())
    remaining = [candidate for candidate in ranked if candidate is not first]
    head = min(first, _draw_candidate(remaining, draw()), key=_rank)
    head = next((other for other in ranked if other.completion.dominates(head.completion)), head)
    return [head, *(candidate for candidate in ranked if candidate is not head)]


def _rank(candidate: Candidate) -> tuple[float, str]:
    return (candidate.completion.seconds, candidate.database_id)


def _draw_candidate(candidates: Sequence[Candidate], random_fraction: float) -> Candidate:
    """Draws a candidate at random, weighted by its load-independent time and its replication lag.

    The lag counts, so that replicas far behind the required position are rarely drawn.
    """
    shortest = min(_weighting_seconds(candidate) for candidate in candidates)
    weights = [
        (shortest / _weighting_seconds(candidate)) ** CLOSENESS_EXPONENT for candidate in candidates
    ]
    remaining = random_fraction * sum(weights)
    for candidate, weight in zip(candidates, weights, strict=True):
        remaining -= weight
        if remaining < 0:
            return candidate
    return candidates[-1]


MIN_WEIGHTING_SECONDS = 0.001
"""Lower bound of the time that weights a candidate; keeps the weights finite."""


def _weighting_seconds(candidate: Candidate) -> float:
    """Returns the time that weights a candidate in the draw."""
    completion = candidate.completion
    return max(completion.load_independent_seconds + completion.position, MIN_WEIGHTING_SECONDS)
