"""Decides whether a holder resends a peer's statement that the database refused as overloaded.

The statement is resent after a pause until its time limit, which the peer has set, or until the
database has run nothing of this process for EXHAUSTED_SECONDS. Then the refusal is passed on with a
time at which to retry. A statement that is resent keeps its connection, so later statements queue
behind it.
"""

import math
import random

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.load.wait_deadlines import EXHAUSTED_SECONDS
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.statements import Failure, Reply, TransactionState
from dewledge.core.shared.units import MILLISECONDS
from dewledge.errors import ErrorCode

SLOT_PAUSE_SECONDS = 0.01
"""Mean pause before a statement is resent; the actual pause varies randomly from 5 to 15 ms."""


class SlotRetry:
    """Tracks the attempts to run a channel's current statement."""

    __slots__ = ("_first_sent_at", "_refuse_at", "_services")

    def __init__(self, services: PoolServices) -> None:
        self._services = services
        self._first_sent_at = 0.0
        self._refuse_at = 0.0
        """When resending stops (steady clock, seconds)."""

    def allow(self, seconds: float) -> None:
        """Starts the time limit of a newly arrived statement."""
        self._refuse_at = self._services.scheduler.now() + seconds

    def first_sent(self, at: float) -> None:
        """Records when the statement was first sent."""
        self._first_sent_at = at

    @property
    def held_seconds(self) -> float:
        """The seconds since the statement was first sent."""
        return self._services.scheduler.now() - self._first_sent_at

    def is_due(self, reply: Reply, present: TransactionState, pool: ConnectionPool) -> bool:
        """Tells whether the database refused for lack of a slot and the statement is to be resent.

        present: the transaction state of the channel before the answer.
        """
        if not is_full(reply):
            return False
        now = self._services.scheduler.now()
        is_exhausted = self._is_exhausted(now, present, pool)
        return reply.state is present and now < self._refuse_at and not is_exhausted

    def pause(self) -> float:
        """Returns the seconds to wait before the next attempt."""
        return SLOT_PAUSE_SECONDS * random.uniform(0.5, 1.5)

    def _is_exhausted(self, now: float, present: TransactionState, pool: ConnectionPool) -> bool:
        """Tells whether the database has run nothing of this process for EXHAUSTED_SECONDS.

        False in a transaction, whose completed work a refusal would waste.
        """
        if present is TransactionState.OPEN or not self._services.load_policy.useful_waits:
            return False
        return now - max(self._first_sent_at, pool.served_at) >= EXHAUSTED_SECONDS

    def with_return(self, reply: Reply, pool: ConnectionPool) -> Reply:
        """Adds a retry time to the refusal of a statement that got no slot in time."""
        if not self._services.load_policy.useful_waits:
            return reply
        come_back_ms = math.ceil(pool.promise_return() * MILLISECONDS)
        failure = Failure(ErrorCode.OVERLOADED, RefusalCause.NO_ROOM_IN_TIME, come_back_ms)
        return Reply(reply.state, failure=failure, position=reply.position)


def is_full(reply: Reply) -> bool:
    """Tells whether a database refused a statement for lack of a free slot."""
    return reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED
