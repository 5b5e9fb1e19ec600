"""Asks other poolers whether they reach a database, and answers them. One datagram each way."""

import contextlib
import socket
from collections.abc import Callable

from dewledge.core.pooling.group_view import DatabaseRecord
from dewledge.errors import ProtocolError
from dewledge.shell.event_loop import READABLE, EventLoop
from dewledge.shell.pooling.byte_stream import Connecting
from dewledge.shell.pooling.peer_messages import (
    MAX_BYTES,
    LeaderNotice,
    WitnessAnswer,
    WitnessQuestion,
    decode,
    encode,
)
from dewledge.shell.sockets import bind_udp, parse_address

REACH_LIMIT_SECONDS = 0.3
READ_BATCH = 64


class Witnesses:
    """The peer socket of one process."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        own_name: str,
        find: Callable[[str], DatabaseRecord | None],
        asked: Callable[[DatabaseRecord], None],
        answered: Callable[[WitnessAnswer], None],
        leader_told: Callable[[LeaderNotice], None],
    ) -> None:
        """Binds `address`. Raises OSError if it cannot."""
        self._loop = loop
        self._own_name = own_name
        self._find = find
        self._asked = asked
        self._answered = answered
        self._leader_told = leader_told
        self._socket, self.address = bind_udp(address)

    def start(self) -> None:
        """Starts to take datagrams."""
        self._loop.watch(self._socket, READABLE, self._receive)

    def close(self) -> None:
        """Takes no more datagrams."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def ask(self, addresses: list[str], database_id: str) -> None:
        """Asks the processes at `addresses`."""
        data = encode(WitnessQuestion(self._own_name, database_id))
        for address in addresses:
            self._send(data, parse_address(address))

    def tell_leader(self, addresses: list[str], database_id: str) -> None:
        """Tells the processes at `addresses` which database leads."""
        data = encode(LeaderNotice(self._own_name, database_id))
        for address in addresses:
            self._send(data, parse_address(address))

    def test(self, record: DatabaseRecord, done: Callable[[bool], None]) -> None:
        """Tests whether a database's address takes connections."""

        def connected(sock: socket.socket) -> None:
            sock.close()
            done(True)

        Connecting(self._loop, record.address, REACH_LIMIT_SECONDS, connected, lambda: done(False))

    def _receive(self, _events: int) -> None:
        for _ in range(READ_BATCH):
            try:
                data, sender = self._socket.recvfrom(MAX_BYTES + 1)
            except OSError:
                return
            with contextlib.suppress(ProtocolError):
                self._take(data, sender[:2])

    def _take(self, data: bytes, sender: tuple[str, int]) -> None:
        message = decode(data)
        if isinstance(message, WitnessAnswer):
            self._answered(message)
            return
        if isinstance(message, LeaderNotice):
            self._leader_told(message)
            return
        record = self._find(message.database)
        if record is None:
            return
        self._asked(record)
        self.test(record, lambda reachable: self._say(message.database, reachable, sender))

    def _say(self, database_id: str, reachable: bool, sender: tuple[str, int]) -> None:
        self._send(encode(WitnessAnswer(self._own_name, database_id, reachable)), sender)

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        with contextlib.suppress(OSError):
            self._socket.sendto(data, address)
