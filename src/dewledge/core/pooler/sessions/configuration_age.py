"""Tracks when the process's configuration was last confirmed to be the newest one.

A process serves by the configuration that it has even when the store is away, so an old
confirmation is no fault by itself; it shows how much a decision by that configuration is worth.
"""

import math
from collections import deque
from collections.abc import Callable

from dewledge.core.pooler.events import (
    ConfigurationConfirmed,
    ConfigurationUnconfirmed,
    PoolingEvent,
)
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

MAX_AGE_TO_BOUND_RATIO = 0.5
"""Ratio of the age at which a confirmation stops to be recent to the configuration's propagation
bound; the other half is left for obtaining a new one."""


class ConfigurationAge:
    """The time since the last confirmation of the configuration."""

    def __init__(
        self,
        scheduler: Scheduler,
        record: Callable[[PoolingEvent], None],
        active_version: Callable[[], int],
    ) -> None:
        """Starts unconfirmed. active_version: returns the version in force, for the events."""
        self._scheduler = scheduler
        self._record = record
        self._active_version = active_version
        self._confirmed_at = -math.inf
        self._max_age = math.inf
        self._unconfirmed_since: float | None = None
        self._waiters: deque[tuple[float, Callable[[], None]]] = deque()
        """Callbacks, each with the time until which it waits, in the order of these times."""
        self.request_confirmation: Callable[[], None] = lambda: None
        """Called when a decision needs a recent confirmation; returns before there is one."""

    @property
    def seconds(self) -> float:
        """Seconds since the last confirmation; infinite if there was none."""
        return self._scheduler.now() - self._confirmed_at

    @property
    def milliseconds(self) -> int:
        """The same in whole milliseconds, -1 if there was none."""
        age = self.seconds
        return -1 if math.isinf(age) else round(age * MILLISECONDS_PER_SECOND)

    @property
    def is_recent(self) -> bool:
        """Whether the last confirmation is recent; without a bound (see `watch`) always."""
        return math.isinf(self._max_age) or self.seconds < self._max_age

    def watch(self, bound: float) -> None:
        """Records an event whenever the confirmation stops to be recent, and when it is again.

        bound: seconds within which a configuration must be in force.
        """
        self._max_age = bound * MAX_AGE_TO_BOUND_RATIO
        self._schedule_check()

    def call_when_recent(self, callback: Callable[[], None], seconds: float) -> None:
        """Requests a confirmation; `callback` is called once if one comes within `seconds`.

        All callers wait equally long.
        """
        now = self._scheduler.now()
        while self._waiters and self._waiters[0][0] < now:
            self._waiters.popleft()
        self._waiters.append((now + seconds, callback))
        self.request_confirmation()

    def confirm(self, confirmed_at: float) -> None:
        """Records that the configuration in force was the newest at this time."""
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if not self.is_recent:
            return
        self._record_confirmed()
        waiters, self._waiters = self._waiters, deque()
        for _, callback in waiters:
            callback()

    def _record_confirmed(self) -> None:
        if self._unconfirmed_since is not None:
            lasted = self._scheduler.now() - self._unconfirmed_since
            self._unconfirmed_since = None
            lasted_ms = round(lasted * MILLISECONDS_PER_SECOND)
            self._record(ConfigurationConfirmed(self._active_version(), lasted_ms))

    def _check(self) -> None:
        if not self.is_recent and self._unconfirmed_since is None:
            self._unconfirmed_since = self._scheduler.now()
            self._record(ConfigurationUnconfirmed(self._active_version(), self.milliseconds))
        self._schedule_check()

    def _schedule_check(self) -> None:
        remaining = self._max_age - self.seconds
        delay = remaining if 0 < remaining < self._max_age else self._max_age
        self._scheduler.call_later(delay, self._check)
