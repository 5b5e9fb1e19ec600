"""Links to connection holders: new statements must avoid a silent holder and use it again once it
replies."""

import socket
import time
import unittest
from collections.abc import Callable

from dewledge.core.pooler.events import HolderJudged, PoolingEvent
from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sharing.messages import (
    ChannelStatement,
    Leaving,
    PeerLinkMessage,
    Ping,
    Pong,
    channel_reply,
)
from dewledge.core.pooler.statements.statements import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.errors import ErrorCode
from dewledge.shell.pooler.known_databases import KnownDatabases
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.pooler.links.framed_stream import FramedStream
from dewledge.shell.pooler.links.open_request import OpenRequest
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import bound_address

TIMEOUT_SECONDS = 10.0


class Holder:
    """Accepts links on the test's loop; answers pings, and statements unless `is_slow`."""

    def __init__(self, loop: EventLoop, port: int = 0) -> None:
        self.is_silent = False
        self.is_slow = False
        self.statements = 0
        self._loop = loop
        self._listener = socket.create_server(("127.0.0.1", port))
        self._listener.setblocking(False)
        self.address = bound_address(self._listener)
        self.streams: list[FramedStream] = []
        loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        self._loop.unwatch(self._listener)
        self._listener.close()
        for stream in self.streams:
            stream.close()

    def _accept(self, _events: int) -> None:
        sock, _ = self._listener.accept()
        number = len(self.streams)

        def received(message: PeerLinkMessage) -> None:
            self._handle(self.streams[number], message)

        self.streams.append(FramedStream(self._loop, sock, received, lambda: None))

    def _handle(self, stream: FramedStream, message: PeerLinkMessage) -> None:
        if isinstance(message, ChannelStatement):
            self.statements += 1
        if self.is_silent:
            return
        if isinstance(message, Ping):
            stream.send(Pong())
        elif isinstance(message, ChannelStatement) and not self.is_slow:
            stream.send(channel_reply(message.channel, Reply(TransactionState.IDLE)))


