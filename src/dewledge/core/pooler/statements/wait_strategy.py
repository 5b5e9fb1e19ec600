"""Whether waits are judged by use: the one place that reads `LoadPolicy.useful_waits`.

A strategy is chosen when a statement begins, and makes the parts that differ: its deadlines, what
refusals mean to it, whether queues judge it, and when it may come back.
"""

from typing import Protocol

from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.verdict import Verdict
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.waiter import Waiter
from dewledge.core.pooler.statements.come_back import least_seconds, seconds_after_search
from dewledge.core.pooler.statements.exhausted_databases import ExhaustedDatabases, NeverExhausted
from dewledge.core.pooler.statements.statement_deadlines import FixedDeadlines, StatementDeadlines
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.targets import Target


class WaitStrategy(Protocol):
    """How long statements wait for a connection."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns the moments of a statement that came."""

    def exhausted(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns what notes the databases without room."""

    def judge(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Has a queue judge one that waits there anew; None where waits aren't judged."""

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Tells whether another process has the statement wait in its queue."""

    def come_back_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns the seconds until one that found no connection may come back."""


class UsefulWaits:
    """A statement waits while it can be served in its time, and is refused when it can't."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns moments by the statement's own time."""
        return StatementDeadlines(scope.arrived, scope.route, scope.session.ticket)

    def exhausted(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns what heeds refusals."""
        return ExhaustedDatabases(scope.group)

    def judge(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Returns the queue's verdict."""
        return pool.judge(waiter)

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Tells whether the database is reached through another process."""
        return not scope.group.holding(database_id).is_direct

    def come_back_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns the seconds by what the queues promise."""
        return seconds_after_search(scope, target, exhausted, lacks_primary)


class FixedWaits:
    """A statement waits for a fixed time; see LoadPolicy."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns moments by a fixed time."""
        return FixedDeadlines(scope.arrived, scope.route, scope.session.ticket)

    def exhausted(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns what heeds no refusals."""
        return NeverExhausted(scope.group)

    def judge(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Returns None."""
        return None

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Tells that no time is set aside for the queues of other processes."""
        return False

    def come_back_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns a fixed time."""
        return least_seconds(lacks_primary)


_USEFUL = UsefulWaits()
_FIXED = FixedWaits()


def wait_strategy(policy: LoadPolicy) -> WaitStrategy:
    """Returns the strategy of a policy."""
    return _USEFUL if policy.useful_waits else _FIXED
