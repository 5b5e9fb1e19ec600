"""Decides whether a holder sends a peer's statement once more that found no slot at the database.

Inputs: the database's answer; until when the statement may be sent (steady clock, seconds, from the
time that the peer gave it); when it was first sent; when the database last ran anything of this
process. Decision: send again after a pause, or pass the refusal on with a time to return. Reason:
the statement keeps its connection while it is sent again, so later statements queue behind it;
a database that has run nothing for EXHAUSTED_SECONDS is not worth the rest of the statement's time.
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
"""Mean pause before a statement that found no slot is sent once more, drawn anew each time: 5 to 15
ms."""


class SlotRetry:
    """The tries of a channel's current statement at one database."""

    __slots__ = ("_first_sent_at", "_refuse_at", "_services")

    def __init__(self, services: PoolServices) -> None:
        self._services = services
        self._first_sent_at = 0.0
        self._refuse_at = 0.0
        """Until then a statement may be sent again that found no slot."""

    def allow(self, seconds: float) -> None:
        """Sets until when a statement that came now may be sent."""
        self._refuse_at = self._services.scheduler.now() + seconds

    def first_sent(self, at: float) -> None:
        """The statement was sent for the first time."""
        self._first_sent_at = at

    @property
    def held_seconds(self) -> float:
        """How long ago the statement was first sent."""
        return self._services.scheduler.now() - self._first_sent_at

    def is_due(self, reply: Reply, present: TransactionState, pool: ConnectionPool) -> bool:
        """Tells whether the database refused because it had no slot, and is to be asked once more.

        `present`: the channel's state. A statement in a transaction has cost work already, which a
        refusal would throw away.
        """
        if not is_full(reply):
            return False
        now = self._services.scheduler.now()
        is_exhausted = self._is_exhausted(now, present, pool)
        return reply.state is present and now < self._refuse_at and not is_exhausted

    def pause(self) -> float:
        """Returns the seconds until the next try."""
        return SLOT_PAUSE_SECONDS * random.uniform(0.5, 1.5)

    def _is_exhausted(self, now: float, present: TransactionState, pool: ConnectionPool) -> bool:
        """Tells whether the database has run nothing of this process for as long as one may try.

        A statement in a transaction goes on to its end.
        """
        if present is TransactionState.OPEN or not self._services.load_policy.useful_waits:
            return False
        return now - max(self._first_sent_at, pool.served_at) >= EXHAUSTED_SECONDS

    def with_return(self, reply: Reply, pool: ConnectionPool) -> Reply:
        """Adds a time to return to the refusal of a statement that got no slot in its time."""
        if not self._services.load_policy.useful_waits:
            return reply
        come_back_ms = math.ceil(pool.promise_return() * MILLISECONDS)
        failure = Failure(ErrorCode.OVERLOADED, RefusalCause.NO_ROOM_IN_TIME, come_back_ms)
        return Reply(reply.state, failure=failure, position=reply.position)


def is_full(reply: Reply) -> bool:
    """Tells whether a database refused because it had no slot."""
    return reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED
