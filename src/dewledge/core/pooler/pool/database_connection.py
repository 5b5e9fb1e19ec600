"""One connection to a database: statements in order, and the session state that it holds.

Owns what awaits an answer and what is known of the statement that holds the connection. The bytes
are carried by a `DatabaseTransport`, which the shell provides.
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.load.wait_queue import Charge
from dewledge.core.pooler.statements.statements import (
    OWN_STATEMENT_ID,
    Reply,
    Statement,
    StatementKind,
)
from dewledge.core.shared.positions import LogPosition

ReplyCallback = Callable[[Reply | None], None]
"""Called with the answer, or with None if the connection ended without one."""


def ignore_holder(_state: HolderState) -> None:
    """Nobody holds the connection."""


class DatabaseTransport(Protocol):
    """Carries statements to a database; the shell meets it."""

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends one statement; its answer comes later, in order."""

    def close(self) -> None:
        """Ends the connection at once; the database rolls back what is open."""


class DatabaseConnection:
    """A connection whose STARTUP succeeded. It is used by one client statement at a time."""

    def __init__(self, database_id: str, transport: DatabaseTransport) -> None:
        self.database_id = database_id
        self.caller = ""
        """Whose statements it carries, as the database was told; empty for the proxy's own name."""
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.closed = False
        self.idle_since = 0.0
        self.generation = 0
        """Of the pool's route to the database; connections of an older one are not used again."""
        self.priority = 0
        """Of the statement that holds the connection."""
        self.wait_until = math.inf
        """Until then its statement may wait for a slot elsewhere; steady clock, seconds."""
        self.in_time_until = math.inf
        """Until then its statement may start to be answered within its latency target."""
        self.arrived = math.inf
        """When the operation of its statement first came; infinite where that is not known."""
        self.lent_at = 0.0
        """When the connection was given to the statement that holds it."""
        self.charge: Charge | None = None
        """What its caller was charged for the statement that holds it."""
        self.is_single = False
        """Whether the statement that holds the connection is a single one."""
        self.is_retiring = False
        """Whether what carries the connection ends soon: it is not given out again."""
        self.holder_judged: Callable[[HolderState], None] = ignore_holder
        """Called when the process that carries the connection is judged anew."""
        self._transport = transport
        self._waiting: deque[ReplyCallback] = deque()

    @property
    def unanswered(self) -> int:
        """The statements sent whose answers have not come."""
        return len(self._waiting)

    def assign(self, caller: str, generation: int) -> None:
        """It was opened for a caller, by the route of a generation."""
        self.caller = caller
        self.generation = generation

    def lend(self, charge: Charge, at: float, is_single: bool, priority: int) -> None:
        """A statement holds it from `at` on (steady clock, seconds)."""
        self.charge = charge
        self.lent_at = at
        self.is_single = is_single
        self.priority = priority

    def end_loan(self) -> None:
        """No statement holds it any more."""
        self.is_single = False

    def rest(self, since: float) -> None:
        """It is idle from `since` on (steady clock, seconds)."""
        self.idle_since = since

    def send(
        self, statement: Statement, callback: ReplyCallback, floor: LogPosition | None = None
    ) -> None:
        """Sends a statement; `callback` is called once."""
        if self.closed:
            callback(None)
            return
        self._waiting.append(callback)
        self._transport.send(statement, floor)

    def send_own(
        self, kind: StatementKind, callback: ReplyCallback, name: str = "", argument: str = ""
    ) -> None:
        """Sends a statement of the proxy's own."""
        self.send(Statement(OWN_STATEMENT_ID, kind, name=name, argument=argument), callback)

    def on_reply(self, reply: Reply) -> None:
        """Takes the next answer."""
        if self._waiting:
            self._waiting.popleft()(reply)

    def on_closed(self) -> None:
        """Notes the end of the connection; whoever waits is told."""
        self.closed = True
        waiting, self._waiting = self._waiting, deque()
        for callback in waiting:
            callback(None)

    def close(self) -> None:
        """Ends the connection without telling those who wait."""
        self._waiting.clear()
        if not self.closed:
            self.closed = True
            self._transport.close()
