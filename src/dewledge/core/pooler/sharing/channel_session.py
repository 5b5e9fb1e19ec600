"""The holder's end of a channel: runs one peer's statements on shared database connections.

To the peer a channel behaves like a dedicated connection to the database. Session values and
prepared statements are stored here and applied to the connection that runs the next statement; a
transaction keeps its connection until it ends. A statement that was certainly not sent is answered
with a failure. If the connection is lost after sending, the channel ends and the peer decides what
to do with the statement. `channel_wait` waits for a connection, `slot_retry` resends statements
that found no free slot, and `channel_proofs` evaluates answers.
"""

from collections import deque
from typing import Protocol

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import NO_CALLER
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.channel_proofs import ChannelProofs
from dewledge.core.pooler.sharing.channel_state import ChannelState
from dewledge.core.pooler.sharing.channel_wait import ChannelWait
from dewledge.core.pooler.sharing.messages import ChannelStatement, ProvenAge
from dewledge.core.pooler.sharing.single_timer import SingleTimer
from dewledge.core.pooler.sharing.slot_retry import SlotRetry, is_overloaded
from dewledge.core.pooler.statements.connection_setup import plan_setup, send_setup
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

SETUP_TIMEOUT_SECONDS = 0.3
"""Timeout of the setup of a connection; shorter than the peer's own setup timeout (0.4 s)."""
MAX_QUEUED_STATEMENTS = 300
"""Statements that a peer may queue on a channel. A statement may be preceded by its setup: at most
256 session values (MAX_VALUES), a discard and a prepared statement."""


class ChannelTransport(Protocol):
    """Sends a channel's answers to the peer."""

    def send_reply(self, reply: Reply, proof: ProvenAge | None) -> None:
        """Answers the oldest unanswered statement, with the newest proven log position."""

    def send_ended(self) -> None:
        """Reports that the channel ended; the outcome of unanswered statements is unknown."""


