"""Tests whether databases are reached, for this process, and for others that ask by datagram.

An indirect probe is a test by another process: a cut between this process and a database is told
apart from the loss of the database. One datagram each way; lost ones are not repeated here. Owns no
state but the timeout of tests, which it learns from them (reach_limit.py).
"""

import socket
from collections.abc import Callable, Sequence
from typing import Protocol

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.reach_limit import ConnectTimeout
from dewledge.shell.pooler.links.byte_stream import Connecting
from dewledge.shell.pooler.links.peer_messages import (
    IndirectProbeAnswer,
    IndirectProbeQuestion,
    LeaderNotice,
)
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.shared.event_loop import EventLoop


class ProbeListener(Protocol):
    """Who is told what other processes say of databases."""

    def doubt(self, group: str, database_id: str) -> None:
        """Another process doubts a database."""

    def take_answer(self, answer: IndirectProbeAnswer) -> None:
        """Another process tells whether it reaches a database."""

    def take_leader(self, notice: LeaderNotice) -> None:
        """Another process tells that a database leads."""


class IndirectProbes:
    """The questions on databases of one process, and its answers."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        peers: PeerSocket,
        find: Callable[[str], DatabaseRecord | None],
        reach_limit: ConnectTimeout,
        listener: ProbeListener,
    ) -> None:
        """`find`: returns a database by its id, None if no group has it."""
        self._loop = loop
        self._own_name = own_name
        self._peers = peers
        self._find = find
        self._reach_limit = reach_limit
        self._listener = listener
        peers.on(IndirectProbeQuestion, self._take_question)
        peers.on(IndirectProbeAnswer, lambda answer, _sender: listener.take_answer(answer))
        peers.on(LeaderNotice, lambda notice, _sender: listener.take_leader(notice))

    def ask(self, addresses: Sequence[str], database_id: str) -> None:
        """Asks the processes at `addresses`."""
        self._peers.send(IndirectProbeQuestion(self._own_name, database_id), addresses)

    def tell_leader(self, addresses: Sequence[str], database_id: str) -> None:
        """Tells the processes at `addresses` which database leads."""
        self._peers.send(LeaderNotice(self._own_name, database_id), addresses)

    def test(self, record: DatabaseRecord, done: Callable[[bool], None]) -> None:
        """Tests whether a database's address takes connections."""
        limit = self._reach_limit.seconds
        started_at = self._loop.now()

        def connected(sock: socket.socket) -> None:
            self._reach_limit.record_connect_time(self._loop.now() - started_at)
            sock.close()
            done(True)

        Connecting(self._loop, record.address, limit, connected, lambda: done(False))

    def _take_question(self, question: IndirectProbeQuestion, sender: str) -> None:
        record = self._find(question.database)
        if record is None:
            return
        self._listener.doubt(record.group, record.id)

        def say(reachable: bool) -> None:
            answer = IndirectProbeAnswer(self._own_name, question.database, reachable)
            self._peers.send(answer, [sender])

        self.test(record, say)
