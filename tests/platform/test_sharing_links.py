"""Links between processes over sockets: a session through one, pieces, nonsense, each end."""

import socket
import threading
import unittest
from collections.abc import Callable
from unittest import mock

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.load import load_reporter
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.messages import (
    ChannelClosed,
    ChannelEnded,
    ChannelOpened,
    ChannelReply,
    Leaving,
    LinkOpened,
    PeerLinkMessage,
    Ping,
    Pong,
    channel_statement,
    decode,
    encode,
)
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator
from dewledge.core.pooler.statements.statements import Statement, StatementKind
from dewledge.platform.wire_codec import WireDatabaseCodec
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.database_opener import DirectOpener
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.frames import FrameReader, frame_of
from tests.platform.table_store import TableStore
from tests.platform.wire_databases import WireGroup, wait_until

WRITE = Statement("7", StatementKind.WRITE, "WRITE fish v1")


class LinkCase(unittest.TestCase):
    def setUp(self) -> None:
        store = TableStore()
        self.addCleanup(store.close)
        self.model = WireGroup("menus", store)
        self.addCleanup(self.model.close)
        self.loop = EventLoop()
        self.services = PoolServices(self.loop, lambda _event: None)
        opener = DirectOpener(self.loop, "holder", WireDatabaseCodec, self.find)
        self.group = Group("menus", Locality("z", {}), opener, self.loop.now, 5.0)
        for database in self.model.databases.values():
            record = self.find(f"i-{database.name.removeprefix('i-')}")
            assert record is not None
            self.group.change_view(self.group.view.with_record(record, 0.0))
        self.server = ChannelServer(
            self.loop, "127.0.0.1:0", self.services, self.group_of, lambda *_: None
        )
        self.server.start()
        thread = threading.Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(self.loop.stop)
        self.addCleanup(lambda: self.loop.post(self.server.close))

    def find(self, database_id: str) -> DatabaseRecord | None:
        for database in self.model.databases.values():
            if database.name == database_id:
                role = DatabaseRole.PRIMARY if database.leads else DatabaseRole.REPLICA
                return DatabaseRecord(
                    database_id, "menus", database.address, "z", role, False, 3, 1
                )
        return None

    def group_of(self, database_id: str) -> Group | None:
        return self.group if self.find(database_id) is not None else None

    def link(self) -> "LinkProbe":
        probe = LinkProbe(self.server.address)
        self.addCleanup(probe.socket.close)
        return probe


