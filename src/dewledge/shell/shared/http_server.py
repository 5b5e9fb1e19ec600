"""Listens for HTTP callers and keeps their connections within the stated bounds.

Owns one listening address and its connections; `http_connection` reads and answers on each.
"""

import contextlib
import socket

from loguru import logger

from dewledge.errors import ErrorCode
from dewledge.shell.shared.event_loop import READABLE, EventLoop, Timer
from dewledge.shell.shared.http_connection import Handler, HttpConnection
from dewledge.shell.shared.http_messages import HttpLimits, refusal
from dewledge.shell.shared.sockets import accept_waiting, listen_tcp

SWEEP_SECONDS = 1.0
"""Between two looks at connections that are too slow."""
ACCEPT_BATCH = 64
"""Connections accepted in one turn of the loop."""
ACCEPT_PAUSE_SECONDS = 0.1
"""After an accept that failed, as where descriptors are used up."""
SERVICE_UNAVAILABLE = 503


class HttpServer:
    """One listening address. All methods belong to the loop's thread once it runs."""

    def __init__(self, loop: EventLoop, address: str, limits: HttpLimits, handler: Handler) -> None:
        """Binds `address` ("ip:port", port 0 for any). Raises OSError if it cannot."""
        self._loop = loop
        self._limits = limits
        self._handler = handler
        self._listener, self.address = listen_tcp(address)
        self._connections: set[HttpConnection] = set()
        self._leaving = False
        self._sweep_timer: Timer | None = None
        self._last_sweep = loop.now()

    @property
    def connection_count(self) -> int:
        """The callers' connections that are open."""
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """The requests taken whose answers have not left."""
        return sum(connection.in_flight for connection in self._connections)

    def start(self) -> None:
        """Starts to accept connections."""
        self._loop.watch(self._listener, READABLE, self._accept)
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def leave(self) -> None:
        """Ends each connection with its next answer; new connections are still answered."""
        self._leaving = True
        for connection in self._connections:
            connection.want_close()

    def close_idle(self) -> None:
        """Accepts no more, and ends the connections that are between requests."""
        self._loop.unwatch(self._listener)
        self._listener.close()
        for connection in list(self._connections):
            connection.close_idle()

    def close(self) -> None:
        """Closes everything at once."""
        self.close_idle()
        for connection in list(self._connections):
            connection.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _accept(self, _events: int) -> None:
        error = accept_waiting(self._listener, ACCEPT_BATCH, self._add)
        if error is not None:
            logger.bind(error=str(error)).warning("accept_failed")
            self._pause_accepting()

    def _pause_accepting(self) -> None:
        self._loop.unwatch(self._listener)
        self._loop.call_later(ACCEPT_PAUSE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener.fileno() >= 0:
            self._loop.watch(self._listener, READABLE, self._accept)

    def _add(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = HttpConnection(
            self._loop, sock, self._limits, self._handler, self._connections.discard
        )
        self._connections.add(connection)
        if len(self._connections) > self._limits.max_connections:
            message = "the proxy holds as many connections as it may"
            connection.refuse(
                refusal(
                    SERVICE_UNAVAILABLE,
                    ErrorCode.OVERLOADED,
                    message,
                    headers=(("Retry-After", "1"),),
                )
            )
        elif self._leaving:
            connection.want_close()

    def _sweep(self) -> None:
        now = self._loop.now()
        # After a freeze callers are not late: what they have sent just waits to be read.
        was_held_up = now - self._last_sweep > 2 * SWEEP_SECONDS
        self._last_sweep = now
        if not was_held_up:
            for connection in list(self._connections):
                connection.check_time(now)
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)
