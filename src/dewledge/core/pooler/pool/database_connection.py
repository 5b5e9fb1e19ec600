"""A connection to a database: sends statements, matches replies in order, holds session state.

The shell transports the bytes (`DatabaseTransport`).
"""

import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.load.wait_queue import Charge
from dewledge.core.pooler.statements.statements import (
    PROXY_STATEMENT_ID,
    Reply,
    Statement,
    StatementKind,
)
from dewledge.core.shared.positions import LogPosition

ReplyCallback = Callable[[Reply | None], None]
"""Called with the reply, or with None if the connection ended without one."""


def ignore_holder_state(_state: HolderState) -> None:
    """Ignores a change of the holder's state; the default of `DatabaseConnection.holder_judged`."""


class DatabaseTransport(Protocol):
    """Sends statements to a database; implemented by the shell."""

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends a statement; replies arrive later, in the order of sending."""

    def close(self) -> None:
        """Closes the connection at once; the database rolls back an open transaction."""


class DatabaseConnection:
    """An opened connection, used by one client statement or transaction at a time."""

    def __init__(self, database_id: str, transport: DatabaseTransport) -> None:
        self.database_id = database_id
        self.caller = ""
        """The caller whose statements the connection carries, as announced to the database; empty
        for the proxy itself."""
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.closed = False
        self.idle_since = 0.0
        self.generation = 0
        """Generation of the pool's route to the database; connections of an older one are not
        reused."""
        self.priority = 0
        """Priority of the statement that uses the connection."""
        self.wait_until = math.inf
        """Until when the current statement may wait for a slot in another process; steady clock in
        seconds."""
        self.in_time_until = math.inf
        """Latest start of the current statement that meets the latency target."""
        self.arrived = math.inf
        """When the operation of the current statement was first attempted; infinite if unknown."""
        self.loan_began_at = 0.0
        """When the connection was assigned to its current statement."""
        self.charge: Charge | None = None
        """What the caller was charged for the current statement."""
        self.is_single = False
        """Whether the connection is used by a single statement and not by a transaction."""
        self.is_retiring = False
        """Whether the connection is not assigned again for now, because its link will close or the
        process at the other end of the link does not reply."""
        self.on_holder_state: Callable[[HolderState], None] = ignore_holder_state
        """Called when the state of the process that holds the connection changes."""
        self._transport = transport
        self._callbacks: deque[ReplyCallback] = deque()

    @property
    def unanswered_count(self) -> int:
        """The number of statements sent whose replies are outstanding."""
        return len(self._callbacks)

    def assign(self, caller: str, generation: int) -> None:
        """Records the caller for whom the connection was opened, and the generation of the
        route."""
        self.caller = caller
        self.generation = generation

    def begin_loan(self, charge: Charge, at: float, is_single: bool, priority: int) -> None:
        """Records that a statement uses the connection from `at` on (steady clock, seconds)."""
        self.charge = charge
        self.loan_began_at = at
        self.is_single = is_single
        self.priority = priority

    def end_loan(self) -> None:
        """Records that no statement uses the connection."""
        self.is_single = False

    def mark_idle(self, since: float) -> None:
        """Records that the connection is idle from `since` on (steady clock, seconds)."""
        self.idle_since = since

    def send(
        self, statement: Statement, callback: ReplyCallback, floor: LogPosition | None = None
    ) -> None:
        """Sends a statement. `callback` is called once, or never if `close` is called before the
        reply."""
        if self.closed:
            callback(None)
            return
        self._callbacks.append(callback)
        self._transport.send(statement, floor)

    def send_internal(
        self, kind: StatementKind, callback: ReplyCallback, name: str = "", argument: str = ""
    ) -> None:
        """Sends an internal statement of the proxy."""
        self.send(Statement(PROXY_STATEMENT_ID, kind, name=name, argument=argument), callback)

    def on_reply(self, reply: Reply) -> None:
        """Passes a reply to the callback of the oldest unanswered statement."""
        if self._callbacks:
            self._callbacks.popleft()(reply)

    def on_closed(self) -> None:
        """Records the end of the connection and calls the outstanding callbacks with None."""
        self.closed = True
        callbacks, self._callbacks = self._callbacks, deque()
        for callback in callbacks:
            callback(None)

    def close(self) -> None:
        """Closes the connection without calling outstanding callbacks."""
        self._callbacks.clear()
        if not self.closed:
            self.closed = True
            self._transport.close()
