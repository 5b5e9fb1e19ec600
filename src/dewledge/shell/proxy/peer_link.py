"""One TCP link between two proxies, after it is connected.

A link is used in one sense only: its dialler sends requests, its acceptor the answers to them.
So the end of a link says exactly which requests are in doubt.
"""

import socket
from collections import deque
from collections.abc import Callable

import msgspec

from dewledge.core.proxy.messages import PeerMessage, decode, encode
from dewledge.errors import ProtocolError
from dewledge.shell.shared.event_loop import READABLE, WRITABLE, EventLoop
from dewledge.shell.shared.frames import HEARTBEAT_FRAME, FrameReader, frame_of

RECEIVE_BYTES = 256 * 1024
MAX_OUTBOUND_BYTES = 8 * 1024 * 1024
MAX_BUFFERS_PER_SEND = 64


class LinkClosed(msgspec.Struct, frozen=True):
    """Why a link ended, and the requests of which no byte had left."""

    reason: str
    unsent_requests: tuple[int, ...]


class _OutboundFrame(msgspec.Struct, frozen=True):
    """A frame to send; request: the correlation if it is a statement request."""

    data: bytes
    request: int | None


class PeerLink:
    """A connected socket that carries frames. All methods belong to the loop's thread."""

    __slots__ = (
        "_flush_planned",
        "_loop",
        "_on_closed",
        "_on_message",
        "_out",
        "_out_bytes",
        "_reader",
        "_sent_of_first",
        "_socket",
        "_watched",
        "answers_heartbeats",
        "closed",
        "last_received",
        "peer",
    )

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        answers_heartbeats: bool,
        on_message: Callable[["PeerLink", PeerMessage], None],
        on_closed: Callable[["PeerLink", LinkClosed], None],
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._on_message = on_message
        self._on_closed = on_closed
        self._reader = FrameReader()
        self._out: deque[_OutboundFrame] = deque()
        self._out_bytes = 0
        self._sent_of_first = 0
        self._flush_planned = False
        self._watched = READABLE
        self.answers_heartbeats = answers_heartbeats
        self.peer = ""
        self.closed = False
        self.last_received = loop.now()
        loop.watch(sock, READABLE, self._on_ready)

    def send(self, message: PeerMessage, request: int | None = None) -> None:
        """Queues a message; a link whose peer does not keep up is closed, not buffered for."""
        self._enqueue(frame_of(encode(message)), request)

    def send_heartbeat(self) -> None:
        """Asks the acceptor for a sign of life."""
        self._enqueue(HEARTBEAT_FRAME, None)

    def close(self, reason: str) -> None:
        """Closes the link and reports it once."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._socket)
        self._socket.close()
        self._on_closed(self, LinkClosed(reason, self._unsent_requests()))

    def _enqueue(self, data: bytes, request: int | None) -> None:
        if self.closed:
            return
        self._out.append(_OutboundFrame(data, request))
        self._out_bytes += len(data)
        if self._out_bytes > MAX_OUTBOUND_BYTES:
            self._loop.post(self._close_overfull)
        elif not self._flush_planned:
            self._flush_planned = True
            self._loop.call_before_sleep(self._flush)

    def _close_overfull(self) -> None:
        self.close("the outbound buffer is full")

    def _unsent_requests(self) -> tuple[int, ...]:
        waiting = list(self._out)
        if self._sent_of_first:
            waiting = waiting[1:]
        return tuple(frame.request for frame in waiting if frame.request is not None)

    def _on_ready(self, events: int) -> None:
        if events & WRITABLE:
            self._flush()
        if events & READABLE and not self.closed:
            self._read()

    def _read(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(f"receive failed: {error}")
            return
        if not data:
            self.close("the peer closed it")
            return
        self.last_received = self._loop.now()
        try:
            for frame in self._reader.feed(data):
                self._take_frame(frame)
        except ProtocolError as error:
            self.close(error.message)

    def _take_frame(self, frame: bytes) -> None:
        if self.closed:
            return
        if frame:
            self._on_message(self, decode(frame))
        elif self.answers_heartbeats:
            self.send_heartbeat()

    def _flush(self) -> None:
        self._flush_planned = False
        if self.closed:
            return
        while self._out:
            try:
                sent = self._socket.sendmsg(self._next_buffers())
            except BlockingIOError:
                break
            except OSError as error:
                self.close(f"send failed: {error}")
                return
            self._drop_sent(sent)
        self._update_watch()

    def _next_buffers(self) -> list[bytes | memoryview]:
        first = memoryview(self._out[0].data)[self._sent_of_first :]
        buffers: list[bytes | memoryview] = [first]
        for index in range(1, min(len(self._out), MAX_BUFFERS_PER_SEND)):
            buffers.append(self._out[index].data)
        return buffers

    def _drop_sent(self, sent: int) -> None:
        self._out_bytes -= sent
        sent += self._sent_of_first
        while self._out and sent >= len(self._out[0].data):
            sent -= len(self._out.popleft().data)
        self._sent_of_first = sent

    def _update_watch(self) -> None:
        wanted = READABLE | WRITABLE if self._out else READABLE
        if wanted != self._watched:
            self._watched = wanted
            self._loop.watch(self._socket, wanted, self._on_ready)