class ChannelSession:
    """Runs the statements of a channel one after another."""

    def __init__(
        self,
        name: str,
        services: PoolServices,
        group: Group,
        database_id: str,
        transport: ChannelTransport,
        caller: str = NO_CALLER,
    ) -> None:
        """Creates an idle session.

        name: identifies the peer's session. caller: the caller whose statements it sends.
        """
        self._services = services
        self._group = group
        self._database_id = database_id
        self._pool: ConnectionPool = group.peer_pool(database_id)
        self._transport = transport
        self._state = ChannelState(name, caller)
        self._queue: deque[ChannelStatement] = deque()
        self._current: ChannelStatement | None = None
        self._connection: DatabaseConnection | None = None
        self._wait = ChannelWait(services, group, database_id, self._on_connection, self._refuse)
        self._timer = SingleTimer(services.scheduler)
        self._slot_retry = SlotRetry(services)
        self._proofs = ChannelProofs(group, services.scheduler.now)
        self._in_transaction = False
        self._sent_at = 0.0
        self._ended = False

    @property
    def is_idle(self) -> bool:
        """Whether no statement is waiting or running and no transaction is open."""
        return self._current is None and self._connection is None

    def handle(self, message: ChannelStatement) -> None:
        """Queues the next statement of the peer; ends the channel if too many are queued."""
        if self._ended:
            return
        if len(self._queue) >= MAX_QUEUED_STATEMENTS:
            self._end_channel()
            return
        self._queue.append(message)
        self._serve_queue()

    def close(self) -> None:
        """Ends the session after the peer closed the channel or the link to it was lost.

        An open transaction is rolled back; a connection with a running statement is closed.
        """
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
        if self._state.handles(statement):
            self._state.apply(statement)
            self._transport.send_reply(Reply(self._transaction_state), self._proofs.newest())
            return
        if self._state.is_unknown(statement):
            self._refuse(Failure(ErrorCode.UNKNOWN_STATEMENT, "no such name"))
            return
        self._current = message
        self._slot_retry.start(self._wait.max_wait_seconds(message))
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
        self._wait.begin(self._pool, message, self._state.state)

    def _on_connection(self, connection: DatabaseConnection) -> None:
        self._connection = connection
        self._prepare(connection)

    # Running the statement.

    def _prepare(self, connection: DatabaseConnection) -> None:
        message = self._current
        assert message is not None
        steps = plan_setup(self._state.state, connection, message.statement, self._in_transaction)
        if not steps:
            self._send(connection, message.statement, message.floor)
            return
        self._timer.start(SETUP_TIMEOUT_SECONDS, self._on_setup_timeout)
        send_setup(connection, steps, None, None, self._on_setup_done)

    def _on_setup_done(self, result: Reply | None | bool) -> None:
        connection, message = self._connection, self._current
        if self._ended or connection is None or message is None:
            return
        self._timer.clear()
        if result is True:
            self._send(connection, message.statement, message.floor)
        else:
            self._fail_before_sending(connection)

    def _on_setup_timeout(self) -> None:
        if self._connection is not None:
            self._services.on_unanswered_statement(self._group.view.name, self._database_id)
            self._fail_before_sending(self._connection)

    def _fail_before_sending(self, connection: DatabaseConnection) -> None:
        self._discard(connection)
        if self._in_transaction:
            self._end_channel()
        else:
            self._refuse(Failure(ErrorCode.DATABASE_UNREACHABLE, "the connection was lost before"))

    def _send(
        self,
        connection: DatabaseConnection,
        statement: Statement,
        floor: LogPosition | None,
        is_resend: bool = False,
    ) -> None:
        self._sent_at = self._services.scheduler.now()
        if not is_resend:
            self._slot_retry.record_first_sent(self._sent_at)
        connection.send(statement, self._on_reply, floor)

    def _on_reply(self, reply: Reply | None) -> None:
        connection = self._connection
        if self._ended or connection is None:
            return
        if reply is None:
            self._discard(connection)
            self._end_channel()
            return
        if self._current is not None:
            kind = self._current.statement.kind
            self._pool.record_answer(kind, reply, self._slot_retry.elapsed_seconds, connection)
        if self._slot_retry.should_resend(reply, self._transaction_state, self._pool):
            self._timer.start(self._slot_retry.pause_seconds(), lambda: self._resend(connection))
            return
        if not self._in_transaction and is_overloaded(reply):
            reply = self._slot_retry.with_retry_time(reply, self._pool)
        self._update_proofs(connection, reply)
        self._finish(connection, reply)

    def _finish(self, connection: DatabaseConnection, reply: Reply) -> None:
        self._in_transaction = reply.state is not TransactionState.IDLE
        if not self._in_transaction:
            self._connection = None
            self._pool.release(connection)
        self._answer(reply)

    def _resend(self, connection: DatabaseConnection) -> None:
        message = self._current
        if not self._ended and message is not None and connection is self._connection:
            self._send(connection, message.statement, message.floor, is_resend=True)

    def _update_proofs(self, connection: DatabaseConnection, reply: Reply) -> None:
        statement = None if self._current is None else self._current.statement
        writes = statement is not None and self._state.writes(statement)
        self._proofs.update(connection, reply, statement, writes, self._sent_at)

    # Ending.

    @property
    def _transaction_state(self) -> TransactionState:
        return TransactionState.OPEN if self._in_transaction else TransactionState.IDLE

    def _refuse(self, failure: Failure) -> None:
        self._answer(Reply(self._transaction_state, failure=failure))

    def _answer(self, reply: Reply) -> None:
        self._current = None
        self._transport.send_reply(reply, self._proofs.newest())
        self._serve_queue()

    def _discard(self, connection: DatabaseConnection) -> None:
        self._connection = None
        connection.close()
        self._pool.release(connection)

    def _end_channel(self) -> None:
        self.close()
        self._transport.send_ended()
