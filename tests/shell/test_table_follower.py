"""A table follower reconnects to a source that was unreachable, without any statement traffic."""

import time
import unittest

from dewledge.core.pooler.sharing.messages import (
    FollowTables,
    PeerLinkMessage,
    TableNews,
    TablesAnswered,
)
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.shell.pooler.links.framed_stream import FramedStream
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.pooler.tables.table_follower import TableFollower
from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import bound_address, listen_tcp
from tests.processes.relay import Relay

PATIENCE_SECONDS = 6.0
"""Above the longest pause between connection attempts to an unreachable peer, 2.5 s."""
HOLD_SECONDS = 0.2


class Source:
    """Answers follow requests after a hold, with a recent confirmation, as a publisher does."""

    def __init__(self, loop: EventLoop, address: str) -> None:
        self.questions = 0
        self._loop = loop
        self._listener, _ = listen_tcp(address)
        self._streams: list[FramedStream] = []
        loop.watch(self._listener, READABLE, self._accept)

    def close(self) -> None:
        self._loop.unwatch(self._listener)
        self._listener.close()
        for stream in self._streams:
            stream.close()

    def _accept(self, _events: int) -> None:
        sock, _ = self._listener.accept()
        number = len(self._streams)

        def received(message: PeerLinkMessage) -> None:
            if isinstance(message, FollowTables):
                self.questions += 1
                asked = message.number
                stream = self._streams[number]
                self._loop.call_later(HOLD_SECONDS, lambda: stream.send(self._answer(asked)))

        self._streams.append(FramedStream(self._loop, sock, received, lambda: None))

    @staticmethod
    def _answer(number: int) -> TablesAnswered:
        news = TableNews("op", TableDelta((), 5, False), 0.0)
        return TablesAnswered(number, (news,), HOLD_SECONDS)


class UnreachableSourcesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.addCleanup(self.loop.close)
        self.links = OutgoingLinks(self.loop, "own")
        self.addCleanup(self.links.close)
        self.addresses = [self._free_address() for _ in range(2)]
        self.reads = 0
        table = FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)
        table.apply(TableDelta((), 5, True), self.loop.now())
        self.follower = TableFollower(
            self.loop, self.links, {"op": table}, self._read, lambda: None, lambda: 9
        )
        self.addCleanup(self.follower.follow, ())

    def _read(self, _table: str) -> None:
        self.reads += 1

    @staticmethod
    def _free_address() -> str:
        listener, _ = listen_tcp("127.0.0.1:0")
        with listener:
            return bound_address(listener)

    def run_for(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.call_later(0.005, lambda: None)
            self.loop.run_once()

    # Guards against a silent link to a source that is neither closed nor dialled again.
    def test_a_silent_link_to_the_only_source_is_replaced(self) -> None:
        source = Source(self.loop, self.addresses[0])
        self.addCleanup(source.close)
        relay = Relay(self.addresses[0])
        self.addCleanup(relay.close)
        self.follower.follow([relay.address])
        self.run_for(1.0)
        relay.silence_open_links()
        self.run_for(2 * HOLD_SECONDS)
        asked = source.questions
        end = time.monotonic() + PATIENCE_SECONDS
        while source.questions == asked and time.monotonic() < end:
            self.run_for(0.1)
        self.assertGreater(source.questions, asked)

    def test_follower_stops_reading_the_store_once_sources_are_reachable(self) -> None:
        self.follower.follow(self.addresses)
        self.run_for(2.5)
        self.assertGreater(self.reads, 0)
        sources = [Source(self.loop, address) for address in self.addresses]
        for source in sources:
            self.addCleanup(source.close)
        self.run_for(PATIENCE_SECONDS)
        self.assertGreater(sum(source.questions for source in sources), 2)
        self.reads = 0
        self.run_for(3.0)
        self.assertEqual(self.reads, 0)


if __name__ == "__main__":
    unittest.main()
