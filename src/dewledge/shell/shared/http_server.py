"""Accepts HTTP connections on one address and enforces their number and timeouts.

`http_connection` reads requests and sends answers on each connection.
"""

import contextlib
import socket

from loguru import logger

from dewledge.errors import ErrorCode
from dewledge.shell.shared.event_loop import READABLE, EventLoop, Timer
from dewledge.shell.shared.http_connection import Handler, HttpConnection
from dewledge.shell.shared.http_messages import HttpLimits, refusal
from dewledge.shell.shared.sockets import accept_pending, listen_tcp

SWEEP_SECONDS = 1.0
"""Interval between two checks of the timeouts of all connections."""
ACCEPT_BATCH = 64
"""Connections accepted at most per event of the listener."""
ACCEPT_PAUSE_SECONDS = 0.1
"""Pause after a failed accept, for instance when file descriptors are exhausted."""
SERVICE_UNAVAILABLE = 503


class HttpServer:
    """An HTTP server on one address. All methods run on the loop's thread once the loop runs."""

    def __init__(self, loop: EventLoop, address: str, limits: HttpLimits, handler: Handler) -> None:
        """Binds `address` ("ip:port", port 0 for any free port). Raises OSError on failure."""
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
        """The number of open connections."""
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """The number of requests in flight on all connections."""
        return sum(connection.in_flight for connection in self._connections)

    def start(self) -> None:
        """Starts accepting connections and checking timeouts."""
        self._loop.watch(self._listener, READABLE, self._accept)
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def leave(self) -> None:
        """Closes each connection after its next answer; still accepts new connections."""
        self._leaving = True
        for connection in self._connections:
            connection.close_after_next_answer()

    def close_idle(self) -> None:
        """Stops listening and closes idle connections."""
        self._loop.unwatch(self._listener)
        self._listener.close()
        for connection in list(self._connections):
            connection.close_idle()

    def close(self) -> None:
        """Closes the listener and all connections at once."""
        self.close_idle()
        for connection in list(self._connections):
            connection.close()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def _accept(self, _events: int) -> None:
        error = accept_pending(self._listener, ACCEPT_BATCH, self._add)
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
            connection.close_after_next_answer()

    def _sweep(self) -> None:
        now = self._loop.now()
        # After a stall of the process, unread data may be waiting, so timeouts are not checked.
        was_stalled = now - self._last_sweep > 2 * SWEEP_SECONDS
        self._last_sweep = now
        if not was_stalled:
            for connection in list(self._connections):
                connection.check_time(now)
        self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)
