"""The log of denied sessions: one line a second for each route, however many clients try.

It owns the count of denials since the last line of each route; the events go to the process's log.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.events import SessionDenied
from dewledge.core.pooler.scheduling import Scheduler

LOG_INTERVAL_SECONDS = 1.0
"""Seconds between two lines of a route."""


class _SuppressedDenials:
    """Denials of a route since its last line."""

    def __init__(self) -> None:
        self.tries = 0
        self.last: SessionDenied | None = None


class DenialLog:
    """Records the first denial of a route at once, then a line a second with their count.

    Its state is bounded by the routes that are configured.
    """

    def __init__(self, scheduler: Scheduler, record: Callable[[SessionDenied], None]) -> None:
        self._scheduler = scheduler
        self._record = record
        self._suppressed: dict[str, _SuppressedDenials] = {}

    def record_denial(self, session: str, route: str, configuration: int) -> None:
        """No caller of the configuration has the credential that a session showed on a route."""
        denied = SessionDenied(session, route, configuration)
        left_out = self._suppressed.get(route)
        if left_out is None:
            self._record(denied)
            self._suppressed[route] = _SuppressedDenials()
            self._scheduler.call_later(LOG_INTERVAL_SECONDS, lambda: self._write_suppressed(route))
        else:
            left_out.tries += 1
            left_out.last = denied

    def _write_suppressed(self, route: str) -> None:
        left_out = self._suppressed.pop(route)
        if left_out.last is None:
            return
        self._record(msgspec.structs.replace(left_out.last, tries=left_out.tries))
        self._suppressed[route] = _SuppressedDenials()
        self._scheduler.call_later(LOG_INTERVAL_SECONDS, lambda: self._write_suppressed(route))
