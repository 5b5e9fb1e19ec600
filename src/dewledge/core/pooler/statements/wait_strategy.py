"""Selects how statements wait for connections; the only reader of `LoadPolicy.useful_waits`.

The strategy supplies the parts that differ: deadlines, handling of refusals, re-evaluation of
queued statements, and the retry time for the client.
"""

from typing import Protocol

from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.verdict import Verdict
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.waiter import Waiter
from dewledge.core.pooler.statements.exhausted_databases import ExhaustedDatabases, IgnoredRefusals
from dewledge.core.pooler.statements.retry_times import (
    default_retry_seconds,
    retry_seconds_after_search,
)
from dewledge.core.pooler.statements.statement_deadlines import FixedDeadlines, StatementDeadlines
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.targets import Target


class WaitStrategy(Protocol):
    """Controls how long statements wait for a connection."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns the deadlines of a statement that has just arrived."""

    def exhausted_databases(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns the record of databases that refused the statement as overloaded."""

    def reassess(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Re-evaluates a queued statement; None if this strategy does not evaluate waits."""

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Returns whether limits must allow for waiting in the queue of another process."""

    def retry_after_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns the retry delay in seconds for a statement that found no connection."""


class DeadlineBasedWaits:
    """Lets a statement wait while it can meet its deadline, and refuses it as soon as it can't."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns deadlines derived from the statement's timeout and latency target."""
        return StatementDeadlines(scope.arrived, scope.route, scope.session.ticket)

    def exhausted_databases(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns a record that excludes overloaded databases for a time."""
        return ExhaustedDatabases(scope.group)

    def reassess(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Returns the verdict of the pool's queue."""
        return pool.recheck(waiter)

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Returns whether the database is reached through another process."""
        return not scope.group.holding(database_id).is_direct

    def retry_after_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns the delay until a queue is expected to have capacity."""
        return retry_seconds_after_search(scope, target, exhausted, lacks_primary)


class FixedWaits:
    """Lets each statement wait for the same fixed time; see LoadPolicy."""

    def deadlines(self, scope: StatementScope) -> StatementDeadlines:
        """Returns deadlines with a fixed search time."""
        return FixedDeadlines(scope.arrived, scope.route, scope.session.ticket)

    def exhausted_databases(self, scope: StatementScope) -> ExhaustedDatabases:
        """Returns a record that ignores overload refusals of databases."""
        return IgnoredRefusals(scope.group)

    def reassess(self, pool: ConnectionPool, waiter: Waiter) -> Verdict | None:
        """Returns None, because fixed waits are not re-evaluated."""
        return None

    def is_queued_elsewhere(self, scope: StatementScope, database_id: str) -> bool:
        """Returns False: limits reserve no time for the queues of other processes."""
        return False

    def retry_after_seconds(
        self,
        scope: StatementScope,
        target: Target | None,
        exhausted: ExhaustedDatabases,
        lacks_primary: bool,
    ) -> float:
        """Returns a fixed delay."""
        return default_retry_seconds(lacks_primary)


_USEFUL = DeadlineBasedWaits()
_FIXED = FixedWaits()


def wait_strategy(policy: LoadPolicy) -> WaitStrategy:
    """Returns the strategy that a load policy selects."""
    return _USEFUL if policy.useful_waits else _FIXED
