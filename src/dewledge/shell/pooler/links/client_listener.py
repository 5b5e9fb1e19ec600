"""Accepts clients' connections and gives each a session.

Owns the clients' connections of one process. Relies on `core/pooler/sessions`, for
whose sessions connections are transports, and on FailedLoginThrottle for when a refusal is told.
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
from dewledge.shell.shared.sockets import accept_waiting, bound_address

ACCEPT_BATCH = 64
"""Connections accepted in one turn of the loop."""

_PACED = frozenset({ErrorCode.UNAUTHENTICATED, ErrorCode.UNKNOWN_GROUP})
"""Refusals that a client which comes back at once only repeats."""


class ClientConnection:
    """One client's connection: the transport of its session."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        codec: ClientCodec,
        throttle: FailedLoginThrottle,
        gone: Callable[["ClientConnection"], None],
        new_session: Callable[[ClientTransport], ClientSession],
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._gone = gone
        self._throttle = throttle
        self._is_refused = False
        self._held: Timer | None = None
        self.session = new_session(self)
        self._stream = ByteStream(loop, sock, self._received, self._ended)

    def send_ready(self) -> None:
        """Tells the client that its session has begun."""
        self._stream.send(self._codec.ready())

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Answers a statement."""
        self._stream.send(self._codec.reply(statement_id, reply))

    def send_refusal(self, failure: Failure) -> None:
        """Refuses the session and closes the connection; see FailedLoginThrottle for when."""
        self._is_refused = True
        pause = self._throttle.answer_delay(self._loop.now()) if failure.code in _PACED else 0.0
        if pause is None:
            self._stream.close()
            self._gone(self)
        elif pause > 0.0:
            self._held = self._loop.call_later(pause, lambda: self._refuse_held(failure))
        else:
            self._refuse(failure)

    def _refuse_held(self, failure: Failure) -> None:
        self._end_hold()
        self._refuse(failure)

    def _refuse(self, failure: Failure) -> None:
        self._stream.send(self._codec.refusal(failure))
        self.close()

    def _end_hold(self) -> None:
        if self._held is not None:
            self._held.cancel()
            self._held = None
            self._throttle.on_delay_ended()

    def close(self) -> None:
        """Closes the connection once everything sent has left."""
        self._stream.close_after_sending()
        self._gone(self)

    def leave(self) -> None:
        """Planned stop: closes at the next rest, once what has come by now is answered.

        While the loop was busy a statement may have come that was not read yet.
        """
        if not self._is_refused:
            self._stream.take_arrived()
        self.session.close_when_idle()

    def _received(self, data: bytes) -> None:
        if self._is_refused:
            return
        self.session.handle_all(self._codec.feed(data))

    def _ended(self) -> None:
        self._end_hold()
        self.session.end()
        self._gone(self)


class ClientListener:
    """One listening address for clients."""

    def __init__(
        self,
        loop: EventLoop,
        listener: socket.socket,
        services: PoolServices,
        new_codec: Callable[[], ClientCodec],
        max_connections: int,
    ) -> None:
        """`listener`: listens already, so that early clients wait and are not refused."""
        self._loop = loop
        self._services = services
        self._new_codec = new_codec
        self._max_connections = max_connections
        self._listener = listener
        self.address = bound_address(listener)
        self._names = itertools.count(1)
        self._throttle = FailedLoginThrottle()
        self.connections: set[ClientConnection] = set()

    def start(self) -> None:
        """Starts to accept connections."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        """Accepts no more."""
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _accept(self, _events: int) -> None:
        error = accept_waiting(self._listener, ACCEPT_BATCH, self._add)
        if error is not None:
            logger.bind(error=str(error)).warning("accept_failed")

    def _add(self, sock: socket.socket) -> None:
        if len(self.connections) >= self._max_connections:
            with contextlib.suppress(OSError):
                sock.close()
            logger.bind(open=len(self.connections)).warning("client_turned_away")
            return
        name = f"s{next(self._names)}"
        connection = ClientConnection(
            self._loop,
            sock,
            self._new_codec(),
            self._throttle,
            self.connections.discard,
            lambda transport: ClientSession(name, self._services, transport),
        )
        self.connections.add(connection)
