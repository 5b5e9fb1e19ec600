"""Waits for a connection of this holder on behalf of a peer's statement.

Queues the statement in the pool, with deadlines taken from the peer's message. The pool decides
whether the statement may wait.
"""

import math
from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.verdict import Refuse, WaitUntil
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.wait_event import wait_refused
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.sharing.messages import ChannelStatement
from dewledge.core.pooler.sharing.single_timer import SingleTimer
from dewledge.core.pooler.statements.statements import (
    ROLE_STATEMENTS,
    SLOT_STATEMENTS,
    Failure,
    StatementKind,
)
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode

DEFAULT_WAIT_SECONDS = 0.25
"""Limit of the wait for a connection or slot if the peer sends none, and upper bound of the peer's
limit while `LoadPolicy.useful_waits` is off: a quarter of a usual target latency of 1 s."""


class ChannelWait:
    """Queues one statement of a channel at a time; calls `on_acquired` or `on_refused` once."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        database_id: str,
        on_acquired: Callable[[DatabaseConnection], None],
        on_refused: Callable[[Failure], None],
    ) -> None:
        self._services = services
        self._group = group
        self._database_id = database_id
        self._on_acquired = on_acquired
        self._on_refused = on_refused
        self._waiter: Waiter | None = None
        self._statement = ""
        self._timer = SingleTimer(services.scheduler)

    @property
    def _uses_useful_waits(self) -> bool:
        return self._services.load_policy.useful_waits

    def max_wait_seconds(self, message: ChannelStatement) -> float:
        """Returns how many seconds a statement may wait for a connection or a slot."""
        if message.wait_seconds is None:
            return DEFAULT_WAIT_SECONDS
        if self._uses_useful_waits:
            return message.wait_seconds
        return min(message.wait_seconds, DEFAULT_WAIT_SECONDS)

    def begin(self, pool: ConnectionPool, message: ChannelStatement, state: SessionState) -> None:
        """Queues a newly arrived statement; it may be served or refused before this returns."""
        demand = _demand_of(message.statement.kind)
        deadlines = self._deadlines(message)
        waiter = Waiter(
            message.priority, self._acquired, self._denied, demand, state.caller, deadlines
        )
        self._waiter = waiter
        self._statement = message.id
        self._timer.start(self.max_wait_seconds(message), self._on_timeout)
        pool.acquire(waiter, state.values)
        self._judge(pool, waiter)

    def end(self) -> None:
        """Withdraws the waiting statement, if any, from the queue."""
        self._timer.clear()
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.withdrawn = True

    def _deadlines(self, message: ChannelStatement) -> WaitDeadlines:
        now = self._services.scheduler.now()
        if not self._uses_useful_waits:
            return WaitDeadlines(now, now)
        in_time = math.inf if message.in_time_seconds is None else now + message.in_time_seconds
        latest = now + self.max_wait_seconds(message)
        return WaitDeadlines(now - message.waited_seconds, now, in_time, latest)

    def _judge(self, pool: ConnectionPool, waiter: Waiter) -> None:
        """Reevaluates a queued statement whenever the queue's verdict expires."""
        if self._waiter is not waiter or not self._uses_useful_waits:
            return
        verdict = pool.recheck(waiter)
        if isinstance(verdict, WaitUntil):
            remaining = max(verdict.at - self._services.scheduler.now(), 0.0)
            self._timer.start(remaining, lambda: self._judge(pool, waiter))

    def _acquired(self, connection: DatabaseConnection) -> None:
        self._waiter = None
        self._timer.clear()
        self._on_acquired(connection)

    def _denied(self, denial: Denial) -> None:
        waiter, self._waiter = self._waiter, None
        self._timer.clear()
        if denial is Denial.UNREACHABLE:
            self._services.on_unanswered_statement(self._group.view.name, self._database_id)
            self._on_refused(Failure(ErrorCode.DATABASE_UNREACHABLE, "no connection"))
        elif waiter is not None and waiter.refusal is not None:
            self._refuse_overloaded(waiter, waiter.refusal)
        else:
            self._on_refused(Failure(ErrorCode.OVERLOADED, f"denied: {denial}"))

    def _refuse_overloaded(self, waiter: Waiter, refusal: Refuse) -> None:
        group, now = self._group.view.name, self._services.scheduler.now()
        self._services.record(wait_refused(group, self._database_id, self._statement, waiter, now))
        retry_after_ms = math.ceil(refusal.come_back_seconds * MILLISECONDS_PER_SECOND)
        self._on_refused(Failure(ErrorCode.OVERLOADED, refusal.cause, retry_after_ms))

    def _on_timeout(self) -> None:
        if self._waiter is not None:
            self.end()
            self._on_refused(Failure(ErrorCode.OVERLOADED, "no connection in time"))


def _demand_of(kind: StatementKind) -> Demand:
    if kind in ROLE_STATEMENTS:
        return Demand.INTERNAL
    return Demand.SINGLE if kind in SLOT_STATEMENTS else Demand.TRANSACTION
