"""What statements need of the process around them: the parts that its sessions share.

It owns what is waited for before a configuration comes, the budget of second reads and the return
moments of groups; the rest is put there by the process (shell/pooler).
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.events import PoolingEvent
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.return_moments import ReturnMoments
from dewledge.core.pooler.rate_limits.admission import Admission, AdmitsAll
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.sessions.denials import DenialLog
from dewledge.core.pooler.sessions.routes import EMPTY_ROUTE_TABLE, RouteTable
from dewledge.core.shared.retry_budget import RetryBudget

READ_RETRY_RATIO = 0.02
"""A share of all statements: so few reads on a silent holder are asked once more elsewhere that
they are no load."""
READ_RETRY_RESERVE = 20.0
"""Reads; a count: so many are asked once more at once, as one process has under way on a few
holders."""


class PoolServices:
    """The parts that all sessions of a process share."""

    def __init__(
        self,
        scheduler: Scheduler,
        record: Callable[[PoolingEvent], None],
        load_policy: LoadPolicy | None = None,
        admission: Admission | None = None,
        suspect: Callable[[str, str], None] = lambda group, database: None,
    ) -> None:
        """By default each decision under load is made, and all operations are admitted."""
        self.scheduler = scheduler
        self.record = record
        self.routes: RouteTable = EMPTY_ROUTE_TABLE
        self.groups: dict[str, Group] = {}
        self.load_policy = load_policy or LoadPolicy()
        """Which decisions under load are made."""
        self.denials = DenialLog(scheduler, record)
        """Logs sessions whose credential no caller has."""
        self.second_reads = RetryBudget(READ_RETRY_RATIO, READ_RETRY_RESERVE)
        """Second tries of reads whose holder fell silent."""
        self.returns: dict[str, ReturnMoments] = {}
        """By group: the moments promised to callers to whom no queue promised one."""
        self.admission: Admission = admission or AdmitsAll()
        """Decides before any work whether an operation of a caller may begin."""
        self.is_ending = False
        """Set near the end of a planned stop: what begins now could not be answered in time."""
        self.suspect = suspect
        """Called with a group and a database that left a statement without an answer."""
        self._configuration_waiters: list[Callable[[], None]] = []

    @property
    def is_configured(self) -> bool:
        """Whether a configuration and at least one database are known."""
        if self.routes.version < 0:
            return False
        return any(group.view.databases for group in self.groups.values())

    def return_moments(self, group: str) -> ReturnMoments:
        """Returns a group's moments, for callers to whom no queue promised one."""
        return self.returns.setdefault(group, ReturnMoments())

    def call_when_configured(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once when the process can serve."""
        self._configuration_waiters.append(callback)

    def wake_if_configured(self) -> None:
        """Called after each change of the configuration or of a group."""
        if self._configuration_waiters and self.is_configured:
            waiters, self._configuration_waiters = self._configuration_waiters, []
            for callback in waiters:
                callback()
