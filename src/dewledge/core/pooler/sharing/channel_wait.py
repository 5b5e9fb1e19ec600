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
    OWN_QUESTIONS,
    TAKES_SLOT,
    Failure,
    StatementKind,
)
from dewledge.core.shared.units import MILLISECONDS
from dewledge.errors import ErrorCode

QUEUE_LIMIT_SECONDS = 0.25
"""Limit of the wait for a connection or slot if the peer sends none, and upper bound of the peer's
limit while useful waits are disabled: a quarter of a usual target latency of 1 s."""


class ChannelWait:
    """Waits for one statement of a channel at a time; `given` or `refused` ends the wait."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        database_id: str,
        given: Callable[[DatabaseConnection], None],
        refused: Callable[[Failure], None],
    ) -> None:
        self._services = services
        self._group = group
        self._database_id = database_id
        self._given = given
        self._refused = refused
        self._waiter: Waiter | None = None
        self._statement = ""
        self._timer = SingleTimer(services.scheduler)

    @property
    def _is_useful(self) -> bool:
        return self._services.load_policy.useful_waits

    def longest(self, message: ChannelStatement) -> float:
        """Returns how many seconds a statement may wait for a connection or a slot."""
        if message.wait_seconds is None:
            return QUEUE_LIMIT_SECONDS
        if self._is_useful:
            return message.wait_seconds
        return min(message.wait_seconds, QUEUE_LIMIT_SECONDS)

    def begin(self, pool: ConnectionPool, message: ChannelStatement, state: SessionState) -> None:
        """Queues a newly arrived statement; it may be served or refused before this returns."""
        demand = _demand_of(message.statement.kind)
        deadlines = self._deadlines(message)
        waiter = Waiter(message.priority, self._take, self._denied, demand, state.caller, deadlines)
        self._waiter = waiter
        self._statement = message.id
        self._timer.start(self.longest(message), self._waited_too_long)
        pool.acquire(waiter, state.values)
        self._judge_later(pool, waiter)

    def end(self) -> None:
        """Withdraws the waiting statement, if any, from the queue."""
        self._timer.clear()
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.withdrawn = True

    def _deadlines(self, message: ChannelStatement) -> WaitDeadlines:
        now = self._services.scheduler.now()
        if not self._is_useful:
            return WaitDeadlines(now, now)
        in_time = math.inf if message.in_time_seconds is None else now + message.in_time_seconds
        latest = now + self.longest(message)
        return WaitDeadlines(now - message.waited_seconds, now, in_time, latest)

    def _judge_later(self, pool: ConnectionPool, waiter: Waiter) -> None:
        """Reevaluates a queued statement whenever the queue's verdict expires."""
        if self._waiter is not waiter or not self._is_useful:
            return
        verdict = pool.judge(waiter)
        if isinstance(verdict, WaitUntil):
            remaining = max(verdict.at - self._services.scheduler.now(), 0.0)
            self._timer.start(remaining, lambda: self._judge_later(pool, waiter))

    def _take(self, connection: DatabaseConnection) -> None:
        self._waiter = None
        self._timer.clear()
        self._given(connection)

    def _denied(self, denial: Denial) -> None:
        waiter, self._waiter = self._waiter, None
        self._timer.clear()
        if denial is Denial.UNREACHABLE:
            self._services.suspect(self._group.view.name, self._database_id)
            self._refused(Failure(ErrorCode.DATABASE_UNREACHABLE, "database unreachable"))
        elif waiter is not None and waiter.refusal is not None:
            self._refuse_for_room(waiter, waiter.refusal)
        else:
            self._refused(Failure(ErrorCode.OVERLOADED, f"connection denied: {denial}"))

    def _refuse_for_room(self, waiter: Waiter, refusal: Refuse) -> None:
        group, now = self._group.view.name, self._services.scheduler.now()
        self._services.record(wait_refused(group, self._database_id, self._statement, waiter, now))
        come_back_ms = math.ceil(refusal.come_back_seconds * MILLISECONDS)
        self._refused(Failure(ErrorCode.OVERLOADED, refusal.cause, come_back_ms))

    def _waited_too_long(self) -> None:
        if self._waiter is not None:
            self.end()
            self._refused(Failure(ErrorCode.OVERLOADED, "no connection available in time"))


def _demand_of(kind: StatementKind) -> Demand:
    if kind in OWN_QUESTIONS:
        return Demand.OWN
    return Demand.SINGLE if kind in TAKES_SLOT else Demand.TRANSACTION