class LinkProbe:
    """The dialling end of a link, by hand."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_connection((host, int(port)), timeout=3.0)
        self._reader = FrameReader()
        self._messages: list[PeerLinkMessage] = []

    def send(self, *messages: PeerLinkMessage) -> None:
        self.socket.sendall(b"".join(frame_of(encode(message)) for message in messages))

    def next(self) -> PeerLinkMessage | None:
        while not self._messages:
            data = self.socket.recv(4096)
            if not data:
                return None
            self._messages += [decode(body) for body in self._reader.feed(data)]
        return self._messages.pop(0)


class LinkTest(LinkCase):
    def test_a_session_runs_through_it(self) -> None:
        link = self.link()
        link.send(
            LinkOpened("me"), ChannelOpened(1, "i-north"), channel_statement(1, WRITE, None, 0)
        )
        reply = link.next()
        assert isinstance(reply, ChannelReply)
        self.assertIsNone(reply.code)
        self.assertEqual((reply.channel, reply.signature), (1, "signed.7"))
        self.assertIsNotNone(reply.proof)

    def test_the_load_comes_with_an_answer_and_not_again_while_it_is_the_same(self) -> None:
        """The load is made to stay the same, and no word to grow old, however slow the machine."""
        self.group.read_choice = CompletionEstimator(self.loop.now, lambda: 0.5)
        link = self.link()
        link.send(LinkOpened("me"), ChannelOpened(1, "i-north"))
        first = self.load_told(link)
        assert first is not None
        self.assertEqual((first.waiting, first.window), (0, 1))
        with (
            mock.patch.object(load_reporter, "REPORT_HALF_LIFE_SECONDS", 60.0),
            mock.patch.object(self.group, "load_report", return_value=first),
        ):
            self.assertEqual([self.load_told(link), self.load_told(link)], [None, None])

    def load_told(self, link: LinkProbe) -> LoadReport | None:
        link.send(channel_statement(1, WRITE, None, 0))
        reply = link.next()
        assert isinstance(reply, ChannelReply)
        return reply.load

    def test_no_load_is_told_where_none_is_used(self) -> None:
        link = self.link()
        link.send(
            LinkOpened("me"), ChannelOpened(1, "i-north"), channel_statement(1, WRITE, None, 0)
        )
        reply = link.next()
        assert isinstance(reply, ChannelReply)
        self.assertIsNone(reply.load)

    def test_messages_in_pieces(self) -> None:
        link = self.link()
        opened = (LinkOpened("me"), ChannelOpened(1, "i-north"))
        for message in (*opened, channel_statement(1, WRITE, None, 0)):
            for byte in frame_of(encode(message)):
                link.socket.sendall(bytes([byte]))
        self.assertIsInstance(link.next(), ChannelReply)

    def test_what_makes_no_sense_ends_the_link_and_no_other(self) -> None:
        other = self.link()
        other.send(LinkOpened("other"))
        for data in (
            b"\xff\xff\xff\xff",
            frame_of(b"\xff\xff\xff"),
            frame_of(b"\x01"),
            frame_of(encode(Ping())[:-1]),
            b"",
        ):
            with self.subTest(data):
                link = self.link()
                link.socket.sendall(data)
                link.socket.shutdown(socket.SHUT_WR)
                self.assertIsNone(link.next())
        other.send(Ping())
        self.assertEqual(other.next(), Pong())

    def test_an_unknown_database_and_an_unknown_channel(self) -> None:
        link = self.link()
        link.send(LinkOpened("me"), ChannelOpened(4, "nowhere"))
        self.assertEqual(link.next(), ChannelEnded(4))
        link.send(channel_statement(9, WRITE, None, 0))
        self.assertEqual(link.next(), ChannelEnded(9))

    def test_a_channel_ends_with_its_database_and_the_link_stays(self) -> None:
        link = self.link()
        begin = Statement("-", StatementKind.BEGIN)
        link.send(
            LinkOpened("me"), ChannelOpened(1, "i-north"), channel_statement(1, begin, None, 0)
        )
        self.assertIsInstance(link.next(), ChannelReply)
        self.model.databases["north"].crash()
        link.send(channel_statement(1, WRITE, None, 0))
        self.assertEqual(link.next(), ChannelEnded(1))
        link.send(Ping())
        self.assertEqual(link.next(), Pong())

    def test_the_end_of_a_link_gives_its_connections_back(self) -> None:
        begin = Statement("-", StatementKind.BEGIN)
        for end in (self.close_link, self.close_channel):
            with self.subTest(end.__name__):
                link = self.link()
                link.send(
                    LinkOpened("me"),
                    ChannelOpened(1, "i-north"),
                    channel_statement(1, begin, None, 0),
                )
                self.assertIsInstance(link.next(), ChannelReply)
                self.assertEqual(self.group.pool("i-north").in_use, 1)
                end(link)
                self.assertTrue(wait_until(lambda: self.group.pool("i-north").in_use == 0))

    def close_link(self, link: LinkProbe) -> None:
        link.socket.close()

    def close_channel(self, link: LinkProbe) -> None:
        link.send(ChannelClosed(1))

    def test_a_planned_stop_is_told(self) -> None:
        link = self.link()
        link.send(LinkOpened("me"), Ping())
        self.assertEqual(link.next(), Pong())
        leave: Callable[[], None] = self.server.leave
        self.loop.post(leave)
        self.assertEqual(link.next(), Leaving())


if __name__ == "__main__":
    unittest.main()
