"""When one that a queue refuses may come back to it: the one place that computes this moment.

Inputs: now (steady clock, seconds); the seconds until the queue as it is has drained, from
`wait_estimate`, or nothing where that is not known; the seconds in which the queue serves one; the
moment promised last.
Decision: the soonest moment at which there will be room, one service time after the moment promised
last, between `LEAST_RETURN_SECONDS` and `LONGEST_RETURN_SECONDS` from now. Past the latter the
moments begin anew, halfway between those told before. Reason: callers that are all told the same
moment come back together and are refused again.

Who asks: `PoolWaits.promise_return`, for a statement that a pool's queue refuses, with its expected
wait, and for one that gave up before a database, without; and the search of a statement, for a
group without a primary. Which of several moments a client is told is decided in
`statements/come_back`, the moments of rate limits in `rate_limits/told_moments`.
"""

import math

LONGEST_RETURN_SECONDS = 3.0
"""Seconds; nobody is told to come back later: the longest time that a statement has on the routes
seen; what is reckoned further ahead rests on a rate that will have changed."""
LEAST_RETURN_SECONDS = 0.03
"""Seconds; nobody is told to come back sooner: a round trip between regions."""
LEAST_SPACING_SECONDS = 0.002
"""Seconds between two moments, where the rate of the queue is not known: some 20 return in each 40
ms."""
UNKNOWN_RETURN_SECONDS = 0.1
"""Seconds; told where nothing is known of the queue: some times the work of a statement."""


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
