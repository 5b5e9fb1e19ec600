"""Computes every time limit of a statement. Times are readings of the steady clock, in seconds.

The limits leave time for the network, so that a statement that can't be answered in time frees its
place in the queue, and no step uses up the time that an attempt at another database needs.
"""

import math

from dewledge.core.pooler.load.database_order import Completion
from dewledge.core.pooler.load.ticket import Ticket, effective_arrival
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Route

NETWORK_ALLOWANCE_SECONDS = 0.1
"""Time reserved for the network: two round trips of 40 ms between regions, and delays in busy
processes."""
FIXED_WAIT_SECONDS = 0.25
"""Search time of FixedDeadlines: a quarter of the latency target of the slowest routes."""
MIN_TARGET_WAIT_SECONDS = 0.1
"""Minimum wait of a read at one database while others can serve it: two round trips between regions
and several times the usual service time."""
TARGET_WAIT_FACTOR = 2.0
"""Factor of the expected completion at the next best database: a read waits that long at the
current one, or MIN_TARGET_WAIT_SECONDS if that is longer. Leaves a margin for a wrong estimate."""
MAX_REPLICA_WAIT_SECONDS = 0.25
"""Maximum wait of a read for a lagging replica, from its arrival. The lag is only predicted, and a
replica that receives no log at all never catches up."""
SETUP_TIMEOUT_SECONDS = 0.4
"""Time for the replies to the connection setup; after that the database is treated as silent
(docs/design/silence.md). Half of a statement timeout of 0.8 s, so that another one can be tried."""
QUEUED_SETUP_RATIO = 0.5
"""Ratio of the remaining search time that a setup may spend in the queue of another process. The
rest is for one attempt elsewhere if that process is silent."""
READ_ATTEMPT_RATIO = 0.5
"""Ratio of the remaining time for the first attempt of a read; the rerun gets an equal part."""
QUEUED_READ_RATIO = 0.7
"""Ratio of the remaining time for the first attempt of a read that may wait in the queue of another
process; the rest still suffices for a rerun."""
HOLDER_CHANGE_RATIO = 0.25
"""Ratio of the latency target: minimum search time after a holder became unresponsive."""


class StatementDeadlines:
    """Time limits derived from the statement's timeout and latency target.

    arrived: arrival of the statement. first_arrived: arrival of the first attempt if the session
    holds a ticket of an earlier refusal, otherwise `arrived`. deadline: end of the route's timeout;
    the client must have the reply before it. latest_start: latest start at a database that still
    meets `deadline`. in_time_until: latest start that still meets the route's latency target,
    counted from `first_arrived`. give_up_at: end of the search for a connection, initially
    `latest_start`. target_wait_until: end of the wait at the current database, earlier if another
    one can serve the read. Only the last two change, through the methods below.
    """

    __slots__ = (
        "_holder_change_seconds",
        "arrived",
        "deadline",
        "first_arrived",
        "give_up_at",
        "in_time_until",
        "latest_start",
        "target_wait_until",
    )

    def __init__(self, arrived: float, route: Route, ticket: Ticket | None) -> None:
        """`ticket`: issued to the session by an earlier refusal, None for none."""
        self.arrived = arrived
        self.first_arrived = effective_arrival(ticket, route.priority, arrived)
        self.deadline = arrived + route.statement_timeout
        self.latest_start = arrived + max(route.statement_timeout - NETWORK_ALLOWANCE_SECONDS, 0.0)
        self.in_time_until = self.first_arrived + route.target_latency - NETWORK_ALLOWANCE_SECONDS
        self.give_up_at = self._initial_give_up_at()
        self.target_wait_until = self.give_up_at
        self._holder_change_seconds = route.target_latency * HOLDER_CHANGE_RATIO

    def _initial_give_up_at(self) -> float:
        return self.latest_start

    def queue_deadlines(self, now: float) -> WaitDeadlines:
        """Returns the deadlines for the queue of a database that the statement enters now."""
        return WaitDeadlines(self.first_arrived, now, self.in_time_until, self.target_wait_until)

    @property
    def replica_wait_until(self) -> float:
        """End of the wait for a replica that has not yet applied the required position."""
        return min(self.give_up_at, self.arrived + MAX_REPLICA_WAIT_SECONDS)

    def begin_target_wait(self, now: float, alternative: Completion | None) -> None:
        """Sets the end of the wait at the database that the statement tries now.

        alternative: expected completion at the next best database, None if there is none.
        """
        self.target_wait_until = self.give_up_at
        if alternative is not None:
            wait_seconds = max(alternative.seconds * TARGET_WAIT_FACTOR, MIN_TARGET_WAIT_SECONDS)
            self.target_wait_until = min(self.give_up_at, now + wait_seconds)

    def extend_for_primary(self) -> None:
        """Extends the search while the group has no primary."""
        self.give_up_at = max(self.give_up_at, self.latest_start)

    def extend_for_next_holder(self, now: float) -> None:
        """Extends the search after the holder of the connection became unresponsive."""
        self.give_up_at = max(
            self.give_up_at, min(now + self._holder_change_seconds, self.deadline)
        )

    def extend_for_rerun(self) -> None:
        """Extends the search to the deadline for a read that is sent again."""
        self.give_up_at = self.deadline

    def setup_deadline(self, now: float, is_queued_elsewhere: bool) -> float:
        """Returns the end of the wait for the replies to the connection setup.

        is_queued_elsewhere: whether the setup may wait in the queue of another process.
        """
        limit = now + SETUP_TIMEOUT_SECONDS
        if is_queued_elsewhere:
            limit = max(limit, now + (self.give_up_at - now) * QUEUED_SETUP_RATIO)
        return limit

    def attempt_deadline(self, sent_at: float, is_queued_elsewhere: bool) -> float:
        """Returns the end of the wait for the reply to the first attempt of a read.

        All other attempts may last until `deadline`. sent_at: sending time of the read.
        """
        ratio = QUEUED_READ_RATIO if is_queued_elsewhere else READ_ATTEMPT_RATIO
        return sent_at + (self.deadline - sent_at) * ratio

    def slot_wait_until(self, limit: float) -> float:
        """Returns the end of the wait for a database slot at the holder of the connection."""
        return min(limit, self.target_wait_until)

    def set_connection_deadlines(
        self, connection: DatabaseConnection, is_pinned: bool, limit: float
    ) -> None:
        """Sets on the connection the deadlines that its holder receives with each statement.

        is_pinned: whether an open transaction already uses the connection. Such a statement has no
        limit here, since earlier work would be lost; the holder decides how long it waits.
        """
        connection.wait_until = math.inf if is_pinned else self.slot_wait_until(limit)
        connection.in_time_until = self.in_time_until
        connection.arrived = self.first_arrived


class FixedDeadlines(StatementDeadlines):
    """Time limits with a fixed search time; queues do not evaluate the wait.

    The search lasts FIXED_WAIT_SECONDS, or until `latest_start` while the group has no primary.
    """

    __slots__ = ()

    def _initial_give_up_at(self) -> float:
        return self.arrived + FIXED_WAIT_SECONDS

    def queue_deadlines(self, now: float) -> WaitDeadlines:
        """Returns deadlines without a latest start, so that the queue does not limit the wait."""
        return WaitDeadlines(now, now)
