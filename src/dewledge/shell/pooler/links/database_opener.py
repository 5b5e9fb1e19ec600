"""Opens connections to databases and carries statements and answers on them.

A connection is one of this process's own, or a channel to a process that holds connections.
"""

import socket
from collections import Counter
from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.reach_limit import ReachLimit
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.codec import DatabaseCodec
from dewledge.core.pooler.sharing.holders import FALLBACK_CONNECTIONS
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode, ProtocolError
from dewledge.shell.pooler.links.byte_stream import ByteStream, Connecting
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.shared.event_loop import EventLoop

CONNECT_LIMIT_SECONDS = 0.6
STARTUP_LIMIT_SECONDS = 1.5


class DirectOpener:
    """Opens connections to the databases that `find` knows."""

    def __init__(
        self,
        loop: EventLoop,
        user: str,
        new_codec: Callable[[], DatabaseCodec],
        find: Callable[[str], DatabaseRecord | None],
        reach_limit: ReachLimit | None = None,
    ) -> None:
        """`user`: what databases are told where there is no caller.

        reach_limit: is told how long connections take to be accepted."""
        self._loop = loop
        self._reach_limit = reach_limit or ReachLimit()
        self._user = user
        self._new_codec = new_codec
        self._find = find

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        """Opens one for a caller; see Opener.open."""
        record = self._find(database_id)
        if record is None:
            self._loop.call_later(0.0, lambda: failed(ErrorCode.DATABASE_UNREACHABLE))
            return
        known = record
        started_at = self._loop.now()

        def connected(sock: socket.socket) -> None:
            self._reach_limit.observe(self._loop.now() - started_at)
            _DatabaseLink(
                self._loop,
                sock,
                known,
                caller or self._user,
                self._new_codec(),
                opened,
                failed,
                closed,
            )

        def refused() -> None:
            failed(ErrorCode.DATABASE_UNREACHABLE)

        Connecting(self._loop, record.address, CONNECT_LIMIT_SECONDS, connected, refused)


class SharingOpener:
    """Opens connections directly or through holders, as `find_way` says."""

    def __init__(
        self,
        direct: DirectOpener,
        channels: ChannelClient,
        find_way: Callable[[str, str], Sequence[str] | None],
    ) -> None:
        """`find_way`: the addresses of the processes to go through to a database for a caller, None
        for the direct way."""
        self._direct = direct
        self._channels = channels
        self._find_way = find_way
        self._fallbacks: Counter[str] = Counter()

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        """Opens one for a caller; see Opener.open."""
        way = self._find_way(database_id, caller)
        if way is None:
            self._direct.open(database_id, caller, opened, failed, closed)
            return

        def without_holders(_code: ErrorCode) -> None:
            self._open_fallback(database_id, caller, opened, failed, closed)

        self._channels.open(database_id, caller, way, opened, without_holders, closed)

    def _open_fallback(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        """No holder can be reached: a few connections are opened without them."""
        if self._fallbacks[database_id] >= FALLBACK_CONNECTIONS:
            failed(ErrorCode.CONNECTION_LIMIT)
            return
        self._fallbacks[database_id] += 1

        def ended(connection: DatabaseConnection) -> None:
            self._fallbacks[database_id] -= 1
            closed(connection)

        def refused(code: ErrorCode) -> None:
            self._fallbacks[database_id] -= 1
            failed(code)

        self._direct.open(database_id, caller, opened, refused, ended)


class _DatabaseLink:
    """One connection to a database, from its startup on."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        record: DatabaseRecord,
        user: str,
        codec: DatabaseCodec,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        self._codec = codec
        self._opened = opened
        self._failed = failed
        self._closed = closed
        self._connection: DatabaseConnection | None = None
        self._record = record
        self._over = False
        self._stream = ByteStream(loop, sock, self._received, self._ended)
        self._timer = loop.call_later(STARTUP_LIMIT_SECONDS, self._startup_silent)
        self._stream.send(codec.startup(record.group, user, record.id))

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends one statement; its answer comes later, in order."""
        self._stream.send(self._codec.statement(statement, floor))

    def close(self) -> None:
        """Ends the connection at once."""
        self._stream.close()
        if self._connection is not None:
            self._closed(self._connection)

    def _received(self, data: bytes) -> None:
        try:
            replies = self._codec.feed(data)
        except ProtocolError:
            self._stream.close()
            self._ended()
            return
        for reply in replies:
            self._take(reply)

    def _take(self, reply: Reply) -> None:
        if self._over:
            return
        if self._connection is not None:
            if not self._connection.closed:
                self._connection.on_reply(reply)
            return
        self._timer.cancel()
        if reply.failure is not None:
            self._refuse(reply.failure.code)
            return
        self._connection = DatabaseConnection(self._record.id, self)
        self._opened(self._connection)

    def _startup_silent(self) -> None:
        self._refuse(ErrorCode.DATABASE_UNREACHABLE)

    def _refuse(self, code: ErrorCode) -> None:
        if self._over or self._connection is not None:
            return
        self._over = True
        self._timer.cancel()
        self._stream.close()
        self._failed(code)

    def _ended(self) -> None:
        if self._connection is None:
            self._refuse(ErrorCode.DATABASE_UNREACHABLE)
            return
        self._over = True
        self._connection.on_closed()
        self._closed(self._connection)
