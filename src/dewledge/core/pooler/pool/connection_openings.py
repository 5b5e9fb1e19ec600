"""The connections of one pool that are being opened, and whether the database can be reached.

Owns the openings under way by caller, and the generation of the route to the database.
Inputs: how each opening ended, and the steady clock in seconds.
Decision: the database counts as unreachable for a moment after an opening failed
(`OPEN_BACKOFF_SECONDS`, `LIMIT_BACKOFF_SECONDS`). What follows: nothing is opened meanwhile; a
statement that comes where no connection stands is denied; reads prefer other databases. Reason: a
database that refuses connections is not to be asked for one by each statement.

This judgement rests on openings alone and writes no log line. Others: `databases/database_silence`
(answers that fail to come, openings included), `databases/answer_watch`.
"""

from collections import Counter
from collections.abc import Callable

import msgspec

from dewledge.core.pooler.databases.database_silence import DatabaseSilence
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.opener import Opener
from dewledge.errors import ErrorCode

OPEN_BACKOFF_SECONDS = 0.25
"""Seconds after an opening failed in which none is tried."""
LIMIT_BACKOFF_SECONDS = 0.3
"""Seconds after the database refused an opening at its limit of connections."""
MOST_OPENED_AHEAD = 2
"""Connections opened at once for callers that wait for a slot: each takes some of the database's
power from statements, and one is open before a slot comes free for the next."""


class OpeningOutcomes(msgspec.Struct, frozen=True):
    """What is called for each opening, and when its connection ends.

    opened: with the connection and the seconds that it took. failed: if it could not be opened.
    closed: at the end of one that was opened.
    """

    opened: Callable[[DatabaseConnection, float], None]
    failed: Callable[[], None]
    closed: Callable[[DatabaseConnection], None]


class ConnectionOpenings:
    """Opens connections of one database; each ends in `opened` or `failed` of the outcomes."""

    def __init__(
        self,
        database_id: str,
        opener: Opener,
        clock: Callable[[], float],
        silence: DatabaseSilence,
        outcomes: OpeningOutcomes,
    ) -> None:
        """`silence`: is told what is awaited."""
        self.by_caller: Counter[str] = Counter()
        self.generation = 0
        """Of the route to the database; connections of an older route are not used again."""
        self._database_id = database_id
        self._opener = opener
        self._clock = clock
        self._silence = silence
        self._outcomes = outcomes
        self._not_before = 0.0

    @property
    def total(self) -> int:
        """How many are being opened."""
        return self.by_caller.total()

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempt failed a moment ago."""
        return self._clock() < self._not_before

    def may_open_ahead(self, caller: str) -> bool:
        """Tells whether one may be opened for a caller that waits for a slot and has none."""
        is_free = self.total < MOST_OPENED_AHEAD and not self.by_caller[caller]
        return is_free and not self.is_unreachable

    def forget_failure(self) -> None:
        """The database may be tried again at once."""
        self._not_before = 0.0

    def begin_generation(self) -> None:
        """The database is reached by another route: what was opened before is not used again."""
        self.generation += 1

    def open(self, caller: str) -> None:
        """Opens one for a caller."""
        self.by_caller[caller] += 1
        generation = self.generation
        began_at = self._clock()
        self._silence.opening_begins(began_at)

        def opened(connection: DatabaseConnection) -> None:
            connection.assign(caller, generation)
            self.by_caller[caller] -= 1
            self._silence.opening_ends(began_at)
            self._silence.note_sign()
            self._outcomes.opened(connection, self._clock() - began_at)

        def failed(code: ErrorCode) -> None:
            self.by_caller[caller] -= 1
            self._silence.opening_ends(began_at)
            is_limit = code is ErrorCode.CONNECTION_LIMIT
            backoff = LIMIT_BACKOFF_SECONDS if is_limit else OPEN_BACKOFF_SECONDS
            self._not_before = self._clock() + backoff
            self._outcomes.failed()

        self._opener.open(self._database_id, caller, opened, failed, self._outcomes.closed)
