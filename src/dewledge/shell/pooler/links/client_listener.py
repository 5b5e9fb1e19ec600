"""Accepts the connections of clients and creates a session for each.

A connection is the transport of its `ClientSession`. `FailedLoginThrottle` limits the rate at which
refused logins are answered, so that clients without a valid key cannot overload the process.
"""

import contextlib
import itertools
import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.load.failed_login_throttle import FailedLoginThrottle
from dewledge.core.pooler.sessions.client_session import ClientSession
from dewledge.core.pooler.sessions.client_transport import ClientTransport
from dewledge.core.pooler.sessions.codec import ClientCodec
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.statements import Failure, Reply
from dewledge.errors import ErrorCode
from dewledge.shell.pooler.links.byte_stream import ByteStream
from dewledge.shell.shared.event_loop import READABLE, EventLoop, Timer
from dewledge.shell.shared.sockets import accept_pending, bound_address

ACCEPT_BATCH = 64
"""Connections accepted in one iteration of the event loop."""

_THROTTLED_CODES = frozenset({ErrorCode.UNAUTHENTICATED, ErrorCode.UNKNOWN_GROUP})
"""Error codes whose refusals `FailedLoginThrottle` delays; an immediate retry would fail again."""


class ClientConnection:
    """The connection of a client, used as the transport of its session."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        codec: ClientCodec,
        throttle: FailedLoginThrottle,
        on_closed: Callable[["ClientConnection"], None],
        new_session: Callable[[ClientTransport], ClientSession],
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._on_closed = on_closed
        self._throttle = throttle
        self._is_refused = False
        self._delayed_refusal: Timer | None = None
        self.session = new_session(self)
        self._stream = ByteStream(loop, sock, self._received, self._ended)

    @property
    def is_sending(self) -> bool:
        """Whether bytes are buffered that the client's connection has not accepted."""
        return self._stream.is_sending

    def send_ready(self) -> None:
        """Informs the client that its session is open."""
        self._stream.send(self._codec.ready())

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Sends the reply to a statement."""
        self._stream.send(self._codec.reply(statement_id, reply))

    def send_refusal(self, failure: Failure) -> None:
        """Refuses the session and closes the connection.

        `FailedLoginThrottle` may delay the answer, or have the connection closed without one.
        """
        self._is_refused = True
        pause = (
            self._throttle.answer_delay(self._loop.now())
            if failure.code in _THROTTLED_CODES
            else 0.0
        )
        if pause is None:
            self._stream.close()
            self._on_closed(self)
        elif pause > 0.0:
            self._delayed_refusal = self._loop.call_later(
                pause, lambda: self._send_delayed_refusal(failure)
            )
        else:
            self._refuse(failure)

    def _send_delayed_refusal(self, failure: Failure) -> None:
        self._cancel_delayed_refusal()
        self._refuse(failure)

    def _refuse(self, failure: Failure) -> None:
        self._stream.send(self._codec.refusal(failure))
        self.close()

    def _cancel_delayed_refusal(self) -> None:
        if self._delayed_refusal is not None:
            self._delayed_refusal.cancel()
            self._delayed_refusal = None
            self._throttle.on_delay_ended()

    def close(self) -> None:
        """Closes the connection after all buffered bytes are sent."""
        self._stream.close_after_sending()
        self._on_closed(self)

    def leave(self) -> None:
        """Closes the session as soon as it is idle, for a planned stop.

        Reads input first: a statement that arrived while the loop was busy is still answered.
        """
        if not self._is_refused:
            self._stream.read_available()
        self.session.close_when_idle()

    def _received(self, data: bytes) -> None:
        if self._is_refused:
            return
        self.session.handle_all(self._codec.feed(data))

    def _ended(self) -> None:
        self._cancel_delayed_refusal()
        self.session.end()
        self._on_closed(self)


class ClientListener:
    """Listens on one address for clients; at most `max_connections` are open at a time."""

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
        services: PoolServices,
        new_codec: Callable[[], ClientCodec],
        max_connections: int,
    ) -> None:
        """`listener`: a socket that already listens, so that connections made before `start` wait
        instead of being refused."""
        self._loop = loop
        self._services = services
        self._new_codec = new_codec
        self._max_connections = max_connections
        self._listener = listener
        self.address = bound_address(listener)
        self._session_numbers = itertools.count(1)
        self._throttle = FailedLoginThrottle()
        self.connections: set[ClientConnection] = set()
        self._closing: set[ClientConnection] = set()
        """Connections whose session has ended, and whose last answer may still be sent."""

    @property
    def sending_count(self) -> int:
        """The number of connections without a session whose last answer is still being sent."""
        self._closing = {each for each in self._closing if each.is_sending}
        return len(self._closing)

    def start(self) -> None:
        """Starts to accept connections."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        """Stops accepting connections; open ones are left as they are."""
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _accept(self, _events: int) -> None:
        error = accept_pending(self._listener, ACCEPT_BATCH, self._add)
        if error is not None:
            logger.bind(error=str(error)).warning("accept_failed")

    def _add(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._max_connections:
            with contextlib.suppress(OSError):
                sock.close()
            logger.bind(open=len(self.connections)).warning("client_turned_away")
            return
        name = f"s{next(self._session_numbers)}"
        connection = ClientConnection(
            self._loop,
            sock,
            self._new_codec(),
            self._throttle,
            self._remove,
            lambda transport: ClientSession(name, self._services, transport),
        )
        self.connections.add(connection)

    def _remove(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        if connection.is_sending:
            self._closing.add(connection)
        else:
            self._closing.discard(connection)
