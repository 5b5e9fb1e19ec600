"""Fair shares of a pool's connections: whose are opened first, and whose idle ones are closed.

The fair share is the limit divided by the number of callers that use connections or have waiting
statements; connections of inactive callers are available to the others. Openings for callers over
their share come last. To make room, an idle connection of a caller without waiting statements is
closed, preferably of a caller over its share. Shares are computed on demand, so that no state is
kept for each caller.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from dewledge.core.pooler.pool.database_connection import DatabaseConnection


class ConnectionShares:
    """The shares at one moment of the callers that use connections or have waiting statements."""

    def __init__(
        self,
        limit: int,
        idle: Iterable[DatabaseConnection],
        in_use: Iterable[DatabaseConnection],
        opening: Mapping[str, int],
        waiting: Collection[str],
    ) -> None:
        """Counts the connections of each caller.

        Args:
            limit: The maximum number of connections of the pool.
            idle: The idle connections, the longest idle first.
            in_use: The connections in use.
            opening: The number of connections being opened, by caller.
            waiting: The callers with waiting statements.
        """
        self._idle = idle
        self._waiting = waiting
        self._opening = Counter(opening)
        self._connections = Counter(each.caller for each in in_use)
        self._share = limit / max(len({*self._connections, *waiting}), 1)
        self._connections.update(each.caller for each in idle)

    def opening_order(self, callers: Sequence[str]) -> Sequence[str]:
        """Returns the callers in the order of opening: callers over their share come last.

        Args:
            callers: The caller of each statement that lacks a connection, in queue order.
        """
        counts = Counter(self._connections)
        within_share: list[str] = []
        over_share: list[str] = []
        for caller in callers:
            counts[caller] += 1
            (within_share if counts[caller] <= max(self._share, 1.0) else over_share).append(caller)
        return within_share + over_share

    def find_unused(self, caller: str, is_fair: bool) -> DatabaseConnection | None:
        """Returns an idle connection of another caller without waiting statements, or None.

        The longest idle one is preferred; with `is_fair`, first those of callers over their share.
        """
        others = [
            each
            for each in self._idle
            if each.caller != caller and each.caller not in self._waiting
        ]
        over_share = [each for each in others if is_fair and self._is_over_share(each.caller)]
        return next(iter(over_share or others), None)

    def find_over_share(self, caller: str) -> DatabaseConnection | None:
        """Returns the longest idle connection of a caller over its share, or None.

        None also if `caller` is not below its own share.
        """
        if self._count(caller) >= self._share:
            return None
        return next((each for each in self._idle if self._is_over_share(each.caller)), None)

    def _count(self, caller: str) -> int:
        return self._connections[caller] + self._opening[caller]

    def _is_over_share(self, caller: str) -> bool:
        return self._count(caller) > self._share
