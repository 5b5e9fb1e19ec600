"""Opens connections to databases and carries statements and answers on them.

A connection is one of this process's own, or a channel to a process that holds connections. Owns
the connections of this process from the dial to their end, and the count of those opened because no
holder could be reached. Relies on `channel_client` for channels.
"""

import socket
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.reach_limit import ConnectTimeout
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.codec import DatabaseCodec
from dewledge.core.pooler.sharing.holders import FALLBACK_CONNECTIONS
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode, ProtocolError
from dewledge.shell.pooler.links.byte_stream import ByteStream, Connecting
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.pooler.links.open_request import OpenRequest
from dewledge.shell.shared.event_loop import EventLoop

CONNECT_LIMIT_SECONDS = 0.6
"""For a database to accept a connection."""
STARTUP_LIMIT_SECONDS = 1.5
"""From an accepted connection to the answer of its startup."""


class DirectOpener:
    """Opens connections to the databases that `find` knows."""

    def __init__(
        self,
        loop: EventLoop,
        user: str,
        new_codec: Callable[[], DatabaseCodec],
        find: Callable[[str], DatabaseRecord | None],
        reach_limit: ConnectTimeout | None = None,
    ) -> None:
        """`user`: what databases are told where there is no caller.

        reach_limit: is told how long connections take to be accepted."""
        self._loop = loop
        self._reach_limit = reach_limit or ConnectTimeout()
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
        self.dial(OpenRequest(database_id, caller, opened, failed, closed))

    def dial(self, request: OpenRequest) -> None:
        """Opens a connection of this process's own."""
        record = self._find(request.database_id)
        if record is None:
            self._loop.call_later(0.0, lambda: request.failed(ErrorCode.DATABASE_UNREACHABLE))
            return
        known = record
        started_at = self._loop.now()

        def connected(sock: socket.socket) -> None:
            self._reach_limit.record_connect_time(self._loop.now() - started_at)
            user = request.caller or self._user
            _DatabaseLink(self._loop, sock, known, user, self._new_codec(), request)

        def refused() -> None:
            request.failed(ErrorCode.DATABASE_UNREACHABLE)

        Connecting(self._loop, record.address, CONNECT_LIMIT_SECONDS, connected, refused)


class SharingOpener:
    """Opens connections directly or through holders, as `find_route` says."""

    def __init__(
        self,
        direct: DirectOpener,
        channels: ChannelClient,
        find_route: Callable[[str, str], Sequence[str] | None],
    ) -> None:
        """`find_route`: the addresses of the processes to go through to a database for a caller,
        None for a direct connection.
        """
        self._direct = direct
        self._channels = channels
        self._find_route = find_route
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
        request = OpenRequest(database_id, caller, opened, failed, closed)
        addresses = self._find_route(database_id, caller)
        if addresses is None:
            self._direct.dial(request)
            return

        def without_holders(_code: ErrorCode) -> None:
            self._dial_without_holders(request)

        through_holders = msgspec.structs.replace(request, failed=without_holders)
        self._channels.open(through_holders, addresses)

    def _dial_without_holders(self, request: OpenRequest) -> None:
        """No holder can be reached: a few connections are opened without them."""
        database_id = request.database_id
        if self._fallbacks[database_id] >= FALLBACK_CONNECTIONS:
            request.failed(ErrorCode.CONNECTION_LIMIT)
            return
        self._fallbacks[database_id] += 1

        def ended(connection: DatabaseConnection) -> None:
            self._fallbacks[database_id] -= 1
            request.closed(connection)

        def refused(code: ErrorCode) -> None:
            self._fallbacks[database_id] -= 1
            request.failed(code)

        self._direct.dial(msgspec.structs.replace(request, failed=refused, closed=ended))


class _DatabaseLink:
    """One connection to a database, from its startup on."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        record: DatabaseRecord,
        user: str,
        codec: DatabaseCodec,
        request: OpenRequest,
    ) -> None:
        self._codec = codec
        self._request = request
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
            self._request.closed(self._connection)

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
        self._request.opened(self._connection)

    def _startup_silent(self) -> None:
        self._refuse(ErrorCode.DATABASE_UNREACHABLE)

    def _refuse(self, code: ErrorCode) -> None:
        if self._over or self._connection is not None:
            return
        self._over = True
        self._timer.cancel()
        self._stream.close()
        self._request.failed(code)

    def _ended(self) -> None:
        if self._connection is None:
            self._refuse(ErrorCode.DATABASE_UNREACHABLE)
            return
        self._over = True
        self._connection.on_closed()
        self._request.closed(self._connection)
