"""Fair shares of a pool's connections among callers: who opens first, whose idle one is closed.

Inputs, of this moment: the limit of the pool, its connections idle, in use and being opened, by
caller, and the callers with statements that wait.
Decision: the share is the limit over the callers that have connections in use or wait. Openings for
callers above their share come last (`in_order`); to make room an idle connection of a caller that
waits for nothing is closed, of one above its share first (`unused`, `above`). Reason: what callers
hold that use nothing is free for those that can use it. Computed when it is needed, so that nothing
is kept of callers.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence

from dewledge.core.pooler.pool.database_connection import DatabaseConnection


class ConnectionShares:
    """The shares at one moment, between the callers that have connections in use or wait."""

    def __init__(
        self,
        limit: int,
        idle: Iterable[DatabaseConnection],
        lent: Iterable[DatabaseConnection],
        opening: Mapping[str, int],
        waiting: Collection[str],
    ) -> None:
        """`idle`: the one idle for longest first. opening: how many, by caller.

        waiting: the callers with statements that wait.
        """
        self._idle = idle
        self._waiting = waiting
        self._opening = Counter(opening)
        self._connections = Counter(each.caller for each in lent)
        self._share = limit / max(len({*self._connections, *waiting}), 1)
        self._connections.update(each.caller for each in idle)

    def in_order(self, callers: Sequence[str]) -> Sequence[str]:
        """Returns the callers of statements that want connections, those above their share last.

        callers: one for each statement, in their order.
        """
        held = Counter(self._connections)
        within: list[str] = []
        beyond: list[str] = []
        for caller in callers:
            held[caller] += 1
            (within if held[caller] <= max(self._share, 1.0) else beyond).append(caller)
        return within + beyond

    def unused(self, caller: str, is_fair: bool) -> DatabaseConnection | None:
        """Returns an idle connection of another caller with nothing waiting, None without one.

        The one idle for longest; where shares are kept, one of a caller above its share first.
        """
        others = [
            each
            for each in self._idle
            if each.caller != caller and each.caller not in self._waiting
        ]
        above = [each for each in others if is_fair and self._is_above(each.caller)]
        return next(iter(above or others), None)

    def above(self, caller: str) -> DatabaseConnection | None:
        """Returns the oldest idle connection of one above its share, for a caller below its own."""
        if self._held(caller) >= self._share:
            return None
        return next((each for each in self._idle if self._is_above(each.caller)), None)

    def _held(self, caller: str) -> int:
        return self._connections[caller] + self._opening[caller]

    def _is_above(self, caller: str) -> bool:
        return self._held(caller) > self._share
