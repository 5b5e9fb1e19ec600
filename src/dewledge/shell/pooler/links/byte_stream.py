"""A non-blocking TCP connection on the event loop: bytes in, bytes out, one end.

Owns the socket and what was not sent yet. An end is told once, a close of one's own never.
"""

import contextlib
import errno
import socket
from collections.abc import Callable

from dewledge.shell.shared.event_loop import READABLE, WRITABLE, EventLoop, Timer
from dewledge.shell.shared.sockets import KeepAlive, family_of, parse_address, tune_link

READ_BYTES = 64 * 1024
"""Taken in one turn of the loop."""
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Of one connection; an other end that takes so little is given up."""
CLOSE_LINGER_SECONDS = 1.0
"""Read on after the last answer, so that no reset cuts it."""
NOTICES_SILENCE = KeepAlive(idle_seconds=1, interval_seconds=1, probes=3)
"""An idle connection whose other end is gone ends after 4 s."""
USER_TIMEOUT_MS = 4000
"""Bytes that were sent and not taken for so long end the connection."""


class ByteStream:
    """One connection. `received` and `ended` are called on the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        received: Callable[[bytes], None],
        ended: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._received = received
        self._ended = ended
        self._unsent = bytearray()
        self._closing = False
        self.closed = False
        sock.setblocking(False)
        tune_link(sock, NOTICES_SILENCE)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        loop.watch(sock, READABLE, self._on_ready)

    def send(self, data: bytes) -> None:
        """Sends bytes now or as the other end takes them."""
        if self.closed or self._closing:
            return
        self._unsent += data
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._end()
            return
        self._flush()

    def take_arrived(self) -> None:
        """Takes what has arrived by now, before the loop comes to it."""
        if not self.closed and not self._closing:
            self._read()

    def close_after_sending(self) -> None:
        """Closes once everything sent has left."""
        if self.closed:
            return
        self._closing = True
        if not self._unsent:
            self._shut_down()

    def close(self) -> None:
        """Closes at once, without a call of `ended`."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _shut_down(self) -> None:
        """Ends the sending side, and reads on for a moment so that no reset cuts the answer."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        self._loop.call_later(CLOSE_LINGER_SECONDS, self._end)

    def _on_ready(self, events: int) -> None:
        if self.closed:
            return
        if events & WRITABLE:
            self._flush()
        if events & READABLE and not self.closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._socket.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._end()
        elif not self._closing:
            self._received(data)

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._unsent) if self._unsent else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._loop.call_later(0.0, self._end)
            return
        del self._unsent[:sent]
        if self._unsent:
            self._loop.watch(self._socket, READABLE | WRITABLE, self._on_ready)
            return
        self._loop.watch(self._socket, READABLE, self._on_ready)
        if self._closing:
            self._shut_down()

    def _end(self) -> None:
        if self.closed:
            return
        self.close()
        self._ended()


class Connecting:
    """An attempt to connect; calls `connected` or `failed` once."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        limit: float,
        connected: Callable[[socket.socket], None],
        failed: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._connected = connected
        self._failed = failed
        self._over = False
        host, port = parse_address(address)
        self._socket = socket.socket(family_of(host), socket.SOCK_STREAM)
        self._socket.setblocking(False)
        self._timer: Timer = loop.call_later(limit, self._fail)
        code = self._socket.connect_ex((host, port))
        if code in (0, errno.EINPROGRESS):
            loop.watch(self._socket, WRITABLE, self._on_ready)
        else:
            loop.call_later(0.0, self._fail)

    def cancel(self) -> None:
        """Gives the attempt up, without a call."""
        if not self._over:
            self._over = True
            self._release()
            self._socket.close()

    def _on_ready(self, _events: int) -> None:
        if self._over:
            return
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            return
        self._over = True
        self._release()
        self._connected(self._socket)

    def _fail(self) -> None:
        if self._over:
            return
        self.cancel()
        self._failed()

    def _release(self) -> None:
        self._timer.cancel()
        self._loop.unwatch(self._socket)
