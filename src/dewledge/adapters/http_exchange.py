"""One persistent HTTP/1.1 connection, for one exchange at a time.

A connection on which anything went wrong is closed and never used again, so that a late answer
cannot be taken for the answer to a later request.
"""

import select
import socket
import time
from collections.abc import Mapping, Sequence

import httptools
import msgspec

from dewledge.core.proxy.ports import NO_LIMIT
from dewledge.core.shared.addresses import split_address
from dewledge.errors import ProtocolError

RECEIVE_BYTES = 65536
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MIN_WAIT_SECONDS = 0.001

SocketOption = tuple[int, int, int | bytes]
"""Level, name and value, as setsockopt takes them."""
NO_HEADERS: Mapping[str, str] = {}


class HttpAnswer(msgspec.Struct, frozen=True):
    """Status, body and headers of an answer; the names of headers are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = NO_HEADERS


class ClosedBeforeSending(Exception):
    """The connection was found closed; nothing of the request was sent."""


class AnswerMissing(Exception):
    """The request was sent, at least in part, and no whole answer came in time."""


class HttpExchange:
    """A client's end of one connection; used by one thread at a time."""

    def __init__(self, address: str, timeout: float, options: Sequence[SocketOption] = ()) -> None:
        """Connects within `timeout` seconds. Raises OSError or ValueError."""
        self._socket = socket.create_connection(split_address(address), timeout)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for option in options:
            self._socket.setsockopt(*option)
        self._readable = select.poll()
        self._readable.register(self._socket, select.POLLIN)
        self._host = address
        self.closed = False
        self._received_bytes = 0
        """Of the answer that is coming."""

    def request(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        send_before: float = NO_LIMIT,
        headers: Mapping[str, str] = NO_HEADERS,
        longest: float | None = None,
    ) -> HttpAnswer:
        """Sends one request and waits for its answer, `timeout` seconds in all.

        longest: where it is given, an answer that goes on coming is waited for, `longest` seconds
        at most; it is given up when nothing of it comes for `timeout`.
        send_before: the monotonic time from which on it is not sent any more.
        Raises ClosedBeforeSending, AnswerMissing or ProtocolError; the connection is then closed.
        """
        deadline = time.monotonic() + timeout
        if self.closed or self._readable.poll(0):
            self.close()
            raise ClosedBeforeSending("the connection was closed by the other side")
        try:
            request = self._encode(method, target, body, headers)
            self._send_first(request, deadline, send_before)
            last = deadline if longest is None else deadline - timeout + longest
            return self._receive(deadline, timeout, last)
        except OSError as error:
            self.close()
            raise AnswerMissing(
                f"no answer: {error}; {self._received_bytes} bytes had come"
            ) from error
        except (AnswerMissing, ProtocolError):
            self.close()
            raise

    def close(self) -> None:
        """Closes the connection."""
        if not self.closed:
            self.closed = True
            self._socket.close()

    def _encode(self, method: str, target: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {self._host}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    def _send_first(self, request: bytes, deadline: float, send_before: float) -> None:
        # A process that was frozen until now must not send what it decided before. So the clock is
        # looked at last, and the send waits for nothing: a thread can be frozen in any wait.
        self._socket.setblocking(False)
        if time.monotonic() >= min(deadline, send_before):
            self.close()
            raise ClosedBeforeSending("its time was over before it was sent")
        try:
            sent = self._socket.send(request)
        except BlockingIOError as error:
            self.close()
            raise ClosedBeforeSending("the connection takes nothing") from error
        if sent < len(request):
            self._set_time_left(deadline)
            self._socket.sendall(request[sent:])

    def _receive(self, deadline: float, timeout: float, last: float) -> HttpAnswer:
        reader = _AnswerReader()
        self._received_bytes = 0
        while not reader.complete:
            self._set_time_left(deadline)
            data = self._socket.recv(RECEIVE_BYTES)
            if not data:
                raise AnswerMissing("the connection was closed before the answer was whole")
            self._received_bytes += len(data)
            reader.feed(data)
            deadline = min(max(deadline, time.monotonic() + timeout), last)
        if reader.last:
            self.close()
        return reader.answer()

    def _set_time_left(self, deadline: float) -> None:
        # A socket timeout of zero would mean "do not block" instead of "too late".
        self._socket.settimeout(max(deadline - time.monotonic(), MIN_WAIT_SECONDS))


class _AnswerReader:
    """Gathers one answer through httptools.

    complete: the answer is whole. last: the other side closes the connection after it.
    """

    def __init__(self) -> None:
        self.complete = False
        self.last = False
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parses more bytes. Raises ProtocolError."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise ProtocolError(f"not an HTTP answer: {error}") from error
        if self._size > MAX_ANSWER_BYTES:
            raise ProtocolError(f"an answer of more than {MAX_ANSWER_BYTES} bytes")

    def answer(self) -> HttpAnswer:
        """Returns the whole answer."""
        return HttpAnswer(self._parser.get_status_code(), b"".join(self._body), self._headers)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by httptools for each header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Called by httptools with a piece of the body."""
        self._size += len(data)
        self._body.append(data)

    def on_message_begin(self) -> None:
        """Called by httptools; a second answer to one request breaks the protocol."""
        if self.complete:
            raise ProtocolError("two answers to one request")

    def on_message_complete(self) -> None:
        """Called by httptools at the end of the answer."""
        self.complete = True
        self.last = not self._parser.should_keep_alive()
