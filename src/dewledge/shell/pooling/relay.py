"""Carries a database connection for a process that cannot reach the database itself.

The process that asks sends one frame with the database's id; then bytes pass both ways unchanged,
so sessions, proofs and retries stay where the client is. A relay ends with either connection.
"""

import socket
from collections.abc import Callable

import cbor2
from loguru import logger

from dewledge.core.pooling.group_view import DatabaseRecord
from dewledge.shell.event_loop import READABLE, EventLoop
from dewledge.shell.pooling.byte_stream import ByteStream, Connecting
from dewledge.shell.sockets import listen_tcp

CONNECT_LIMIT_SECONDS = 0.5
HEADER_LIMIT_SECONDS = 1.0
LENGTH_BYTES = 2
MAX_HEADER_BYTES = 300
MAX_RELAYS = 64
ACCEPT_BATCH = 16


def open_through_relay(
    loop: EventLoop,
    relay: str,
    database_id: str,
    connected: Callable[[socket.socket], None],
    failed: Callable[[], None],
) -> None:
    """Connects to a relay and names the database; what follows on the socket goes there."""

    def reached(sock: socket.socket) -> None:
        header = cbor2.dumps(database_id)
        try:
            sock.send(len(header).to_bytes(LENGTH_BYTES, "big") + header)
        except OSError:
            sock.close()
            failed()
            return
        connected(sock)

    Connecting(loop, relay, CONNECT_LIMIT_SECONDS, reached, failed)


class RelayServer:
    """Takes other processes' connections to databases that this one reaches."""

    def __init__(
        self, loop: EventLoop, address: str, find: Callable[[str], DatabaseRecord | None]
    ) -> None:
        """Binds `address`. Raises OSError if it cannot."""
        self._loop = loop
        self._find = find
        self._listener, self.address = listen_tcp(address)
        self._relays: set[_Relay] = set()

    def start(self) -> None:
        """Starts to accept connections."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        """Accepts no more and ends all relays."""
        self._loop.unwatch(self._listener)
        self._listener.close()
        for relay in list(self._relays):
            relay.close()

    def _accept(self, _events: int) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if len(self._relays) >= MAX_RELAYS:
                sock.close()
                continue
            self._relays.add(_Relay(self._loop, sock, self._find, self._relays.discard))


class _Relay:
    """One connection that is passed on."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        find: Callable[[str], DatabaseRecord | None],
        ended: Callable[["_Relay"], None],
    ) -> None:
        self._loop = loop
        self._find = find
        self._ended = ended
        self._early = bytearray()
        self._is_named = False
        self._database: ByteStream | None = None
        self._closed = False
        self._caller = ByteStream(loop, sock, self._from_caller, self.close)
        self._timer = loop.call_later(HEADER_LIMIT_SECONDS, self._check_opened)

    def close(self) -> None:
        """Ends both connections."""
        if self._closed:
            return
        self._closed = True
        self._timer.cancel()
        self._caller.close()
        if self._database is not None:
            self._database.close()
        self._ended(self)

    def _check_opened(self) -> None:
        if self._database is None:
            self.close()

    def _from_caller(self, data: bytes) -> None:
        if self._database is not None:
            self._database.send(data)
            return
        self._early += data
        if not self._is_named:
            self._read_header()

    def _read_header(self) -> None:
        if len(self._early) < LENGTH_BYTES:
            return
        end = LENGTH_BYTES + int.from_bytes(self._early[:LENGTH_BYTES], "big")
        if end > MAX_HEADER_BYTES:
            self.close()
            return
        if len(self._early) < end:
            return
        self._is_named = True
        header = bytes(self._early[LENGTH_BYTES:end])
        del self._early[:end]
        record = self._database_of(header)
        if record is None:
            self.close()
            return
        logger.bind(database=record.id).info("relay_opened")
        Connecting(self._loop, record.address, CONNECT_LIMIT_SECONDS, self._reached, self.close)

    def _database_of(self, header: bytes) -> DatabaseRecord | None:
        try:
            name = cbor2.loads(header)
        except (cbor2.CBORDecodeError, ValueError, TypeError):
            return None
        return self._find(name) if isinstance(name, str) else None

    def _reached(self, sock: socket.socket) -> None:
        if self._closed:
            sock.close()
            return
        self._database = ByteStream(self._loop, sock, self._caller.send, self.close)
        self._database.send(bytes(self._early))
        self._early.clear()
