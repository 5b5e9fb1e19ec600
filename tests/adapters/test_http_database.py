"""The driver for the stand-in databases, against the stand-in; and against a broken server."""

import time
import unittest
from collections.abc import Callable
from unittest.mock import patch

from dewledge.adapters.database_protocol import STATUS_PATH, encode_body
from dewledge.adapters.http_database import HttpDatabaseDriver
from dewledge.adapters.http_exchange import ClosedBeforeSending, HttpExchange
from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.ports import DatabaseConnection
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ConnectionBroken, ConnectionClosed, ConnectRefused, DatabaseError
from dewledge.standin.group_client import GroupClient
from dewledge.standin.group_server import GroupServer
from dewledge.standin.group_settings import DatabaseSettings, GroupSettings
from dewledge.standin.group_types import ActivityKind
from dewledge.standin.http_server import ConnectionHandler, HttpReply, HttpRequest, HttpServer
from tests.adapters import database_contract
from tests.adapters.database_contract import MAX_CONNECTIONS, SELECT, SLOTS, TIMEOUT
from tests.processes.relay import Relay

NO_ELECTION_SECONDS = 60.0
STATUS = DatabaseStatus("a", DatabaseRole.REPLICA, 1, LogPosition(1, 1), LogPosition(1, 1))


class HttpDatabaseTest(database_contract.DatabaseContract):
    def start_group(self) -> None:
        databases = tuple(
            DatabaseSettings(name=name, slots=SLOTS, max_connections=MAX_CONNECTIONS)
            for name in "abc"
        )
        settings = GroupSettings(
            name="group", databases=databases, election_timeout=NO_ELECTION_SECONDS
        )
        self.server = GroupServer(settings)
        self.server.start()
        self.addCleanup(self.server.stop)
        driver = HttpDatabaseDriver()
        self.addCleanup(driver.close)
        self.driver = driver
        self.primary = self.server.addresses["a"]
        self.replica = self.server.addresses["b"]
        self.faults = GroupClient(self.server.admin_address)
        self.addCleanup(self.faults.close)

    def freeze_primary(self) -> None:
        self.faults.freeze("a")

    def thaw_primary(self) -> None:
        self.faults.thaw("a")

    def kill_primary(self) -> None:
        self.faults.kill("a")

    def reset_primary(self) -> None:
        self.faults.reset("a")

    def lose_next_answer(self) -> None:
        self.faults.lose_answers("a")

    def test_no_new_work_after_its_limit(self) -> None:
        """The database hears nothing of it; an open transaction goes on."""
        calls: tuple[Callable[[DatabaseConnection], object], ...] = (
            lambda it: it.begin(TIMEOUT),
            lambda it: it.execute(SELECT, Access.READ, TIMEOUT),
        )
        for call in calls:
            connection = self.driver.connect(self.primary, TIMEOUT)
            connection.begin(TIMEOUT)
            connection.send_new_work_before(time.monotonic())
            connection.execute(SELECT, Access.READ, TIMEOUT)
            connection.commit(TIMEOUT)
            before = len(self.faults.activity())
            with self.assertRaises(ConnectionClosed):
                call(connection)
            kinds = {it.kind for it in self.faults.activity()[before:]}
            self.assertLessEqual(kinds, {ActivityKind.CLOSE})


class _FixedAnswer(ConnectionHandler):
    def __init__(self, open_reply: HttpReply, reply: HttpReply | None) -> None:
        self._open_reply = open_reply
        self._reply = reply

    def handle(self, request: HttpRequest) -> HttpReply | None:
        return self._open_reply if request.path == "/open" else self._reply


class BrokenServerTest(unittest.TestCase):
    """Answers that make no sense are never taken for success, nor for "not run"."""

    OPENED = HttpReply(200)
    REPLIES = (
        ("empty success", HttpReply(200)),
        ("success that is not JSON", HttpReply(200, b"<html>")),
        ("success of another shape", HttpReply(200, b'{"rows": 1}')),
        ("failure of unknown kind", HttpReply(409, b'{"kind":"?","code":"internal","message":""}')),
        ("failure without a body", HttpReply(500)),
        ("no answer", None),
    )

    def serve(self, open_reply: HttpReply, reply: HttpReply | None) -> str:
        server = HttpServer("127.0.0.1:0", lambda: _FixedAnswer(open_reply, reply))
        server.start()
        self.addCleanup(server.stop)
        return server.address

    def test_statement(self) -> None:
        for name, reply in self.REPLIES:
            with self.subTest(name):
                address = self.serve(self.OPENED, reply)
                connection = HttpDatabaseDriver().connect(address, TIMEOUT)
                with self.assertRaises(ConnectionBroken):
                    connection.execute(SELECT, Access.READ, TIMEOUT)

    def test_status(self) -> None:
        for name, reply in self.REPLIES:
            with self.subTest(name):
                with self.assertRaises(DatabaseError):
                    HttpDatabaseDriver().read_status(self.serve(self.OPENED, reply), TIMEOUT)

    def test_status_of_one_that_closes_every_connection_ends(self) -> None:
        driver = HttpDatabaseDriver()
        self.addCleanup(driver.close)
        address = self.serve(self.OPENED, None)

        def closed_by_peer(exchange: HttpExchange, *_: object) -> None:
            exchange.close()
            raise ClosedBeforeSending("closed")

        with patch.object(HttpExchange, "request", closed_by_peer):
            with self.assertRaises(ConnectRefused):
                driver.read_status(address, TIMEOUT)

    # Guards against one timeout for each kept connection after all of them fell silent.
    def test_a_status_connection_without_an_answer_closes_the_others(self) -> None:
        relay = Relay(self.serve(self.OPENED, HttpReply(200, encode_body(STATUS))))
        self.addCleanup(relay.close)
        driver = HttpDatabaseDriver()
        self.addCleanup(driver.close)
        for _ in range(3):
            exchange = HttpExchange(relay.address, TIMEOUT)
            exchange.request("GET", STATUS_PATH, b"", TIMEOUT)
            driver._keep_idle(relay.address, exchange)
        relay.silence_open_links()
        with self.assertRaises(ConnectRefused):
            driver.read_status(relay.address, 0.3)
        self.assertEqual(driver.read_status(relay.address, TIMEOUT), STATUS)

    def test_open(self) -> None:
        for reply in (HttpReply(500), HttpReply(409, b"?")):
            with self.assertRaises(ConnectRefused):
                HttpDatabaseDriver().connect(self.serve(reply, reply), TIMEOUT)


if __name__ == "__main__":
    unittest.main()
