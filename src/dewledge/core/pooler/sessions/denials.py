"""Rate-limited log of denied sessions: one line per second and route, however many clients try."""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.events import SessionDenied
from dewledge.core.pooler.scheduling import Scheduler

LOG_INTERVAL_SECONDS = 1.0
"""Seconds between two log lines of a route. Clients whose credential was revoked try again at once
and wrote 300 to 900 lines per second."""


class _SuppressedDenials:
    """Denials on a route since its last log line."""

    def __init__(self) -> None:
        self.tries = 0
        self.last: SessionDenied | None = None


class DenialLog:
    """Logs the first denial on a route at once, then one line per second with their number.

    The state is bounded by the number of configured routes.
    """

    def __init__(self, scheduler: Scheduler, record: Callable[[SessionDenied], None]) -> None:
        self._scheduler = scheduler
        self._record = record
        self._suppressed: dict[str, _SuppressedDenials] = {}

    def record_denial(self, session: str, route: str, configuration: int) -> None:
        """Records that a session presented a credential which no configured caller has."""
        denied = SessionDenied(session, route, configuration)
        suppressed = self._suppressed.get(route)
        if suppressed is None:
            self._record(denied)
            self._suppressed[route] = _SuppressedDenials()
            self._scheduler.call_later(LOG_INTERVAL_SECONDS, lambda: self._write_suppressed(route))
        else:
            suppressed.tries += 1
            suppressed.last = denied

    def _write_suppressed(self, route: str) -> None:
        suppressed = self._suppressed.pop(route)
        if suppressed.last is None:
            return
        self._record(msgspec.structs.replace(suppressed.last, tries=suppressed.tries))
        self._suppressed[route] = _SuppressedDenials()
        self._scheduler.call_later(LOG_INTERVAL_SECONDS, lambda: self._write_suppressed(route))
