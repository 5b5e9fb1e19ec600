"""The holder's end of a channel: one peer's statements on a shared database connection.

To the peer a channel looks like a connection to the database of its own. Values and prepared names
are kept here and given to whichever connection runs the next statement; a transaction keeps its
connection until it ends. What was surely not sent is answered as refused; a connection lost after
sending ends the channel, so that the peer, which knows what it sent, decides.
"""

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.load.wait_deadlines import FUTILE_SECONDS
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.scheduling import ScheduledCall
from dewledge.core.pooler.sessions.routes import NO_CALLER
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import PreparedShape, SessionState
from dewledge.core.pooler.sharing.channel_wait import MILLISECONDS, ChannelWait
from dewledge.core.pooler.sharing.messages import ChannelStatement, ProvenAge
from dewledge.core.pooler.sharing.primary_proof import PrimaryProof
from dewledge.core.pooler.statements.connection_setup import plan_setup, send_setup
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

SLOT_PAUSE_SECONDS = 0.01
"""Mean pause before a statement is sent once more that found no slot; drawn anew each time."""
SETUP_LIMIT_SECONDS = 0.3
MAX_PIPELINED = 300

_KEPT_HERE = frozenset(
    {
        StatementKind.SET_VALUE,
        StatementKind.PREPARE,
        StatementKind.DEALLOCATE,
        StatementKind.DISCARD,
    }
)


class ChannelTransport(Protocol):
    """Takes a channel's answers to the peer."""

    def send_reply(self, reply: Reply, proof: ProvenAge | None) -> None:
        """Answers the oldest statement that has no answer; with what is proven of the log."""

    def send_ended(self) -> None:
        """Tells that the channel is over; what has no answer is in doubt."""


