"""Sends and receives the messages of a link between processes as frames on a TCP connection."""

import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.sharing.messages import PeerLinkMessage, decode, encode
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.byte_stream import ByteStream
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.frames import FrameReader, frame_of


class FramedStream:
    """A TCP connection with message framing. Callbacks are called on the loop's thread.

    An unreadable message ends the connection.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        received: Callable[[PeerLinkMessage], None],
        ended: Callable[[], None],
        on_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_bytes`: called when bytes arrive, before their messages are passed to `received`."""
        self._received = received
        self._ended = ended
        self._on_bytes = on_bytes
        self._reader = FrameReader()
        self._stream = ByteStream(loop, sock, self._read_frames, ended)

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._stream.closed

    @property
    def is_sending(self) -> bool:
        """Whether messages are buffered that the socket has not accepted."""
        return self._stream.is_sending

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message; see ByteStream.send."""
        self._stream.send(frame_of(encode(message)))

    def close(self) -> None:
        """Closes the connection immediately, without calling `ended`."""
        self._stream.close()

    def _read_frames(self, data: bytes) -> None:
        self._on_bytes()
        try:
            for body in self._reader.feed(data):
                if not self._stream.closed:
                    self._received(decode(body))
        except ProtocolError as error:
            logger.bind(error=error.message).warning("link_refused")
            if not self._stream.closed:
                self._stream.close()
                self._ended()
