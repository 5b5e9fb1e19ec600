"""Messages of a link between processes over one TCP connection.

Relies on `byte_stream` for the connection and on `core/pooler/sharing/messages` for the encoding.
"""

import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.sharing.messages import PeerLinkMessage, decode, encode
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.byte_stream import ByteStream
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.frames import FrameReader, frame_of


class FramedStream:
    """One end of a link. `received` and `ended` are called on the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        received: Callable[[PeerLinkMessage], None],
        ended: Callable[[], None],
        heard: Callable[[], None] = lambda: None,
    ) -> None:
        """`heard`: called whenever bytes have come, before what they hold is told."""
        self._received = received
        self._ended = ended
        self._heard = heard
        self._reader = FrameReader()
        self._stream = ByteStream(loop, sock, self._take_bytes, ended)

    @property
    def closed(self) -> bool:
        """Whether the connection is over."""
        return self._stream.closed

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message now or as the other end takes it."""
        self._stream.send(frame_of(encode(message)))

    def close(self) -> None:
        """Closes at once, without a call of `ended`."""
        self._stream.close()

    def _take_bytes(self, data: bytes) -> None:
        self._heard()
        try:
            for body in self._reader.feed(data):
                if not self._stream.closed:
                    self._received(decode(body))
        except ProtocolError as error:
            logger.bind(error=error.message).warning("link_refused")
            if not self._stream.closed:
                self._stream.close()
                self._ended()