class ChannelSession:
    """The state machine of one channel. Statements run one after the other."""

    def __init__(
        self,
        name: str,
        services: PoolServices,
        group: Group,
        database_id: str,
        transport: ChannelTransport,
        caller: str = NO_CALLER,
    ) -> None:
        """`caller`: whose statements come on this channel."""
        self._services = services
        self._group = group
        self._database_id = database_id
        self._pool: ConnectionPool = group.lending_pool(database_id)
        self._transport = transport
        self._state = SessionState(name, "")
        self._state.caller = caller
        self._queue: deque[ChannelStatement] = deque()
        self._current: ChannelStatement | None = None
        self._connection: DatabaseConnection | None = None
        self._wait = ChannelWait(services, group, database_id, self._given, self._refuse)
        self._timer: ScheduledCall | None = None
        self._is_open = False
        self._sent_at = 0.0
        self._slot_since = 0.0
        self._refuse_at = 0.0
        """Until then a statement may be sent again that found no slot."""
        self._lead = PrimaryProof()
        self._ended = False

    @property
    def at_rest(self) -> bool:
        """Whether nothing runs here and no transaction is open."""
        return self._current is None and self._connection is None

    def handle(self, message: ChannelStatement) -> None:
        """Takes the next statement of the peer."""
        if self._ended:
            return
        if len(self._queue) >= MAX_PIPELINED:
            self._end_channel()
            return
        self._queue.append(message)
        self._serve_queue()

    def close(self) -> None:
        """The peer gave the channel up, or its link is lost: rolls back what is open."""
        if self._ended:
            return
        self._ended = True
        self._queue.clear()
        self._clear_timer()
        self._wait.end()
        connection, self._connection = self._connection, None
        if connection is None:
            return
        if self._current is not None:
            connection.close()
            self._pool.release(connection)
        else:
            self._group.roll_back_on(connection, self._pool, self._services.scheduler)

    def _serve_queue(self) -> None:
        while self._queue and self._current is None and not self._ended:
            self._serve(self._queue.popleft())

    def _serve(self, message: ChannelStatement) -> None:
        statement = message.statement
        if statement.kind in _KEPT_HERE:
            self._change_session(statement)
            self._transport.send_reply(Reply(self._transaction_state), self._proven())
            return
        unknown = statement.kind is StatementKind.EXECUTE
        if unknown and statement.name not in self._state.prepared:
            self._refuse(Failure(ErrorCode.UNKNOWN_STATEMENT, "no such name"))
            return
        self._current = message
        self._refuse_at = self._services.scheduler.now() + self._wait.longest(message)
        if self._connection is not None:
            self._prepare(self._connection)
        else:
            self._acquire(message)

    def _change_session(self, statement: Statement) -> None:
        state = self._state
        if statement.kind is StatementKind.SET_VALUE:
            state.values[statement.name] = statement.argument
        elif statement.kind is StatementKind.PREPARE:
            shape = PreparedShape(statement.writes, statement.argument)
            state.prepared[statement.name] = shape
        elif statement.kind is StatementKind.DEALLOCATE:
            state.prepared.pop(statement.name, None)
        else:
            state.values.clear()
            state.prepared.clear()

    # Getting a connection.

    def _acquire(self, message: ChannelStatement) -> None:
        if self._services.is_ending or not self._group.may_serve(self._database_id):
            self._refuse(Failure(ErrorCode.OVERLOADED, "not served here any more"))
            return
        self._pool = self._group.lending_pool(self._database_id)
        self._wait.begin(self._pool, message, self._state)

    def _given(self, connection: DatabaseConnection) -> None:
        self._connection = connection
        self._prepare(connection)

    # Running the statement.

    def _prepare(self, connection: DatabaseConnection) -> None:
        message = self._current
        assert message is not None
        steps = plan_setup(self._state, connection, message.statement, self._is_open)
        if not steps:
            self._send(connection, message.statement, message.floor)
            return
        self._limit(SETUP_LIMIT_SECONDS, self._setup_silent)
        send_setup(connection, steps, None, None, self._set_up)

    def _set_up(self, verdict: Reply | None | bool) -> None:
        connection, message = self._connection, self._current
        if self._ended or connection is None or message is None:
            return
        self._clear_timer()
        if verdict is True:
            self._send(connection, message.statement, message.floor)
        else:
            self._lose_before_sending(connection)

    def _setup_silent(self) -> None:
        if self._connection is not None:
            self._services.suspect(self._group.view.name, self._database_id)
            self._lose_before_sending(self._connection)

    def _lose_before_sending(self, connection: DatabaseConnection) -> None:
        self._drop(connection)
        if self._is_open:
            self._end_channel()
        else:
            self._refuse(Failure(ErrorCode.DATABASE_UNREACHABLE, "the connection was lost before"))

    def _send(
        self,
        connection: DatabaseConnection,
        statement: Statement,
        floor: LogPosition | None,
        is_again: bool = False,
    ) -> None:
        self._sent_at = self._services.scheduler.now()
        if not is_again:
            self._slot_since = self._sent_at
        connection.send(statement, self._answered, floor)

    def _answered(self, reply: Reply | None) -> None:
        connection = self._connection
        if self._ended or connection is None:
            return
        if reply is None:
            self._drop(connection)
            self._end_channel()
            return
        if self._current is not None:
            held = self._services.scheduler.now() - self._slot_since
            self._pool.note_answer(self._current.statement.kind, reply, held, connection)
        if self._finds_no_slot(reply):
            pause = SLOT_PAUSE_SECONDS * random.uniform(0.5, 1.5)
            self._limit(pause, lambda: self._send_again(connection))
            return
        if not self._is_open and _is_full(reply):
            reply = self._with_return(reply)
        self._learn(connection, reply)
        self._is_open = reply.state is not TransactionState.IDLE
        if not self._is_open:
            self._connection = None
            self._pool.release(connection)
        self._answer(reply)

    def _finds_no_slot(self, reply: Reply) -> bool:
        """Tells whether the database refused for want of a slot, and may be asked once more.

        The statement keeps its connection: those that come later stand behind it. One in a
        transaction has cost work already, which a refusal would throw away.
        """
        if not _is_full(reply):
            return False
        is_unchanged = reply.state is self._transaction_state
        now = self._services.scheduler.now()
        return is_unchanged and now < self._refuse_at and not self._is_futile(now)

    def _is_futile(self, now: float) -> bool:
        """Tells whether the database has run nothing of this process for as long as one may try.

        One in a transaction goes on to its end.
        """
        if self._is_open or not self._services.load_policy.useful_waits:
            return False
        return now - max(self._slot_since, self._pool.served_at) >= FUTILE_SECONDS

    def _with_return(self, reply: Reply) -> Reply:
        """Adds the moment of return to the refusal of a statement that got no slot in its time."""
        if not self._services.load_policy.useful_waits:
            return reply
        come_back_ms = math.ceil(self._pool.promise_return() * MILLISECONDS)
        failure = Failure(ErrorCode.OVERLOADED, RefusalCause.NO_ROOM_IN_TIME, come_back_ms)
        return Reply(reply.state, failure=failure, position=reply.position)

    def _send_again(self, connection: DatabaseConnection) -> None:
        message = self._current
        if not self._ended and message is not None and connection is self._connection:
            self._timer = None
            self._send(connection, message.statement, message.floor, is_again=True)

    def _learn(self, connection: DatabaseConnection, reply: Reply) -> None:
        code = None if reply.failure is None else reply.failure.code
        if code is None and self._current is not None and reply.position is not None:
            statement = self._current.statement
            writes = statement.kind is StatementKind.WRITE or self._shape_writes(statement)
            proves = self._lead.proves(statement.kind, writes)
            if proves and self._group.may_lead(connection.database_id):
                self._group.record_proof(self._sent_at, reply.position)
        if code is ErrorCode.NOT_PRIMARY:
            self._group.refute_primary(connection.database_id)
        elif code is ErrorCode.UNKNOWN_STATEMENT:
            connection.prepared.clear()

    def _shape_writes(self, statement: Statement) -> bool:
        shape = self._state.prepared.get(statement.name)
        return statement.kind is StatementKind.EXECUTE and shape is not None and shape.writes

    def _proven(self) -> ProvenAge | None:
        newest = self._group.history.newest
        if newest is None:
            return None
        return ProvenAge(newest.position, self._services.scheduler.now() - newest.sent_at)

    # Ending.

    @property
    def _transaction_state(self) -> TransactionState:
        return TransactionState.OPEN if self._is_open else TransactionState.IDLE

    def _refuse(self, failure: Failure) -> None:
        self._answer(Reply(self._transaction_state, failure=failure))

    def _answer(self, reply: Reply) -> None:
        self._current = None
        self._transport.send_reply(reply, self._proven())
        self._serve_queue()

    def _drop(self, connection: DatabaseConnection) -> None:
        self._connection = None
        connection.close()
        self._pool.release(connection)

    def _end_channel(self) -> None:
        self.close()
        self._transport.send_ended()

    def _limit(self, seconds: float, callback: Callable[[], None]) -> None:
        self._clear_timer()
        self._timer = self._services.scheduler.call_later(seconds, callback)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _is_full(reply: Reply) -> bool:
    return reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED
