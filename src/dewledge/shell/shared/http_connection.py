"""A persistent HTTP/1.1 connection of a caller; pipelined requests are answered in order.

After a malformed or oversized request the connection answers the earlier requests, then sends an
error response and closes. It shuts down its writing side first and closes the socket after a delay,
so that a TCP reset does not destroy an answer that the caller has not read.
"""

import contextlib
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum

from dewledge.errors import ErrorCode
from dewledge.shell.shared.event_loop import READABLE, WRITABLE, EventLoop
from dewledge.shell.shared.http_messages import (
    Exchange,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    refusal,
    render,
)
from dewledge.shell.shared.http_parser import RequestParser

RECEIVE_BYTES = 32 * 1024
"""Maximum size of a read from the socket."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REQUEST_TIMEOUT = 408
NO_REQUEST = HttpRequest(method="GET", path="", keep_alive=False)

Handler = Callable[[Exchange], None]


class ConnectionState(Enum):
    """OPEN accepts requests; CLOSING only sends answers; LINGERING waits for the peer to close."""

    OPEN = 1
    CLOSING = 2
    LINGERING = 3
    CLOSED = 4


class HttpConnection:
    """Reads requests from one caller's socket and writes the answers, on the loop's thread."""

    __slots__ = (
        "_closes_after_next_answer",
        "_exchanges",
        "_flush_planned",
        "_handler",
        "_idle_since",
        "_limits",
        "_linger_until",
        "_loop",
        "_on_closed",
        "_out",
        "_parser",
        "_receiving_since",
        "_socket",
        "_stalled_since",
        "_watched",
        "state",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        limits: HttpLimits,
        handler: Handler,
        on_closed: Callable[["HttpConnection"], None],
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._limits = limits
        self._handler = handler
        self._on_closed = on_closed
        self._parser = RequestParser(limits)
        self._exchanges: deque[Exchange] = deque()
        self._out = b""
        self._flush_planned = False
        self._closes_after_next_answer = False
        self._idle_since = loop.now()
        self._receiving_since: float | None = None
        self._stalled_since: float | None = None
        self._linger_until = 0.0
        self._watched = READABLE
        self.state = ConnectionState.OPEN
        loop.watch(sock, READABLE, self._on_ready)

    @property
    def in_flight(self) -> int:
        """The number of requests accepted whose answers are not yet in the output buffer."""
        return len(self._exchanges)

    # Called by the server.

    def close_after_next_answer(self) -> None:
        """Closes the connection after the next answer that leaves no further request pending.

        An idle connection stays open until it has answered another request.
        """
        self._closes_after_next_answer = True

    def close_idle(self) -> None:
        """Closes the connection if it has no request and no answer in progress."""
        if self.state is ConnectionState.OPEN and self._is_idle():
            self.state = ConnectionState.CLOSING
            self._plan_flush()

    def refuse(self, response: HttpResponse) -> None:
        """Accepts no further requests; sends `response` after earlier answers and closes."""
        self.state = ConnectionState.CLOSING
        self._append_exchange(NO_REQUEST).respond(response)

    def check_time(self, now: float) -> None:
        """Enforces the timeouts of the connection; called periodically by the server."""
        limits = self._limits
        if self.state is ConnectionState.LINGERING:
            if now >= self._linger_until:
                self.close()
        elif self._stalled_since is not None:
            if now - self._stalled_since > limits.write_stall_seconds:
                self.close()
        elif self._receiving_since is not None and self._watched & READABLE:
            if now - self._receiving_since > limits.receive_seconds:
                self._refuse_slow_request()
        elif self._is_idle() and now - self._idle_since > limits.idle_seconds:
            self.close_idle()

    def close(self) -> None:
        """Closes the connection at once and calls `on_gone` of each unanswered request."""
        if self.state is ConnectionState.CLOSED:
            return
        self.state = ConnectionState.CLOSED
        self._loop.unwatch(self._socket)
        self._socket.close()
        exchanges, self._exchanges = self._exchanges, deque()
        for exchange in exchanges:
            if exchange.on_gone is not None:
                exchange.on_gone()
        self._on_closed(self)

    # Reading.

    def _on_ready(self, events: int) -> None:
        if events & WRITABLE:
            self._flush()
        if events & READABLE and self.state is not ConnectionState.CLOSED:
            self._read()

    def _read(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._flush()
            self.close()
        elif self.state is ConnectionState.OPEN:
            self._parser.feed(data)
            self._update_receiving()
            self._dispatch_requests()

    def _update_receiving(self) -> None:
        if not self._parser.receiving:
            self._receiving_since = None
        elif self._receiving_since is None or self._parser.requests:
            self._receiving_since = self._loop.now()
        if self._parser.wants_continue and not self._exchanges and not self._out:
            self._parser.continue_sent()
            self._out = CONTINUE
            self._plan_flush()

    def _dispatch_requests(self) -> None:
        """Passes requests to the handler up to the in-flight limit.

        If parsing failed, sends the error response after the last complete request.
        """
        waiting = self._parser.requests
        while waiting and self._can_accept_request():
            request = waiting.popleft()
            if not request.keep_alive:
                self.state = ConnectionState.CLOSING
            self._handler(self._append_exchange(request))
        fault = self._parser.fault
        if fault is not None and not waiting and self.state is ConnectionState.OPEN:
            self.refuse(fault)
        self._update_watch()

    def _can_accept_request(self) -> bool:
        if self.state is not ConnectionState.OPEN or self._stalled_since is not None:
            return False
        return len(self._exchanges) < self._limits.max_in_flight

    def _append_exchange(self, request: HttpRequest) -> Exchange:
        exchange = Exchange(request, self._plan_flush)
        self._exchanges.append(exchange)
        return exchange

    def _refuse_slow_request(self) -> None:
        message = f"the request was not whole after {self._limits.receive_seconds:g} s"
        self.refuse(refusal(REQUEST_TIMEOUT, ErrorCode.DEADLINE_EXCEEDED, message))

    def _is_idle(self) -> bool:
        return not (self._exchanges or self._out or self._parser.receiving)

    # Writing.

    def _plan_flush(self) -> None:
        if not self._flush_planned:
            self._flush_planned = True
            self._loop.call_before_sleep(self._flush)

    def _flush(self) -> None:
        self._flush_planned = False
        if self.state in (ConnectionState.CLOSED, ConnectionState.LINGERING):
            return
        self._out += b"".join(self._render_ready())
        if self._out and not self._send():
            return
        if self.state is ConnectionState.CLOSING and not self._exchanges and not self._out:
            self._start_lingering()
            return
        if self._parser.requests or self._parser.fault is not None:
            self._dispatch_requests()
        if not self._exchanges:
            self._idle_since = self._loop.now()
        self._update_watch()

    def _render_ready(self) -> list[bytes]:
        """Removes and renders the finished answers at the head of the queue."""
        parts = []
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            assert exchange.response is not None
            if self._closes_after_next_answer and self._is_last():
                self.state = ConnectionState.CLOSING
            close = self.state is ConnectionState.CLOSING and not self._exchanges
            parts.append(render(exchange.response, close, exchange.request.method == "HEAD"))
        return parts

    def _is_last(self) -> bool:
        parser = self._parser
        return not (self._exchanges or parser.requests or parser.receiving or parser.fault)

    def _send(self) -> bool:
        """Sends as much as the socket accepts; returns False if the connection failed."""
        try:
            sent = self._socket.send(self._out)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return False
        self._out = self._out[sent:]
        if not self._out:
            self._stalled_since = None
        elif sent or self._stalled_since is None:
            self._stalled_since = self._loop.now()
        return True

    def _start_lingering(self) -> None:
        self.state = ConnectionState.LINGERING
        self._linger_until = self._loop.now() + self._limits.linger_seconds
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        self._update_watch()

    def _update_watch(self) -> None:
        if self.state is ConnectionState.CLOSED:
            return
        paused = self.state is ConnectionState.OPEN and not self._can_accept_request()
        wanted = 0 if paused else READABLE
        if self._out:
            wanted |= WRITABLE
        if wanted == self._watched:
            return
        if wanted & READABLE and self._receiving_since is not None:
            self._receiving_since = self._loop.now()
        self._watched = wanted
        if wanted:
            self._loop.watch(self._socket, wanted, self._on_ready)
        else:
            self._loop.unwatch(self._socket)
