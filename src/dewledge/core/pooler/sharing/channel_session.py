"""The holder's end of a channel: one peer's statements on a shared database connection.

To the peer a channel looks like a connection to the database of its own. Values and prepared names
are kept here and given to whichever connection runs the next statement; a transaction keeps its
connection until it ends. What was surely not sent is answered as refused; a connection lost after
sending ends the channel, so that the peer, which knows what it sent, decides.

Owns the queue of the peer's statements, the statement under way and its connection. Relies on
`channel_wait` for a connection, `kept_session` for what the peer has set, `slot_retry` for what is
sent once more, `channel_proofs` for what answers prove.
"""

from collections import deque
from typing import Protocol

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.channel_proofs import ChannelProofs
from dewledge.core.pooler.sharing.channel_wait import ChannelWait
from dewledge.core.pooler.sharing.kept_session import KeptSession
from dewledge.core.pooler.sharing.messages import ChannelStatement, ProvenAge
from dewledge.core.pooler.sharing.single_timer import SingleTimer
from dewledge.core.pooler.sharing.slot_retry import SlotRetry, is_full
from dewledge.core.pooler.statements.connection_setup import plan_setup, send_setup
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

SETUP_LIMIT_SECONDS = 0.3
"""For the setup of a connection; less than a peer gives its own (0.4 s)."""
MAX_PIPELINED = 300
"""Statements of a peer that wait on one channel: one statement and its setup are at most 256 values
(MAX_VALUES), a discard and a prepared name. """


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
        self._pool: ConnectionPool = group.peer_pool(database_id)
        self._transport = transport
        self._kept = KeptSession(name, caller)
        self._queue: deque[ChannelStatement] = deque()
        self._current: ChannelStatement | None = None
        self._connection: DatabaseConnection | None = None
        self._wait = ChannelWait(services, group, database_id, self._given, self._refuse)
        self._timer = SingleTimer(services.scheduler)
        self._slots = SlotRetry(services)
        self._proofs = ChannelProofs(group, services.scheduler.now)
        self._is_open = False
        self._sent_at = 0.0
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
        self._timer.clear()
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
        if self._kept.keeps(statement):
            self._kept.change(statement)
            self._transport.send_reply(Reply(self._transaction_state), self._proofs.newest())
            return
        if self._kept.lacks_name_of(statement):
            self._refuse(Failure(ErrorCode.UNKNOWN_STATEMENT, "no such name"))
            return
        self._current = message
        self._slots.allow(self._wait.longest(message))
        if self._connection is not None:
            self._prepare(self._connection)
        else:
            self._acquire(message)

    # Getting a connection.

    def _acquire(self, message: ChannelStatement) -> None:
        if self._services.is_ending or not self._group.may_serve(self._database_id):
            self._refuse(Failure(ErrorCode.OVERLOADED, "not served here any more"))
            return
        self._pool = self._group.peer_pool(self._database_id)
        self._wait.begin(self._pool, message, self._kept.state)

    def _given(self, connection: DatabaseConnection) -> None:
        self._connection = connection
        self._prepare(connection)

    # Running the statement.

    def _prepare(self, connection: DatabaseConnection) -> None:
        message = self._current
        assert message is not None
        steps = plan_setup(self._kept.state, connection, message.statement, self._is_open)
        if not steps:
            self._send(connection, message.statement, message.floor)
            return
        self._timer.start(SETUP_LIMIT_SECONDS, self._setup_silent)
        send_setup(connection, steps, None, None, self._set_up)

    def _set_up(self, verdict: Reply | None | bool) -> None:
        connection, message = self._connection, self._current
        if self._ended or connection is None or message is None:
            return
        self._timer.clear()
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
            self._slots.first_sent(self._sent_at)
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
            kind = self._current.statement.kind
            self._pool.note_answer(kind, reply, self._slots.held_seconds, connection)
        if self._slots.is_due(reply, self._transaction_state, self._pool):
            self._timer.start(self._slots.pause(), lambda: self._send_again(connection))
            return
        if not self._is_open and is_full(reply):
            reply = self._slots.with_return(reply, self._pool)
        self._learn(connection, reply)
        self._finish(connection, reply)

    def _finish(self, connection: DatabaseConnection, reply: Reply) -> None:
        self._is_open = reply.state is not TransactionState.IDLE
        if not self._is_open:
            self._connection = None
            self._pool.release(connection)
        self._answer(reply)

    def _send_again(self, connection: DatabaseConnection) -> None:
        message = self._current
        if not self._ended and message is not None and connection is self._connection:
            self._send(connection, message.statement, message.floor, is_again=True)

    def _learn(self, connection: DatabaseConnection, reply: Reply) -> None:
        statement = None if self._current is None else self._current.statement
        writes = statement is not None and self._kept.writes(statement)
        self._proofs.learn(connection, reply, statement, writes, self._sent_at)

    # Ending.

    @property
    def _transaction_state(self) -> TransactionState:
        return TransactionState.OPEN if self._is_open else TransactionState.IDLE

    def _refuse(self, failure: Failure) -> None:
        self._answer(Reply(self._transaction_state, failure=failure))

    def _answer(self, reply: Reply) -> None:
        self._current = None
        self._transport.send_reply(reply, self._proofs.newest())
        self._serve_queue()

    def _drop(self, connection: DatabaseConnection) -> None:
        self._connection = None
        connection.close()
        self._pool.release(connection)

    def _end_channel(self) -> None:
        self.close()
        self._transport.send_ended()
