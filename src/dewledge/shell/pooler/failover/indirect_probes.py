"""Opens test connections to databases, for this process and on request of other processes.

An indirect probe is a test by another process. It distinguishes a network partition between this
process and a database from the loss of the database. Each request and each answer is one datagram,
which this module never resends. ConnectTimeout adapts the timeout to observed connection times.
"""

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.connect_timeout import ConnectTimeout
from dewledge.shell.pooler.links.byte_stream import Connecting
from dewledge.shell.pooler.links.peer_messages import (
    IndirectProbeAnswer,
    IndirectProbeQuestion,
    LeaderNotice,
)
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.shared.event_loop import EventLoop


class ProbeListener(Protocol):
    """Receives reports about databases from other processes."""

    def suspect(self, group: str, database_id: str) -> None:
        """Called when another process suspects that a database is unreachable."""

    def on_probe_answer(self, answer: IndirectProbeAnswer) -> None:
        """Called when another process answers whether it can reach a database."""

    def on_leader_notice(self, notice: LeaderNotice) -> None:
        """Called when another process reports that a database is primary."""

    def newest_term(self, group: str) -> int:
        """Returns the newest term of a group that this process knows, 0 for none."""


class IndirectProbes:
    """Sends probe requests and answers those of other processes."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        peers: PeerSocket,
        find: Callable[[str], DatabaseRecord | None],
        connect_timeout: ConnectTimeout,
        listener: ProbeListener,
    ) -> None:
        """`find`: returns a database by its id, None if no group has it."""
        self._loop = loop
        self._own_name = own_name
        self._peers = peers
        self._find = find
        self._connect_timeout = connect_timeout
        self._listener = listener
        peers.on(IndirectProbeQuestion, self._on_question)
        peers.on(IndirectProbeAnswer, lambda answer, _sender: listener.on_probe_answer(answer))
        peers.on(LeaderNotice, lambda notice, _sender: listener.on_leader_notice(notice))

    def ask(self, addresses: Sequence[str], database_id: str) -> None:
        """Asks the processes at `addresses` whether they can reach a database."""
        self._peers.send(IndirectProbeQuestion(self._own_name, database_id), addresses)

    def announce_leader(self, addresses: Sequence[str], database_id: str) -> None:
        """Notifies the processes at `addresses` that a database is primary."""
        self._peers.send(LeaderNotice(self._own_name, database_id), addresses)

    def test(self, record: DatabaseRecord, done: Callable[[bool], None]) -> None:
        """Opens a test connection; calls `done` with whether it was accepted within the timeout."""
        timeout_seconds = self._connect_timeout.seconds
        started_at = self._loop.now()

        def on_connected(sock: socket.socket) -> None:
            self._connect_timeout.record_connect_time(self._loop.now() - started_at)
            sock.close()
            done(True)

        Connecting(self._loop, record.address, timeout_seconds, on_connected, lambda: done(False))

    def _on_question(self, question: IndirectProbeQuestion, sender: str) -> None:
        record = self._find(question.database)
        if record is None:
            return
        self._listener.suspect(record.group, record.id)

        def send_answer(reachable: bool) -> None:
            term = self._listener.newest_term(record.group)
            answer = IndirectProbeAnswer(self._own_name, question.database, reachable, term)
            self._peers.send(answer, [sender])

        self.test(record, send_answer)
