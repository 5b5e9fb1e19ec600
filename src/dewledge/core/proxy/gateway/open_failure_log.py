"""Logs that a database cannot be connected to, without a line for each of the many tries."""

from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.errors import ErrorCode

LOG_INTERVAL = 60.0
"""Seconds between two lines about failed opens of one database, at least."""


class OpenFailureLog:
    """Logs the first failure at once, then a count per interval, and the end of the failures."""

    def __init__(self, context: GatewayContext, database: str) -> None:
        self._context = context
        self._database = database
        self._failures = 0
        self._logged_at = float("-inf")
        self._is_failing = False

    def note_failure(self, code: ErrorCode, now: float) -> None:
        """Counts a failed open."""
        self._failures += 1
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._context.log(
            "connection_open_failed",
            database=self._database,
            code=code.value,
            failures=self._failures,
        )
        self._logged_at = now
        self._failures = 0
        self._is_failing = True

    def note_success(self) -> None:
        """Logs the first open that succeeds after a failure was logged."""
        if self._is_failing:
            self._is_failing = False
            self._context.log("connection_opened_again", database=self._database)
