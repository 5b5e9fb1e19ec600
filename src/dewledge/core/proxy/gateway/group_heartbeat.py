"""When a group's databases are asked for their status though nobody waits for it.

Owns the heartbeat's timer: quick while the group is in use and this process is the active gateway
of its primary (or nobody knows the primary), slow otherwise.
"""

from collections.abc import Callable

from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.status_rounds import StatusRounds


class GroupHeartbeat:
    """The heartbeat of one group. Times are seconds on the core's clock."""

    def __init__(
        self, context: GatewayContext, rounds: StatusRounds, primary: Callable[[], str | None]
    ) -> None:
        """`primary`: returns the primary that the latest statuses show."""
        self._context = context
        self._settings = context.settings
        self._rounds = rounds
        self._primary = primary
        self._active: frozenset[str] = frozenset()
        self._timer: Timer | None = None
        self._last_use = float("-inf")

    @property
    def is_active(self) -> bool:
        """Whether this process is the active gateway of one of the databases."""
        return bool(self._active)

    def configure(self, active: frozenset[str], now: float) -> None:
        """Takes the databases whose active gateway this process is; without one it rests."""
        self._active = active
        if active and self._timer is None:
            self._timer = self._context.call_at(now, self._beat)
        if not active:
            self._context.cancel(self._timer)
            self._timer = None

    def note_use(self, now: float) -> None:
        """Notes a request for this group, which makes its heartbeat the quicker one."""
        was_idle = now - self._last_use > self._settings.in_use_period
        self._last_use = now
        if was_idle and self._timer is not None:
            self._context.cancel(self._timer)
            self._timer = self._context.call_at(now + self._pause(now), self._beat)

    def in_use(self, now: float) -> bool:
        """Tells whether a request for the group came lately."""
        return now - self._last_use <= self._settings.in_use_period

    def _beat(self, now: float) -> None:
        pause = self._pause(now)
        due = self._rounds.last_started_at + pause
        if due <= now:
            self._rounds.want(now)
            due = now + pause
        self._timer = self._context.call_at(due, self._beat)

    def _pause(self, now: float) -> float:
        primary = self._primary()
        serves = primary is None or primary in self._active
        if serves and self.in_use(now):
            return self._context.jittered(self._settings.heartbeat_interval)
        return self._context.jittered(self._settings.idle_heartbeat_interval)
