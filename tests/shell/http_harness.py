"""An HttpServer on a loop thread, and a raw client that sees every byte."""

import socket
import threading
from collections.abc import Callable

import httptools

from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.http_messages import Exchange, HttpLimits, HttpResponse
from dewledge.shell.shared.http_server import HttpServer
from dewledge.shell.shared.sockets import parse_address

CLIENT_SECONDS = 10.0

SMALL_LIMITS = HttpLimits(
    max_header_bytes=1024, max_body_bytes=2048, max_in_flight=4, max_connections=8
)


def echo(exchange: Exchange) -> None:
    """Answers with the method, the path and the body."""
    request = exchange.request
    text = f"{request.method} {request.path} ".encode() + request.body
    exchange.respond(HttpResponse(200, text, "text/plain"))


class Answer:
    """One parsed response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_whole = False


class _AnswerReader:
    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_message_begin(self) -> None:
        self.answers.append(Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.answers[-1].headers[name.decode().lower()] = value.decode()

    def on_body(self, data: bytes) -> None:
        self.answers[-1].body += data

    def on_message_complete(self) -> None:
        self.answers[-1].status = self.parser.get_status_code()
        self.answers[-1].is_whole = True


class HttpHarness:
    """A server with a handler, on its own loop thread."""

    def __init__(
        self, handler: Callable[[Exchange], None] = echo, limits: HttpLimits = SMALL_LIMITS
    ) -> None:
        self.loop = EventLoop()
        self.server = HttpServer(self.loop, "127.0.0.1:0", limits, handler)
        self.loop.post(self.server.start)
        self._thread = threading.Thread(target=self.loop.run, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Ends the loop."""
        self.loop.post(self.server.close)
        self.loop.stop()
        self._thread.join(CLIENT_SECONDS)
        assert not self._thread.is_alive(), "the loop hangs"

    def connect(self) -> socket.socket:
        """Returns a connected socket."""
        return socket.create_connection(parse_address(self.server.address), CLIENT_SECONDS)

    def exchange(self, data: bytes, answers: int = 1) -> list[Answer]:
        """Sends bytes and reads so many answers, or until the server closes."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_answers(sock, answers)

    def exchange_to_end(self, data: bytes) -> list[Answer]:
        """Sends bytes, says that no more come, and reads until the server closes."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_answers(sock, None)


def read_answers(sock: socket.socket, count: int | None) -> list[Answer]:
    """Reads `count` whole answers; None: all until the server closes. A reset raises OSError."""
    reader = _AnswerReader()
    while count is None or sum(answer.is_whole for answer in reader.answers) < count:
        data = sock.recv(65536)
        if not data:
            break
        reader.parser.feed_data(data)
    return reader.answers
