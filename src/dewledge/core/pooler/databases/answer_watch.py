"""Whether a database is suspect because one statement gets no answer: one of five judgements.

Inputs: when something of this statement was last sent, and when any statement of this process last
had an answer of the database (steady clock, seconds).
Decision: after `SUSPECT_AFTER_SECONDS` without any answer the database is suspect, and so is one
from which no answer came between the sending and the statement's own timeout.
What follows: the process has the database's address tested (`failover/`), nothing else. The
statement itself waits on. Reason: a statement without an answer is no sign of a lost database while
others get theirs, since a full database answers late; and each test costs a full database more.

The other judgements: `database_silence` (statements no longer wait before a pool),
`pool/connection_openings` (the last opening failed), `load/shown_failures` (reads prefer other
databases), `load/holder_health` (a process that holds connections, not a database).
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.statements.held_connection import HeldConnection
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.errors import ErrorCode

_FAILURES = frozenset(
    {ErrorCode.DATABASE_UNREACHABLE, ErrorCode.OVERLOADED, ErrorCode.STATEMENT_TIMEOUT}
)
"""Codes of answers that show that a database can't serve. One whose log is behind is judged by its
lag (`replica_lag`)."""

SUSPECT_AFTER_SECONDS = 0.25
"""Seconds without any answer of a database, after which it is suspect: some round trips between
regions and the work of the longest statements, and well under the time in which a lost primary is
to be replaced. """


class AnswerWatch:
    """Watches the wait of one statement; `begin` starts it anew."""

    def __init__(self, scheduler: Scheduler, group: Group, held: HeldConnection) -> None:
        self._scheduler = scheduler
        self._group = group
        self._held = held
        self.began_at = 0.0

    def begin(self) -> None:
        """Something is sent to the database now."""
        self.began_at = self._scheduler.now()

    def take(self, reply: Reply | None, statement: Statement | None) -> None:
        """Notes what an answer shows: that the database is there, how far its log is, its slots.

        statement: what was answered; None for what the proxy sent of its own before it.
        """
        database_id = self._held.database_id
        if not database_id:
            return
        self._note_outcome(has_failed=reply is None or _fails(reply))
        if reply is None:
            return
        if reply.position is not None:
            self._group.observe_position(database_id, reply.position)
        if statement is not None:
            held = self._scheduler.now() - self.began_at
            pool = self._group.pool(database_id)
            pool.note_answer(statement.kind, reply, held, self._held.connection)

    def look(self, again: Callable[[float], None]) -> None:
        """Suspects a database that has been silent for long enough, else looks `again` later."""
        if self._held.connection is None:
            return
        silent_since = max(self.began_at, self._group.heard_at(self._held.database_id))
        remaining = silent_since + SUSPECT_AFTER_SECONDS - self._scheduler.now()
        if remaining > 0:
            again(remaining)
        else:
            self._held.suspect()

    def limit_passed(self) -> None:
        """The statement waits no longer: suspects a database that no answer has come from."""
        self._note_outcome(has_failed=True)
        if self._group.heard_at(self._held.database_id) <= self.began_at:
            self._held.suspect()

    def _note_outcome(self, has_failed: bool) -> None:
        elapsed = self._scheduler.now() - self.began_at
        self._group.note_outcome(self._held.database_id, has_failed, elapsed)


def _fails(reply: Reply) -> bool:
    return reply.failure is not None and reply.failure.code in _FAILURES
