"""The measure of all costs: a server that sends back what it receives, on the proxies' loop."""

import socket

from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import listen_tcp

RECEIVE_BYTES = 64 * 1024


class EchoServer:
    """Echoes bytes on every connection."""

    def __init__(self, loop: EventLoop) -> None:
        self.loop = loop
        self._listener, self.address = listen_tcp("127.0.0.1:0")
        loop.watch(self._listener, READABLE, self._accept)

    def _accept(self, _events: int) -> None:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        self.loop.watch(sock, READABLE, lambda _: self._echo(sock))

    def _echo(self, sock: socket.socket) -> None:
        data = sock.recv(RECEIVE_BYTES)
        if data:
            sock.send(data)
            return
        self.loop.unwatch(sock)
        sock.close()
