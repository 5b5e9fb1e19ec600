"""Schedules the times at which clients refused by a queue may retry.

A retry time is the earliest time at which the queue is expected to have capacity, but at least one
service time after the last reserved one: clients that all get the same time would return together
and be refused again. Retry times are limited to the range from `MIN_RETRY_SECONDS` to
`MAX_RETRY_SECONDS` from now. Once the range is full, reservations restart at its beginning, halfway
between the earlier ones.

Each pool has a schedule for its queue. Each group has one for statements to which no queue gave a
retry time, for example without a primary (`statements/retry_times`). Retry times of rate limits are
in `rate_limits/return_times`.
"""

import math

MAX_RETRY_SECONDS = 3.0
"""Latest retry time: the longest usual timeout of a statement. A longer forecast would rest on an
outdated service rate."""
MIN_RETRY_SECONDS = 0.03
"""Earliest retry time: a round trip between regions."""
MIN_RETRY_SPACING_SECONDS = 0.002
"""Minimum distance of two retry times, also used if the service rate of the queue is unknown."""
DEFAULT_RETRY_SECONDS = 0.1
"""Earliest retry time if the state of the queue is unknown."""


class RetrySchedule:
    """The retry times of a queue; no time is reserved twice while later ones are available."""

    def __init__(self) -> None:
        self._last_reserved_at = -math.inf

    def reserve(self, now: float, drained_in: float | None, spacing: float = 0.0) -> float:
        """Reserves the next free retry time and returns it in seconds from now.

        Args:
            now: The steady clock in seconds.
            drained_in: Seconds until the current queue has drained, None if unknown.
            spacing: Seconds in which the queue serves one statement.
        """
        latest = now + MAX_RETRY_SECONDS
        spacing = max(spacing, MIN_RETRY_SPACING_SECONDS)
        soonest = DEFAULT_RETRY_SECONDS if drained_in is None else drained_in
        first = now + min(max(soonest, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
        moment = max(first, self._last_reserved_at + spacing)
        if moment > latest:
            moment = min(first + spacing / 2, latest)
        self._last_reserved_at = moment
        return moment - now
