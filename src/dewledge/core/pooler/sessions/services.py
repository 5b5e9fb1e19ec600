"""State and services that all sessions of a process share.

Owns the callbacks that wait for a configuration, the budget for read retries and, per group, the
retry times of refused clients; the process (shell/pooler) supplies the rest.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.events import PoolingEvent
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.retry_schedule import RetrySchedule
from dewledge.core.pooler.rate_limits.admission import Admission, AdmitAll
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.sessions.configuration_age import ConfigurationAge
from dewledge.core.pooler.sessions.denials import DenialLog
from dewledge.core.pooler.sessions.routes import EMPTY_ROUTE_TABLE, RouteTable
from dewledge.core.shared.retry_budget import RetryBudget

READ_RETRY_RATIO = 0.02
"""Ratio of read retries to all statements: low enough that retries of reads on an unresponsive
connection holder add no noticeable load."""
READ_RETRY_RESERVE = 20.0
"""Reads that may be retried at once while the retry budget is full, as it is at the start."""


class PoolServices:
    """Services and settings that all sessions of a process share."""

    def __init__(
        self,
        scheduler: Scheduler,
        record: Callable[[PoolingEvent], None],
        load_policy: LoadPolicy | None = None,
        admission: Admission | None = None,
        suspect: Callable[[str, str], None] = lambda group, database: None,
    ) -> None:
        """By default all load decisions are enabled, and all operations are admitted."""
        self.scheduler = scheduler
        self.record = record
        self.routes: RouteTable = EMPTY_ROUTE_TABLE
        self.configuration_age = ConfigurationAge(scheduler, record, lambda: self.routes.version)
        self.groups: dict[str, Group] = {}
        self.load_policy = load_policy or LoadPolicy()
        """Which decisions under load are enabled."""
        self.denials = DenialLog(scheduler, record)
        """Log of sessions that presented an unknown credential."""
        self.read_retry_budget = RetryBudget(READ_RETRY_RATIO, READ_RETRY_RESERVE)
        """Budget for retries of reads whose connection holder stopped answering."""
        self.retry_times: dict[str, RetrySchedule] = {}
        """By group: retry times for refused clients that got none from a queue."""
        self.admission: Admission = admission or AdmitAll()
        """Decides whether a caller's operation may begin, before any work is done for it."""
        self.is_ending = False
        """Set near the end of a planned stop: new statements could not be answered in time."""
        self.on_unanswered_statement = suspect
        """Called with the group and the name of a database that did not answer a statement."""
        self._configuration_waiters: list[Callable[[], None]] = []

    @property
    def is_configured(self) -> bool:
        """Whether the process has a configuration and knows at least one database."""
        if self.routes.version < 0:
            return False
        return any(group.view.databases for group in self.groups.values())

    def retry_times_of(self, group: str) -> RetrySchedule:
        """Returns a group's retry times for refused clients that got none from a queue."""
        return self.retry_times.setdefault(group, RetrySchedule())

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Registers `callback` to be called once, when the process becomes configured."""
        self._configuration_waiters.append(callback)

    def notify_if_configured(self) -> None:
        """Runs the waiting callbacks if the process is configured.

        Called after each change of the configuration or of a group.
        """
        if self._configuration_waiters and self.is_configured:
            waiters, self._configuration_waiters = self._configuration_waiters, []
            for callback in waiters:
                callback()
