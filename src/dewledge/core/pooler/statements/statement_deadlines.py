"""Until when may this statement wait? All moments of one statement, computed here and only here.

Inputs: when the statement came, its route (timeout, latency target; seconds), the ticket of its
session, and what happens on its way. All moments are of the process's steady clock, in seconds.

- `arrived`: when the statement came.
- `first_arrived`: when its operation first came, refusals included, by the session's ticket.
- `deadline`: `arrived` + the route's timeout; by then the client has been answered.
- `latest_start`: `deadline` - WAY_SECONDS; a start at a database until then is answered in time.
- `in_time_until`: `first_arrived` + the latency target - WAY_SECONDS; a start until then is
  answered within the target.
- `give_up_at`: until then it seeks a connection. `latest_start` at first, later for one whose
  holder fell silent and in a rerun. Without useful waits FIXED_WAIT_SECONDS after `arrived`, and
  `latest_start` while there is no primary.
- `turn_ends_at`: until then it waits for a slot of its present target, while another may serve it.
- `hold_until`: until then a read is kept for a replica that lacks its position.
- `set_up_limit`: until then the answer to what prepares the connection is awaited.
- `attempt_limit`: until then the answer to a read that was not rerun yet is awaited; the answer to
  any other statement until `deadline`.

Reason: a wait that ends too late to be answered takes a place from one that can be served, and a
step that takes all the time leaves none for another database.
"""

import math

from dewledge.core.pooler.load.choice import Completion
from dewledge.core.pooler.load.ticket import Ticket, arrival_of
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Route

WAY_SECONDS = 0.1
"""Seconds of a statement's time for its way to a database of another region, the answer's way back
to the client, and a busy process at each end: two round trips of 40 ms."""
FIXED_WAIT_SECONDS = 0.25
"""Seconds that a statement seeks a connection where waits aren't judged by use: a quarter of the
latency that the slowest routes aim at."""
LEAST_TURN_SECONDS = 0.1
"""Seconds that a read waits before one database at least, though another may serve it: some times
the work of a statement, and two round trips between regions."""
TURN_COMPLETIONS = 2.0
"""Factor; a read waits before one database no longer than so many times what the next best was
expected to take in all; by then it would have been served there even if that was expected wrongly
by as much; see LEAST_TURN_SECONDS."""
LONGEST_HOLD_SECONDS = 0.25
"""Seconds from its arrival in which a read is kept for a lagging replica: a lag is foreseen from
the last answers, and one of a replica that receives nothing grows with each moment it is waited
for."""
SETUP_LIMIT_SECONDS = 0.4
"""Seconds in which what prepares a connection is answered, else the database counts as silent
(docs/design/silence.md): some round trips between regions, and half of a timeout of 0.8 s, so that
time is left for another database."""
QUEUED_SETUP_SHARE = 0.5
"""Ratio; share of the time that is left to seek a connection: what begins a transaction through
another process may stand in that one's queue for so long; the rest is for one try elsewhere if that
process is silent."""
READ_ATTEMPT_SHARE = 0.5
"""Ratio; share of the time that is left: a read without an answer by then is tried once more
elsewhere. Both attempts get as much."""
QUEUED_READ_SHARE = 0.7
"""Ratio; the same share through another process, where the read may stand in a queue: what is left
is some times the work of a read; see QUEUED_SETUP_SHARE."""
MOVED_WAIT_SHARE = 0.25
"""Ratio; share of the latency target: for so long a statement whose holder fell silent seeks
another connection, at least; the time that the first one took was not the next one's."""


