"""Opens connections to databases, directly or through processes that hold connections.

`DirectOpener` dials databases itself. `SharingOpener` opens channels through holders; if no holder
can be reached, it opens direct connections, at most `FALLBACK_CONNECTIONS` to each database.
"""

import socket
from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.connect_timeout import ConnectTimeout
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

CONNECT_TIMEOUT_SECONDS = 0.6
"""Seconds that a database may take to accept a connection."""
STARTUP_TIMEOUT_SECONDS = 1.5
"""Seconds from an accepted connection to the reply to its startup message."""


class DirectOpener:
    """Opens direct connections to databases."""

    def __init__(
        self,
        loop: EventLoop,
        user: str,
        new_codec: Callable[[], DatabaseCodec],
        find: Callable[[str], DatabaseRecord | None],
        connect_timeout: ConnectTimeout | None = None,
    ) -> None:
        """`user`: the user name for connections without a caller.

        find: returns the record of a database, None if it is unknown.
        connect_timeout: records how long databases take to accept connections.
        """
        self._loop = loop
        self._connect_timeout = connect_timeout or ConnectTimeout()
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
        """Opens a connection for a caller; see Opener.open."""
        self.dial(OpenRequest(database_id, caller, opened, failed, closed))

    def dial(self, request: OpenRequest) -> None:
        """Opens a direct connection."""
        record = self._find(request.database_id)
        if record is None:
            self._loop.call_later(0.0, lambda: request.failed(ErrorCode.DATABASE_UNREACHABLE))
            return
        database_record = record
        started_at = self._loop.now()

        def connected(sock: socket.socket) -> None:
            self._connect_timeout.record_connect_time(self._loop.now() - started_at)
            user = request.caller or self._user
            _DatabaseLink(self._loop, sock, database_record, user, self._new_codec(), request)

        def refused() -> None:
            request.failed(ErrorCode.DATABASE_UNREACHABLE)

        Connecting(self._loop, record.address, CONNECT_TIMEOUT_SECONDS, connected, refused)


class SharingOpener:
    """Opens connections directly or through holders, depending on `find_route`."""

    def __init__(
        self,
        direct: DirectOpener,
        channels: ChannelClient,
        find_route: Callable[[str, str], Sequence[str] | None],
    ) -> None:
        """`find_route`: returns the addresses of the holders of a database for a caller, None for a
        direct connection.
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
        """Opens a connection for a caller; see Opener.open."""
        request = OpenRequest(database_id, caller, opened, failed, closed)
        addresses = self._find_route(database_id, caller)
        if addresses is None:
            self._direct.dial(request)
            return

        def on_holders_unreachable(_code: ErrorCode) -> None:
            self._dial_without_holders(request)

        through_holders = msgspec.structs.replace(request, failed=on_holders_unreachable)
        self._channels.open(through_holders, addresses)

    def _dial_without_holders(self, request: OpenRequest) -> None:
        """Opens a direct connection because no holder can be reached.

        Fails if `FALLBACK_CONNECTIONS` to the database are already open or being opened.
        """
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
    """The transport of a direct connection to a database, from its startup to its end."""

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
        self._has_ended = False
        self._stream = ByteStream(loop, sock, self._received, self._ended)
        self._timer = loop.call_later(STARTUP_TIMEOUT_SECONDS, self._on_startup_timeout)
        self._stream.send(codec.startup(record.group, user, record.id))

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends a statement. Replies arrive in the order of the statements."""
        self._stream.send(self._codec.statement(statement, floor))

    def close(self) -> None:
        """Closes the connection immediately."""
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
            self._handle_reply(reply)

    def _handle_reply(self, reply: Reply) -> None:
        if self._has_ended:
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

    def _on_startup_timeout(self) -> None:
        self._refuse(ErrorCode.DATABASE_UNREACHABLE)

    def _refuse(self, code: ErrorCode) -> None:
        if self._has_ended or self._connection is not None:
            return
        self._has_ended = True
        self._timer.cancel()
        self._stream.close()
        self._request.failed(code)

    def _ended(self) -> None:
        if self._connection is None:
            self._refuse(ErrorCode.DATABASE_UNREACHABLE)
            return
        self._has_ended = True
        self._connection.on_closed()
        self._request.closed(self._connection)
