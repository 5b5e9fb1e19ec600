"""A UDP socket for messages between poolers, with one handler per message type.

Datagrams that cannot be sent or decoded are dropped; senders that need an answer must retry.
"""

import contextlib
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.peer_messages import MAX_BYTES, PeerMessage, decode, encode
from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import bind_udp, format_address, parse_address

READ_BATCH = 64
"""Datagrams received in one iteration of the event loop."""

MessageHandler = Callable[[Any, str], None]
"""Handles a message of the type that it is registered for. The second argument is the address
("ip:port") of the sender."""


class PeerSocket:
    """Sends and receives datagrams, which may be lost or duplicated.

    All methods must be called on the loop's thread.
    """

    def __init__(self, loop: EventLoop, address: str) -> None:
        """Binds `address`. Raises OSError on failure."""
        self._loop = loop
        self._handlers: dict[type[msgspec.Struct], MessageHandler] = {}
        self._socket, self.address = bind_udp(address)

    def on(self, kind: type[msgspec.Struct], handler: MessageHandler) -> None:
        """Registers the handler for messages of one type."""
        self._handlers[kind] = handler

    def start(self) -> None:
        """Starts to receive datagrams."""
        self._loop.watch(self._socket, READABLE, self._receive)

    def close(self) -> None:
        """Closes the socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def send(self, message: PeerMessage, addresses: Iterable[str]) -> None:
        """Sends a message to each address; drops it if it exceeds `MAX_BYTES`."""
        data = encode(message)
        if len(data) > MAX_BYTES:
            return
        for address in addresses:
            with contextlib.suppress(OSError):
                self._socket.sendto(data, parse_address(address))

    def _receive(self, _events: int) -> None:
        for _ in range(READ_BATCH):
            try:
                data, sender = self._socket.recvfrom(MAX_BYTES + 1)
            except OSError:
                return
            with contextlib.suppress(ProtocolError):
                self._dispatch(decode(data), format_address(sender[0], sender[1]))

    def _dispatch(self, message: PeerMessage, sender: str) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, sender)
