"""The moments at which refused callers are told to come back: one after the other."""

import math

LONGEST_RETURN_SECONDS = 3.0
"""Nobody is told to come back later: the longest time that a statement has on the routes seen; what
is reckoned further ahead rests on a rate that will have changed."""
LEAST_RETURN_SECONDS = 0.03
"""Nor sooner: a round trip between regions."""
LEAST_SPACING_SECONDS = 0.002
"""Between two, where the rate of the queue is not known: some 20 return in each 40 ms."""
UNKNOWN_RETURN_SECONDS = 0.1
"""Told where nothing is known of the queue: some times the work of a statement."""


class ReturnMoments:
    """Of one queue. A moment that is promised is not promised again while others are left."""

    def __init__(self) -> None:
        self._last = -math.inf

    def promise(self, now: float, room_in: float | None, spacing: float = 0.0) -> float:
        """Returns the seconds until the next moment that is free.

        room_in: seconds until the queue as it is has drained, None where that is not known.
        spacing: seconds in which it serves one. Past `LONGEST_RETURN_SECONDS` the moments begin
        anew, between those told before.
        """
        latest = now + LONGEST_RETURN_SECONDS
        spacing = max(spacing, LEAST_SPACING_SECONDS)
        soonest = UNKNOWN_RETURN_SECONDS if room_in is None else room_in
        first = now + min(max(soonest, LEAST_RETURN_SECONDS), LONGEST_RETURN_SECONDS)
        moment = max(first, self._last + spacing)
        if moment > latest:
            moment = min(first + spacing / 2, latest)
        self._last = moment
        return moment - now
