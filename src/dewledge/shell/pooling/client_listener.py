"""Accepts clients' connections and gives each a session."""

import contextlib
import itertools
import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooling.client_session import ClientSession
from dewledge.core.pooling.codec import ClientCodec
from dewledge.core.pooling.services import PoolServices
from dewledge.core.pooling.statements import Failure, Reply
from dewledge.shell.event_loop import READABLE, EventLoop
from dewledge.shell.pooling.byte_stream import ByteStream
from dewledge.shell.sockets import bound_address

ACCEPT_BATCH = 64


class ClientConnection:
    """One client's connection: the transport of its session."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        name: str,
        services: PoolServices,
        codec: ClientCodec,
        gone: Callable[["ClientConnection"], None],
    ) -> None:
        self._codec = codec
        self._gone = gone
        self.session = ClientSession(name, services, self)
        self._stream = ByteStream(loop, sock, self._received, self._ended)

    def send_ready(self) -> None:
        """Tells the client that its session stands."""
        self._stream.send(self._codec.ready())

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Answers a statement."""
        self._stream.send(self._codec.reply(statement_id, reply))

    def send_refusal(self, failure: Failure) -> None:
        """Refuses the session and closes the connection."""
        self._stream.send(self._codec.refusal(failure))
        self.close()

    def close(self) -> None:
        """Closes the connection once everything sent has left."""
        self._stream.close_after_sending()
        self._gone(self)

    def abort(self) -> None:
        """Closes the connection at once."""
        self.session.end()
        self._stream.close()
        self._gone(self)

    def _received(self, data: bytes) -> None:
        for message in self._codec.feed(data):
            self.session.handle(message)

    def _ended(self) -> None:
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
        """`listener`: listens already, so that clients who come early wait and are not refused."""
        self._loop = loop
        self._services = services
        self._new_codec = new_codec
        self._max_connections = max_connections
        self._listener = listener
        self.address = bound_address(listener)
        self._names = itertools.count(1)
        self.connections: set[ClientConnection] = set()

    def start(self) -> None:
        """Starts to accept connections."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        """Accepts no more."""
        self._loop.unwatch(self._listener)
        self._listener.close()

    def _accept(self, _events: int) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.bind(error=str(error)).warning("accept_failed")
                return
            self._add(sock)

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
            name,
            self._services,
            self._new_codec(),
            self.connections.discard,
        )
        self.connections.add(connection)
