"""Decides whether a holder resends a peer's statement that the database refused as overloaded.

The statement is resent after a pause until its time limit, or until the database has run no
statement of this process for EXHAUSTED_AFTER_SECONDS. Then the refusal is passed on with a time at
which to retry. A statement that is resent keeps its connection, so later statements queue behind
it.
"""

import math
import random

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.load.wait_deadlines import EXHAUSTED_AFTER_SECONDS
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.statements import Failure, Reply, TransactionState
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode

RESEND_PAUSE_SECONDS = 0.01
"""Mean pause before a statement is resent; the actual pause varies randomly from 5 to 15 ms."""


class SlotRetry:
    """Tracks the attempts to run a channel's current statement."""

    __slots__ = ("_first_sent_at", "_resend_until", "_services")

    def __init__(self, services: PoolServices) -> None:
        self._services = services
        self._first_sent_at = 0.0
        self._resend_until = 0.0
        """When resending stops (steady clock, seconds)."""

    def start(self, seconds: float) -> None:
        """Starts the time limit of a newly arrived statement."""
        self._resend_until = self._services.scheduler.now() + seconds

    def record_first_sent(self, at: float) -> None:
        """Records when the statement was first sent."""
        self._first_sent_at = at

    @property
    def elapsed_seconds(self) -> float:
        """The seconds since the statement was first sent."""
        return self._services.scheduler.now() - self._first_sent_at

    def should_resend(
        self, reply: Reply, state_before: TransactionState, pool: ConnectionPool
    ) -> bool:
        """Tells whether the database refused for lack of a slot and the statement is to be resent.

        state_before: the transaction state of the channel before the answer.
        """
        if not is_overloaded(reply):
            return False
        now = self._services.scheduler.now()
        is_exhausted = self._is_exhausted(now, state_before, pool)
        return reply.state is state_before and now < self._resend_until and not is_exhausted

    def pause_seconds(self) -> float:
        """Returns the seconds to wait before the next attempt."""
        return RESEND_PAUSE_SECONDS * random.uniform(0.5, 1.5)

    def _is_exhausted(
        self, now: float, state_before: TransactionState, pool: ConnectionPool
    ) -> bool:
        """Tells whether the database ran no statement of this process for EXHAUSTED_AFTER_SECONDS.

        False in a transaction, whose completed work a refusal would waste.
        """
        if state_before is TransactionState.OPEN or not self._services.load_policy.useful_waits:
            return False
        return now - max(self._first_sent_at, pool.last_served_at) >= EXHAUSTED_AFTER_SECONDS

    def with_retry_time(self, reply: Reply, pool: ConnectionPool) -> Reply:
        """Adds a retry time to the refusal of a statement, if useful waits are enabled."""
        if not self._services.load_policy.useful_waits:
            return reply
        retry_after_ms = math.ceil(pool.reserve_retry_time() * MILLISECONDS_PER_SECOND)
        failure = Failure(ErrorCode.OVERLOADED, RefusalCause.NO_ROOM_IN_TIME, retry_after_ms)
        return Reply(reply.state, failure=failure, position=reply.position)


def is_overloaded(reply: Reply) -> bool:
    """Tells whether a database refused a statement for lack of a free slot."""
    return reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED
