"""Non-blocking TCP connections on the event loop.

A `ByteStream` owns its socket and a buffer of unsent bytes. The callback `ended` is called at most
once, and never after `close`.
"""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from dewledge.shell.shared.event_loop import READABLE, WRITABLE, EventLoop, Timer
from dewledge.shell.shared.sockets import KeepAlive, configure_link, family_of, parse_address

READ_BYTES = 64 * 1024
"""Bytes read from a connection in one iteration of the event loop."""
MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Bytes buffered for one connection. A peer that has more of its earlier answers to read when the
next one is sent reads too slowly, and is disconnected."""
CLOSE_LINGER_SECONDS = 1.0
"""Seconds between the last bytes sent and the close of the socket. A close with unread input would
send a reset, and the peer could lose the last answer."""
_QUEUE_SIZE = struct.Struct("i")
_END_OF_STREAM = 1
"""Unacknowledged units that the system counts for the end of the stream."""
KEEP_ALIVE_PROBES = KeepAlive(idle_seconds=1, interval_seconds=1, probes=3)
"""Closes an idle connection after 4 seconds if its peer no longer answers keep-alive probes."""
USER_TIMEOUT_MS = 4000
"""Milliseconds that sent bytes may stay unacknowledged before the system closes the connection."""


class ByteStream:
    """A connected TCP socket. `received` and `ended` are called on the loop's thread."""

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
        self._sent_at = loop.now()
        self._closing = False
        self.closed = False
        sock.setblocking(False)
        configure_link(sock, KEEP_ALIVE_PROBES)
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        loop.watch(sock, READABLE, self._on_ready)

    @property
    def is_sending(self) -> bool:
        """Whether bytes are buffered that the socket has not accepted."""
        return not self.closed and bool(self._unsent)

    def send(self, data: bytes) -> None:
        """Sends bytes, buffering whatever the socket does not accept yet.

        Ends the connection if more than `MAX_UNSENT_BYTES` of earlier calls are still buffered.
        """
        if self.closed or self._closing:
            return
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._end()
            return
        self._unsent += data
        self._flush()

    def read_available(self) -> None:
        """Reads bytes that have arrived already, without waiting for the loop."""
        if not self.closed and not self._closing:
            self._read()

    def close_after_sending(self) -> None:
        """Closes the connection after all buffered bytes are sent.

        Input that meets the close is not read once the peer has all bytes: the system refuses it. A
        request that was read and not answered would leave its sender waiting.
        """
        if self.closed:
            return
        self._closing = True
        if self._unsent:
            return
        if self._loop.now() >= self._sent_at + CLOSE_LINGER_SECONDS:
            self.close()
        else:
            self._shut_down()

    def close(self) -> None:
        """Closes the connection immediately, without calling `ended`."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _shut_down(self) -> None:
        """Shuts down the sending side and closes the socket after `CLOSE_LINGER_SECONDS`."""
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
        if self._closing and self._has_peer_everything():
            self._end()
            return
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

    def _has_peer_everything(self) -> bool:
        """Returns whether the peer's system has acknowledged all bytes; False if not known."""
        if self._unsent:
            return False
        try:
            answer = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(_QUEUE_SIZE.size))
        except OSError:
            return False
        return int(_QUEUE_SIZE.unpack(answer)[0]) <= _END_OF_STREAM

    def _flush(self) -> None:
        try:
            sent = self._socket.send(self._unsent) if self._unsent else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self._loop.call_later(0.0, self._end)
            return
        if sent:
            self._sent_at = self._loop.now()
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
    """An attempt to connect within `limit` seconds. Calls `connected` or `failed` once, unless
    cancelled."""

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
        self._is_finished = False
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
        """Aborts the attempt without calling `connected` or `failed`."""
        if not self._is_finished:
            self._is_finished = True
            self._release()
            self._socket.close()

    def _on_ready(self, _events: int) -> None:
        if self._is_finished:
            return
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail()
            return
        self._is_finished = True
        self._release()
        self._connected(self._socket)

    def _fail(self) -> None:
        if self._is_finished:
            return
        self.cancel()
        self._failed()

    def _release(self) -> None:
        self._timer.cancel()
        self._loop.unwatch(self._socket)
