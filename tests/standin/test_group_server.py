"""The group stand-in on the real clock: a failover seen from outside, and the admin address."""

import time
import unittest
from collections.abc import Callable

from dewledge.adapters.http_database import HttpDatabaseDriver
from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.errors import ProtocolError
from dewledge.standin.admin_connection import AdminConnection
from dewledge.standin.group_client import GroupClient
from dewledge.standin.group_server import GroupServer
from dewledge.standin.group_settings import DatabaseSettings, GroupSettings
from dewledge.standin.group_types import ActivityKind

TIMEOUT = 10.0
POLL_BOUND = 60.0
POLL_INTERVAL = 0.02

CREATE = Statement("CREATE TABLE notes (body)")
SELECT = Statement("SELECT body FROM notes")


def insert(body: str) -> Statement:
    return Statement("INSERT INTO notes VALUES (?)", (body,))


class GroupServerTest(unittest.TestCase):
    def setUp(self) -> None:
        databases = tuple(DatabaseSettings(name=name, zone=name) for name in "abc")
        self.server = GroupServer(GroupSettings(name="group", databases=databases))
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = GroupClient(self.server.admin_address)
        self.addCleanup(self.client.close)
        self.driver = HttpDatabaseDriver(zone="a")
        self.addCleanup(self.driver.close)

    def run_on(self, database: str, statement: Statement, access: Access = Access.WRITE):
        connection = self.driver.connect(self.server.addresses[database], TIMEOUT)
        self.addCleanup(connection.close)
        return connection.execute(statement, access, TIMEOUT)

    def poll(self, condition: Callable[[], bool]) -> None:
        give_up = time.monotonic() + POLL_BOUND
        while not condition():
            self.assertLess(time.monotonic(), give_up, "it did not come to pass")
            time.sleep(POLL_INTERVAL)

    def primaries(self) -> set[str]:
        statuses = self.client.statuses()
        return {item.database for item in statuses if item.role is DatabaseRole.PRIMARY}

    def test_failover_is_seen_in_history_and_surviving_log(self) -> None:
        self.run_on("a", CREATE)
        kept = self.run_on("a", insert("kept")).position
        self.poll(lambda: all(item.received >= kept for item in self.client.statuses()))
        self.client.cut_off("a")
        dropped = self.run_on("a", insert("dropped")).position
        self.poll(lambda: len(self.primaries()) == 2)
        (newer,) = self.primaries() - {"a"}
        later = self.run_on(newer, insert("later")).position
        self.client.heal("a")
        self.poll(lambda: self.primaries() == {newer})
        self.poll(lambda: all(item.applied >= later for item in self.client.statuses()))
        accepted = [entry.position for entry in self.client.history()]
        surviving = [entry.position for entry in self.client.surviving_log()]
        self.assertEqual(set(accepted) - set(surviving), {dropped})
        self.assertEqual(len(self.client.history(since=2)), len(accepted) - 2)
        rows = self.run_on("a", SELECT, Access.READ).rows.rows
        self.assertEqual(rows, (("kept",), ("later",)))

    def test_activity_names_every_request_that_reached_a_database(self) -> None:
        self.run_on("a", CREATE)
        self.run_on("b", Statement("SELECT 1"), Access.READ)
        seen = [(item.database, item.kind) for item in self.client.activity()]
        expected = [
            ("a", ActivityKind.OPEN),
            ("a", ActivityKind.WRITE),
            ("b", ActivityKind.OPEN),
            ("b", ActivityKind.READ),
        ]
        self.assertEqual([item for item in seen if item[1] is not ActivityKind.CLOSE], expected)

    def test_killed_and_restarted_database_has_its_log(self) -> None:
        self.run_on("a", CREATE)
        self.client.kill("a")
        self.poll(lambda: bool(self.primaries() - {"a"}))
        self.client.restart("a")
        self.poll(lambda: len(self.client.statuses()) == 3)
        self.assertEqual(self.run_on("a", SELECT, Access.READ).rows.rows, ())

    def test_requests_the_admin_address_does_not_know(self) -> None:
        rows = (
            ("POST", "/faults/explode", b'{"database": "a"}'),
            ("POST", "/faults/kill", b"{}"),
            ("POST", "/faults/kill", b"not JSON"),
            ("POST", "/faults/kill", b'{"database": "z"}'),
            ("GET", "/history?since=x", b""),
            ("GET", "/nothing", b""),
        )
        connection = AdminConnection(self.server.admin_address)
        self.addCleanup(connection.close)
        for method, target, body in rows:
            with self.subTest(target), self.assertRaises(ProtocolError):
                connection.call(method, target, body)
        self.assertEqual(len(self.client.statuses()), 3)


if __name__ == "__main__":
    unittest.main()
