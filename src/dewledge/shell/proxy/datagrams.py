"""The UDP socket of membership."""

import contextlib
from collections.abc import Callable

from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import bind_udp, format_address, parse_address

RECEIVE_BYTES = 64 * 1024
RECEIVE_BATCH = 64

DatagramHandler = Callable[[bytes, str], None]


class DatagramSocket:
    """Sends and receives datagrams; what cannot be sent at once is lost, as UDP may."""

    def __init__(self, loop: EventLoop, address: str) -> None:
        """Binds `address` ("ip:port", port 0 for any). Raises OSError if it cannot."""
        self._loop = loop
        self._socket, self.address = bind_udp(address)
        self._handler: DatagramHandler | None = None

    def start(self, handler: DatagramHandler) -> None:
        """Calls `handler(data, sender address)` for each datagram."""
        self._handler = handler
        self._loop.watch(self._socket, READABLE, self._receive)

    def send(self, address: str, data: bytes) -> None:
        """Sends one datagram."""
        with contextlib.suppress(OSError, ValueError):
            self._socket.sendto(data, parse_address(address))

    def close(self) -> None:
        """Closes the socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _receive(self, _events: int) -> None:
        assert self._handler is not None
        for _ in range(RECEIVE_BATCH):
            try:
                data, sender = self._socket.recvfrom(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                continue  # an earlier datagram's ICMP error
            self._handler(data, format_address(sender[0], sender[1]))