class UnresponsiveAddress:
    """An address whose dials hang, as in a network partition: its accept queue is full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address = bound_address(self._listener)
        self._fillers = [socket.socket() for _ in range(4)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex(self._listener.getsockname())

    def close(self) -> None:
        self._listener.close()
        for filler in self._fillers:
            filler.close()


class LinksCase(unittest.TestCase):
    is_judged = True

    def setUp(self) -> None:
        self.loop = EventLoop()
        self.addCleanup(self.loop.close)
        self.events: list[PoolingEvent] = []
        self.links = OutgoingLinks(self.loop, "own", self.events.append, self.is_judged)
        self.addCleanup(self.links.close)
        self.channels = ChannelClient(self.loop, self.links, KnownDatabases({}))
        self.first = self.holder()
        self.second = self.holder()

    def holder(self) -> Holder:
        holder = Holder(self.loop)
        self.addCleanup(holder.close)
        return holder

    def run_until(self, what: str, is_reached: Callable[[], bool]) -> float:
        """Runs the loop until a condition holds; returns the elapsed seconds."""
        started = time.monotonic()
        while not is_reached():
            self.assertLess(time.monotonic(), started + TIMEOUT_SECONDS, what)
            self.loop.call_later(0.005, lambda: None)
            self.loop.run_once()
        return time.monotonic() - started

    def run_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.run_until("time passes", lambda: time.monotonic() >= end)

    def open(self, *addresses: str) -> tuple[list[DatabaseConnection], list[ErrorCode]]:
        opened: list[DatabaseConnection] = []
        failed: list[ErrorCode] = []
        request = OpenRequest("d", "", opened.append, failed.append, lambda _: None)
        self.channels.open(request, addresses)
        return opened, failed

    def channel(self, *addresses: str) -> DatabaseConnection:
        opened, failed = self.open(*addresses)
        self.run_until("a channel", lambda: bool(opened or failed))
        self.assertEqual(failed, [])
        return opened[0]

    def send_statement(self, connection: DatabaseConnection) -> list[Reply | None]:
        replies: list[Reply | None] = []
        connection.send(Statement("s", StatementKind.READ, "read"), replies.append)
        return replies

    def serves(self, holder: Holder, connection: DatabaseConnection) -> bool:
        """Sends a statement; returns whether it reached the holder."""
        before = holder.statements
        replies = self.send_statement(connection)
        self.run_until("an answer", lambda: bool(replies))
        return holder.statements > before

    def state_of(self, holder: Holder) -> HolderState:
        return self.links.to(holder.address).health.state


class OutgoingLinksTest(LinksCase):
    def test_suspected_holder_is_skipped_immediately(self) -> None:
        addresses = (self.first.address, self.second.address)
        connection = self.channel(*addresses)
        self.assertTrue(self.serves(self.first, connection))
        judged: list[HolderState] = []
        connection.on_holder_state = judged.append
        self.first.is_silent = True
        self.send_statement(connection)
        took = self.run_until("the holder is suspected", lambda: bool(judged))
        self.assertLess(took, 0.4)
        self.assertTrue(connection.is_retiring)
        self.assertTrue(self.serves(self.second, self.channel(*addresses)))
        self.run_until("the holder is silent", lambda: HolderState.SILENT in judged)
        states = [event.state for event in self.events if isinstance(event, HolderJudged)]
        self.assertEqual(states, ["doubted", "silent"])

    def test_holder_that_replies_again_is_usable(self) -> None:
        connection = self.channel(self.first.address)
        self.first.is_silent = True
        self.send_statement(connection)
        self.run_until("the holder is suspected", lambda: connection.is_retiring)
        self.first.streams[0].send(Pong())
        self.run_until("the holder is usable", lambda: not connection.is_retiring)
        self.assertIs(self.state_of(self.first), HolderState.USABLE)

    def test_reply_does_not_make_leaving_holder_usable(self) -> None:
        connection = self.channel(self.first.address)
        self.first.is_silent = True
        self.run_until("the link is open", lambda: bool(self.first.streams))
        self.first.streams[0].send(Leaving())
        self.run_until("the holder announces its stop", lambda: connection.is_retiring)
        self.send_statement(connection)
        self.run_until(
            "the holder is suspected", lambda: self.state_of(self.first) is not HolderState.USABLE
        )
        self.first.streams[0].send(Pong())
        self.run_until(
            "the holder is usable", lambda: self.state_of(self.first) is HolderState.USABLE
        )
        self.assertTrue(connection.is_retiring)

    def test_slow_database_does_not_make_holder_silent(self) -> None:
        connection = self.channel(self.first.address)
        self.first.is_slow = True
        self.send_statement(connection)
        self.run_for(1.5)
        self.assertEqual(self.events, [])
        self.assertFalse(connection.is_retiring)

    def test_hanging_dial_tries_next_holder_before_connect_timeout(self) -> None:
        unresponsive = UnresponsiveAddress()
        self.addCleanup(unresponsive.close)
        opened, _ = self.open(unresponsive.address, self.second.address)
        took = self.run_until("a channel through the second holder", lambda: bool(opened))
        self.assertLess(took, 0.35)
        opened, _ = self.open(unresponsive.address, self.second.address)
        self.assertLess(self.run_until("an immediate result", lambda: bool(opened)), 0.1)

    def test_request_fails_immediately_if_all_holders_are_silent(self) -> None:
        unresponsive = UnresponsiveAddress()
        self.addCleanup(unresponsive.close)
        _, failed = self.open(unresponsive.address)
        self.run_until("the first failure", lambda: bool(failed))
        _, failed = self.open(unresponsive.address)
        self.assertLess(self.run_until("an immediate result", lambda: bool(failed)), 0.1)

    def test_lost_holder_is_found_again_by_probe_and_not_by_statement(self) -> None:
        addresses = (self.first.address, self.second.address)
        self.channel(*addresses)
        self.run_until("the link is open", lambda: bool(self.first.streams))
        port = int(self.first.address.rpartition(":")[2])
        self.first.close()
        self.run_until(
            "the holder is lost", lambda: self.state_of(self.first) is HolderState.SILENT
        )
        for _ in range(3):
            self.assertTrue(self.serves(self.second, self.channel(*addresses)))
        restarted = Holder(self.loop, port)
        self.addCleanup(restarted.close)
        self.run_for(0.4)
        self.assertTrue(self.serves(self.second, self.channel(*addresses)))
        self.run_until(
            "the probe finds the holder", lambda: self.state_of(restarted) is HolderState.USABLE
        )
        self.assertTrue(self.serves(restarted, self.channel(*addresses)))


class ProbesDisabledTest(LinksCase):
    """The behaviour with `[load] silent_holders = false`."""

    is_judged = False

    def test_half_a_second_of_silence_is_tolerated(self) -> None:
        connection = self.channel(self.first.address, self.second.address)
        self.first.is_silent = True
        self.send_statement(connection)
        took = self.run_until("the connection is retiring", lambda: connection.is_retiring)
        self.assertGreater(took, 0.45)

    def test_hanging_dial_delays_next_holder(self) -> None:
        unresponsive = UnresponsiveAddress()
        self.addCleanup(unresponsive.close)
        opened, _ = self.open(unresponsive.address, self.second.address)
        took = self.run_until("a channel through the second holder", lambda: bool(opened))
        self.assertGreater(took, 0.35)

    def test_slow_database_does_not_make_holder_silent(self) -> None:
        connection = self.channel(self.first.address)
        self.first.is_slow = True
        self.send_statement(connection)
        self.run_for(1.5)
        self.assertFalse(connection.is_retiring)


if __name__ == "__main__":
    unittest.main()
