"""A relay between a process that cannot reach a database and one that can."""

import socket
import threading
import unittest

import cbor2
from dewledge.shell.pooling.relay import RelayServer, open_through_relay

from dewledge.core.pooling.group_view import DatabaseRecord, DatabaseRole
from dewledge.shell.event_loop import EventLoop
from tests.platform.table_store import TableStore
from tests.platform.wire_databases import WireGroup


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        store = TableStore()
        self.addCleanup(store.close)
        self.group = WireGroup("menus", store)
        self.addCleanup(self.group.close)
        self.loop = EventLoop()
        self.server = RelayServer(self.loop, "127.0.0.1:0", self.find)
        self.server.start()
        thread = threading.Thread(target=self.loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(self.loop.stop)
        self.addCleanup(lambda: self.loop.post(self.server.close))

    def find(self, database_id: str) -> DatabaseRecord | None:
        for database in self.group.databases.values():
            if database.name == database_id:
                return DatabaseRecord(
                    database_id, "menus", database.address, "z", DatabaseRole.PRIMARY, False, 3, 1
                )
        return None

    def connect(self) -> socket.socket:
        host, port = self.server.address.rsplit(":", 1)
        connection = socket.create_connection((host, int(port)), timeout=3.0)
        self.addCleanup(connection.close)
        return connection

    def test_a_session_runs_through_it(self) -> None:
        opened: list[socket.socket] = []
        done = threading.Event()

        def connected(sock: socket.socket) -> None:
            opened.append(sock)
            done.set()

        def start() -> None:
            open_through_relay(self.loop, self.server.address, "i-north", connected, done.set)

        self.loop.post(start)
        self.assertTrue(done.wait(3.0))
        (connection,) = opened
        self.addCleanup(connection.close)
        connection.setblocking(True)
        connection.settimeout(3.0)
        connection.sendall(b"STARTUP menus me i-north\r\nQUERY 7 WRITE fish v1\r\n")
        answer = b""
        while answer.count(b"READY") < 2:
            answer += connection.recv(4096)
        self.assertIn(b"COMPLETE signed.7", answer)

    def test_a_header_in_pieces(self) -> None:
        connection = self.connect()
        header = cbor2.dumps("i-north")
        for byte in len(header).to_bytes(2, "big") + header + b"STARTUP menus me i-north\r\n":
            connection.sendall(bytes([byte]))
        self.assertTrue(connection.recv(100).startswith(b"READY"))

    def test_what_is_no_header_ends_the_connection(self) -> None:
        for data in (
            b"\xff\xff",
            b"\x00\x03\xff\xff\xff",
            b"\x00\x01\x01",
            b"\x00\x08" + cbor2.dumps("nowhere"),
            b"",
        ):
            with self.subTest(data):
                connection = self.connect()
                connection.sendall(data)
                self.assertEqual(connection.recv(10), b"")

    def test_it_ends_with_the_database(self) -> None:
        connection = self.connect()
        header = cbor2.dumps("i-north")
        connection.sendall(
            len(header).to_bytes(2, "big") + header + b"STARTUP menus me i-north\r\n"
        )
        connection.recv(100)
        self.group.databases["north"].crash()
        self.assertEqual(connection.recv(10), b"")


if __name__ == "__main__":
    unittest.main()
