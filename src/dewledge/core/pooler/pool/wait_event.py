"""Creates the log event of a statement that was refused in the queue of a pool."""

from dewledge.core.pooler.events import WaitRefused
from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.pool.waiter import Waiter
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND


def wait_refused(
    group: str, database: str, statement: str, waiter: Waiter, now: float
) -> WaitRefused:
    """Returns the event of a statement that was refused at `now` (steady clock, seconds)."""
    refusal, wait = waiter.refusal, waiter.refused_wait
    remaining = waiter.deadlines.latest_start - now
    return WaitRefused(
        group=group,
        database=database,
        statement=statement,
        cause=RefusalCause.NO_ROOM_IN_TIME if refusal is None else refusal.cause,
        expected_ms=-1 if wait is None else int(wait.seconds * MILLISECONDS_PER_SECOND),
        age_ms=0 if wait is None else int(wait.age_seconds * MILLISECONDS_PER_SECOND),
        left_ms=int(remaining * MILLISECONDS_PER_SECOND),
        come_back_ms=0
        if refusal is None
        else int(refusal.come_back_seconds * MILLISECONDS_PER_SECOND),
    )