class StatementDeadlines:
    """The moments of a statement whose waits are judged by use.

    Only `give_up_at` and `turn_ends_at` move, each by the methods below.
    """

    __slots__ = (
        "_moved_wait",
        "arrived",
        "deadline",
        "first_arrived",
        "give_up_at",
        "in_time_until",
        "latest_start",
        "turn_ends_at",
    )

    def __init__(self, arrived: float, route: Route, ticket: Ticket | None) -> None:
        """`ticket`: of the session, from an earlier refusal."""
        self.arrived = arrived
        self.first_arrived = arrival_of(ticket, route.priority, arrived)
        self.deadline = arrived + route.statement_timeout
        self.latest_start = arrived + max(route.statement_timeout - WAY_SECONDS, 0.0)
        self.in_time_until = self.first_arrived + route.target_latency - WAY_SECONDS
        self.give_up_at = self._first_give_up_at()
        self.turn_ends_at = self.give_up_at
        self._moved_wait = route.target_latency * MOVED_WAIT_SHARE

    def _first_give_up_at(self) -> float:
        return self.latest_start

    def in_queue(self, now: float) -> WaitDeadlines:
        """Returns what the queue of a database is told, where the statement begins to wait now."""
        return WaitDeadlines(self.first_arrived, now, self.in_time_until, self.turn_ends_at)

    @property
    def hold_until(self) -> float:
        """Until when a read is kept for a replica that will have its position."""
        return min(self.give_up_at, self.arrived + LONGEST_HOLD_SECONDS)

    def begin_turn(self, now: float, alternative: Completion | None) -> None:
        """It begins to wait before a target; `alternative` is what the next best takes, if any."""
        self.turn_ends_at = self.give_up_at
        if alternative is not None:
            turn = max(alternative.seconds * TURN_COMPLETIONS, LEAST_TURN_SECONDS)
            self.turn_ends_at = min(self.give_up_at, now + turn)

    def wait_for_primary(self) -> None:
        """There is no primary: it may wait for the next one."""
        self.give_up_at = max(self.give_up_at, self.latest_start)

    def seek_next_holder(self, now: float) -> None:
        """Its holder fell silent: it gets time to find another one."""
        self.give_up_at = max(self.give_up_at, min(now + self._moved_wait, self.deadline))

    def rerun(self) -> None:
        """It is a read that is sent once more: all the time that is left is for that."""
        self.give_up_at = self.deadline

    def set_up_limit(self, now: float, is_queued_elsewhere: bool) -> float:
        """Returns until when the answer to what prepares the connection is awaited.

        is_queued_elsewhere: whether another process may have it wait in its queue.
        """
        limit = now + SETUP_LIMIT_SECONDS
        if is_queued_elsewhere:
            limit = max(limit, now + (self.give_up_at - now) * QUEUED_SETUP_SHARE)
        return limit

    def attempt_limit(self, sent_at: float, is_queued_elsewhere: bool) -> float:
        """Returns until when the answer to a read that can be tried once more is awaited.

        The answer to anything else is awaited until the deadline. sent_at: when it was sent.
        """
        share = QUEUED_READ_SHARE if is_queued_elsewhere else READ_ATTEMPT_SHARE
        return sent_at + (self.deadline - sent_at) * share

    def slot_wait_until(self, limit: float) -> float:
        """Returns until when a process that carries the connection may have the statement wait."""
        return min(limit, self.turn_ends_at)

    def tell_holder(self, connection: DatabaseConnection, is_pinned: bool, limit: float) -> None:
        """Has the connection carry the moments that the process which holds it is told.

        is_pinned: of a transaction that has its connection. It has cost work already: how long it
        waits is the holder's to say.
        """
        connection.wait_until = math.inf if is_pinned else self.slot_wait_until(limit)
        connection.in_time_until = self.in_time_until
        connection.arrived = self.first_arrived


class FixedDeadlines(StatementDeadlines):
    """The moments of a statement that seeks a connection for a fixed time."""

    __slots__ = ()

    def _first_give_up_at(self) -> float:
        return self.arrived + FIXED_WAIT_SECONDS

    def in_queue(self, now: float) -> WaitDeadlines:
        """Returns deadlines without an end: the queue does not judge the wait."""
        return WaitDeadlines(now, now)
