"""Reports a database as suspect when a statement gets no answer from it.

The database becomes suspect after `SUSPECT_AFTER_SECONDS` without an answer to any statement of
this process, or when the statement times out and the database has answered nothing since it was
sent. Answers to other statements prevent this, because an overloaded database answers late and each
check adds to its load. A suspect database only has its address checked (`failover/`); the statement
keeps waiting.

Related checks: `database_silence` (stops queueing in a pool), `pool/connection_openings` (failed
openings), `load/recent_failures` (order of databases for reads), `load/holder_health` (processes).
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.statements.borrowed_connection import BorrowedConnection
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.errors import ErrorCode

_FAILURE_CODES = frozenset(
    {ErrorCode.DATABASE_UNREACHABLE, ErrorCode.OVERLOADED, ErrorCode.STATEMENT_TIMEOUT}
)
"""Error codes that count as a failure of the database. A replica that lags behind is not a failure;
`replica_lag` handles it."""

SUSPECT_AFTER_SECONDS = 0.25
"""Seconds without any answer after which a database is suspect. Covers several round trips between
regions plus the longest statements, and leaves time to replace a lost primary. Counting from this
statement alone would open many more connections, because each late answer starts a check."""


class AnswerWatch:
    """Watches for the answer to one statement. `begin` restarts the watch at each send."""

    def __init__(
        self, scheduler: Scheduler, group: Group, held_connection: BorrowedConnection
    ) -> None:
        self._scheduler = scheduler
        self._group = group
        self._held_connection = held_connection
        self.sent_at = 0.0

    def begin(self) -> None:
        """Restarts the watch: a request is sent to the database now."""
        self.sent_at = self._scheduler.now()

    def record_reply(self, reply: Reply | None, statement: Statement | None) -> None:
        """Records an answer: success or failure, the database's log position, the time it took.

        reply: None if the connection ended without an answer. statement: the statement that was
        answered; None for a request of the connection setup, which does not count for the pool.
        """
        database_id = self._held_connection.database_id
        if not database_id:
            return
        self._record_outcome(has_failed=reply is None or _is_failure(reply))
        if reply is None:
            return
        if reply.position is not None:
            self._group.observe_position(database_id, reply.position)
        if statement is not None:
            held_seconds = self._scheduler.now() - self.sent_at
            pool = self._group.pool(database_id)
            pool.record_answer(
                statement.kind, reply, held_seconds, self._held_connection.connection
            )

    def check(self, reschedule: Callable[[float], None]) -> None:
        """Reports the database as suspect if its answer is overdue, else reschedules the check.

        reschedule: schedules the next check after a delay in seconds.
        """
        if self._held_connection.connection is None:
            return
        silent_since = max(
            self.sent_at, self._group.last_answer_at(self._held_connection.database_id)
        )
        remaining = silent_since + SUSPECT_AFTER_SECONDS - self._scheduler.now()
        if remaining > 0:
            reschedule(remaining)
        else:
            self._held_connection.suspect()

    def on_timeout(self) -> None:
        """Records that the statement timed out, which counts as a failure.

        Reports the database as suspect if it has answered nothing since the statement was sent.
        """
        self._record_outcome(has_failed=True)
        if self._group.last_answer_at(self._held_connection.database_id) <= self.sent_at:
            self._held_connection.suspect()

    def _record_outcome(self, has_failed: bool) -> None:
        elapsed = self._scheduler.now() - self.sent_at
        self._group.record_outcome(self._held_connection.database_id, has_failed, elapsed)


def _is_failure(reply: Reply) -> bool:
    return reply.failure is not None and reply.failure.code in _FAILURE_CODES
