"""A small HTTP/1.1 server for the stand-ins: one thread for each connection.

It answers requests of one connection in order. A handler may also give no answer, which closes
the connection, or be told that the connection has ended.
"""

import socket
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools
import msgspec

from dewledge.adapters.http_exchange import RECEIVE_BYTES
from dewledge.core.shared.addresses import split_address

LISTEN_BACKLOG = 512
STOP_WAIT_SECONDS = 5.0

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503


class HttpRequest(msgspec.Struct, frozen=True):
    """One request with its path and query decoded."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class HttpReply(msgspec.Struct, frozen=True):
    """One answer. retry_after: seconds, sent as Retry-After."""

    status: int
    body: bytes = b""
    retry_after: float | None = None

    def encode(self) -> bytes:
        """Returns the bytes to send."""
        retry = b"" if self.retry_after is None else b"Retry-After: %.3f\r\n" % self.retry_after
        head = (
            b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n%bContent-Length: %d\r\n\r\n"
        )
        return head % (self.status, retry, len(self.body)) + self.body


class ConnectionHandler(ABC):
    """Handles the requests of one connection, in its thread."""

    @abstractmethod
    def handle(self, request: HttpRequest) -> HttpReply | None:
        """Answers one request; None closes the connection without an answer."""

    def ended(self) -> None:
        """Called once when the connection has ended, for whatever reason."""
        return


class HttpServer:
    """Listens at an address; port 0 picks a free one."""

    def __init__(self, address: str, new_handler: Callable[[], ConnectionHandler]) -> None:
        self._new_handler = new_handler
        self._listener = socket.create_server(split_address(address), backlog=LISTEN_BACKLOG)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._stopped = False
        self._thread = threading.Thread(target=self._accept, daemon=True)

    @property
    def address(self) -> str:
        """Returns the address as "ip:port", with the port in use."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Begins to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Closes the listener and all connections; a second call does nothing."""
        if self._stopped:
            return
        self._stopped = True
        _shut_down(self._listener)
        if self._thread.is_alive():
            self._thread.join(STOP_WAIT_SECONDS)
        self._listener.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Breaks every open connection."""
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)

    def _accept(self) -> None:
        while not self._stopped:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                continue
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        handler = self._new_handler()
        try:
            self._answer_requests(connection, handler)
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()
            handler.ended()

    def _answer_requests(self, connection: socket.socket, handler: ConnectionHandler) -> None:
        reader = _RequestReader()
        while data := connection.recv(RECEIVE_BYTES):
            reader.feed(data)
            while reader.requests:
                reply = handler.handle(reader.requests.popleft())
                if reply is None:
                    return
                connection.sendall(reply.encode())


class _RequestReader:
    """Gathers requests through httptools."""

    def __init__(self) -> None:
        self.requests: deque[HttpRequest] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body: list[bytes] = []

    def feed(self, data: bytes) -> None:
        """Parses more bytes; whole requests are added to `requests`."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Called by httptools at the start of a request."""
        self._target = b""
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Called by httptools with a piece of the target."""
        self._target += url

    def on_body(self, data: bytes) -> None:
        """Called by httptools with a piece of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Called by httptools at the end of a request."""
        parts = urlsplit(self._target.decode("latin-1"))
        request = HttpRequest(
            method=self._parser.get_method().decode(),
            path=unquote(parts.path),
            query=dict(parse_qsl(parts.query)),
            body=b"".join(self._body),
        )
        self.requests.append(request)


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
