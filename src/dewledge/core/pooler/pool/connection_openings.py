"""The connections of a pool that are being opened, and whether the database is reachable.

After an opening fails, the database counts as unreachable for a short time (`OPEN_BACKOFF_SECONDS`,
`LIMIT_BACKOFF_SECONDS`), so that not every statement causes another attempt. Until then no
connection is opened, a statement is denied if the pool has no connections, and reads prefer other
databases.

Only openings count here, and nothing is logged. Missing replies, including those to openings, are
judged by `databases/database_silence` and `databases/answer_watch`.
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.databases.database_silence import DatabaseSilence
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.opener import Opener
from dewledge.errors import ErrorCode

OPEN_BACKOFF_SECONDS = 0.25
"""Time after a failed opening in which no other connection is opened."""
LIMIT_BACKOFF_SECONDS = 0.3
"""Time without openings after the database refused one because of its connection limit."""
MAX_OPENED_AHEAD = 2
"""Connections; while this many are being opened, none is opened for a caller that was skipped in
the queue (`CallerOpenings.open_ahead`). Each opening takes database capacity from statements."""


class OpeningOutcomes(msgspec.Struct, frozen=True):
    """Callbacks for the outcome of each opening and the end of its connection.

    Attributes:
        opened: Called with the connection and the duration of the opening in seconds.
        failed: Called if the connection could not be opened.
        closed: Called when an opened connection ends.
    """

    opened: Callable[[DatabaseConnection, float], None]
    failed: Callable[[], None]
    closed: Callable[[DatabaseConnection], None]


class ConnectionOpenings:
    """Opens connections of a database; each opening ends with one call of `opened` or `failed`."""

    def __init__(
        self,
        database_id: str,
        opener: Opener,
        clock: Callable[[], float],
        silence: DatabaseSilence,
        outcomes: OpeningOutcomes,
    ) -> None:
        """Starts without openings. `silence` is informed when an opening starts and ends."""
        self.by_caller: Counter[str] = Counter()
        self.generation = 0
        """Generation of the route to the database; connections of an older one are not reused."""
        self._database_id = database_id
        self._opener = opener
        self._clock = clock
        self._silence = silence
        self._outcomes = outcomes
        self._next_attempt_at = 0.0

    @property
    def total(self) -> int:
        """The number of connections being opened."""
        return self.by_caller.total()

    @property
    def is_unreachable(self) -> bool:
        """Whether the database counts as unreachable after a failed opening."""
        return self._clock() < self._next_attempt_at

    def may_open_ahead(self, caller: str) -> bool:
        """Tells whether to open a connection for a caller that was skipped in the queue because it
        has none."""
        is_free = self.total < MAX_OPENED_AHEAD and not self.by_caller[caller]
        return is_free and not self.is_unreachable

    def clear_failure(self) -> None:
        """Allows openings again at once."""
        self._next_attempt_at = 0.0

    def begin_generation(self) -> None:
        """Starts a new route to the database; connections of the old one are not reused."""
        self.generation += 1

    def open(self, caller: str) -> None:
        """Opens a connection for a caller."""
        self.by_caller[caller] += 1
        generation = self.generation
        began_at = self._clock()
        self._silence.record_opening_started(began_at)

        def opened(connection: DatabaseConnection) -> None:
            connection.assign(caller, generation)
            self.by_caller[caller] -= 1
            self._silence.record_opening_ended(began_at)
            self._silence.record_answer()
            self._outcomes.opened(connection, self._clock() - began_at)

        def failed(code: ErrorCode) -> None:
            self.by_caller[caller] -= 1
            self._silence.record_opening_ended(began_at)
            is_limit = code is ErrorCode.CONNECTION_LIMIT
            backoff = LIMIT_BACKOFF_SECONDS if is_limit else OPEN_BACKOFF_SECONDS
            self._next_attempt_at = self._clock() + backoff
            self._outcomes.failed()

        self._opener.open(self._database_id, caller, opened, failed, self._outcomes.closed)
