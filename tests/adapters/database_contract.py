"""The contract of DatabaseDriver and DatabaseConnection, for any driver."""

import unittest
from abc import abstractmethod
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.ports import DatabaseConnection, DatabaseDriver
from dewledge.errors import (
    ConnectionBroken,
    ConnectionClosed,
    ConnectionLimitReached,
    ConnectRefused,
    DatabaseError,
    ErrorCode,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)

TIMEOUT = 10.0
SHORT_TIMEOUT = 0.1
MAX_CONNECTIONS = 4
SLOTS = 2

CREATE = Statement("CREATE TABLE notes (id INTEGER PRIMARY KEY, body)")
SELECT = Statement("SELECT body FROM notes ORDER BY id")


def insert(body: str | int | float | bool | None) -> Statement:
    return Statement("INSERT INTO notes (body) VALUES (?)", (body,))


class Refusal(NamedTuple):
    name: str
    call: Callable[["DatabaseContract"], object]
    error: type[DatabaseError]
    code: ErrorCode


REFUSALS = (
    Refusal(
        "failing statement",
        lambda case: case.write(case.connection, Statement("INSERT INTO absent VALUES (1)")),
        StatementFailed,
        ErrorCode.STATEMENT_FAILED,
    ),
    Refusal(
        "write on a replica",
        lambda case: case.write(case.connect(case.replica), insert("x")),
        StatementRefused,
        ErrorCode.NOT_PRIMARY,
    ),
    Refusal(
        "begin on a replica",
        lambda case: case.connect(case.replica).begin(TIMEOUT),
        StatementRefused,
        ErrorCode.NOT_PRIMARY,
    ),
    Refusal(
        "commit without begin",
        lambda case: case.connection.commit(TIMEOUT),
        StatementRefused,
        ErrorCode.UNKNOWN_TRANSACTION,
    ),
    Refusal(
        "second begin",
        lambda case: (case.connection.begin(TIMEOUT), case.connection.begin(TIMEOUT)),
        StatementRefused,
        ErrorCode.TRANSACTION_BUSY,
    ),
    Refusal(
        "nobody listens",
        lambda case: case.driver.connect("127.0.0.1:1", TIMEOUT),
        ConnectRefused,
        ErrorCode.DATABASE_UNREACHABLE,
    ),
    Refusal(
        "status of nobody",
        lambda case: case.driver.read_status("127.0.0.1:1", TIMEOUT),
        DatabaseError,
        ErrorCode.DATABASE_UNREACHABLE,
    ),
)


class DatabaseContract(unittest.TestCase):
    """Subclasses start a group of three whose first database is primary, and its faults."""

    driver: DatabaseDriver
    primary: str
    replica: str

    def setUp(self) -> None:
        self.start_group()
        self.connection = self.connect(self.primary)
        self.write(self.connection, CREATE)

    @abstractmethod
    def start_group(self) -> None: ...

    @abstractmethod
    def freeze_primary(self) -> None: ...

    @abstractmethod
    def thaw_primary(self) -> None: ...

    @abstractmethod
    def kill_primary(self) -> None: ...

    @abstractmethod
    def reset_primary(self) -> None: ...

    @abstractmethod
    def lose_next_answer(self) -> None: ...

    def connect(self, address: str) -> DatabaseConnection:
        connection = self.driver.connect(address, TIMEOUT)
        self.addCleanup(connection.close)
        return connection

    def write(self, connection: DatabaseConnection, statement: Statement) -> None:
        connection.execute(statement, Access.WRITE, TIMEOUT)

    def bodies(self, connection: DatabaseConnection) -> list[object]:
        rows = connection.execute(SELECT, Access.READ, TIMEOUT).rows
        return [row[0] for row in rows.rows]

    def test_values_come_back_as_they_were_sent(self) -> None:
        values = ("Ɔfoɔ naïve", "", "x" * 200_000, 0, -(2**63), 2**63 - 1, 1.5, None)
        for value in values:
            self.write(self.connection, insert(value))
        self.assertEqual(self.bodies(self.connection), list(values))

    def test_result_names_role_position_and_counts(self) -> None:
        written = self.connection.execute(insert("x"), Access.WRITE, TIMEOUT)
        read = self.connection.execute(SELECT, Access.READ, TIMEOUT)
        status = self.driver.read_status(self.primary, TIMEOUT)
        self.assertEqual(written.rows.affected, 1)
        self.assertEqual((written.role, status.role), (DatabaseRole.PRIMARY,) * 2)
        self.assertEqual({written.position, read.position, status.applied}, {status.received})
        self.assertEqual(read.rows.columns, ("body",))

    def test_refusals_say_what_is_known(self) -> None:
        for row in REFUSALS:
            with self.subTest(row.name):
                with self.assertRaises(row.error) as raised:
                    row.call(self)
                self.assertEqual(raised.exception.code, row.code)
                self.assertEqual(self.bodies(self.connection), [])

    def test_transactions_do_not_see_each_other(self) -> None:
        other = self.connect(self.primary)
        self.connection.begin(TIMEOUT)
        other.begin(TIMEOUT)
        self.write(self.connection, insert("mine"))
        self.assertEqual(self.bodies(other), [])
        self.connection.commit(TIMEOUT)
        with self.assertRaises(TransactionConflict):
            self.bodies(other)
        other.rollback(TIMEOUT)
        self.assertEqual(self.bodies(other), ["mine"])

    def test_text_cannot_end_a_transaction(self) -> None:
        """On this rests that a transaction without a COMMIT never took effect."""
        for text in ("COMMIT", "END", "ROLLBACK", "BEGIN", "SAVEPOINT x", "; COMMIT"):
            with self.subTest(text):
                self.connection.begin(TIMEOUT)
                self.write(self.connection, insert("uncommitted"))
                with self.assertRaises(StatementFailed):
                    self.write(self.connection, Statement(text))
                self.connection.rollback(TIMEOUT)
                self.assertEqual(self.bodies(self.connection), [])

    def test_closed_connection_rolls_back_and_gives_its_place_back(self) -> None:
        for _ in range(2 * MAX_CONNECTIONS):
            connection = self.connect_when_possible()
            connection.begin(TIMEOUT)
            self.write(connection, insert("undone"))
            connection.close()
        self.assertEqual(self.bodies(self.connection), [])

    def connect_when_possible(self) -> DatabaseConnection:
        for _ in range(1000):
            try:
                return self.connect(self.primary)
            except ConnectionLimitReached:
                continue
        raise AssertionError("the connection's place did not come back")

    def test_connection_limit_is_reported_as_such(self) -> None:
        for _ in range(MAX_CONNECTIONS - 1):
            self.connect(self.primary)
        with self.assertRaises(ConnectionLimitReached):
            self.connect(self.primary)
        self.driver.read_status(self.primary, TIMEOUT)

    def test_statements_beyond_the_slots_wait_and_all_run(self) -> None:
        connections = [self.connection]
        connections += [self.connect(self.primary) for _ in range(MAX_CONNECTIONS - 1)]
        self.assertGreater(len(connections), SLOTS)
        with ThreadPoolExecutor(len(connections)) as executor:
            for _ in range(10):
                list(executor.map(lambda item: self.write(item, insert("x")), connections))
        self.assertEqual(len(self.bodies(self.connection)), 10 * len(connections))

    def test_lost_answer_breaks_the_connection_though_it_took_effect(self) -> None:
        self.lose_next_answer()
        with self.assertRaises(ConnectionBroken):
            self.write(self.connection, insert("done"))
        with self.assertRaises(ConnectionClosed):
            self.write(self.connection, insert("never sent"))
        self.assertEqual(self.bodies(self.connect(self.primary)), ["done"])

    def test_late_answer_is_never_taken_for_another(self) -> None:
        self.freeze_primary()
        with self.assertRaises(ConnectionBroken):
            self.connection.execute(insert("late"), Access.WRITE, SHORT_TIMEOUT)
        self.thaw_primary()
        with self.assertRaises(ConnectionClosed):
            self.bodies(self.connection)
        self.assertIn(self.bodies(self.connect(self.primary)), ([], ["late"]))

    def test_frozen_database_neither_connects_nor_answers_in_time(self) -> None:
        self.freeze_primary()
        with self.assertRaises(ConnectRefused):
            self.driver.connect(self.primary, SHORT_TIMEOUT)
        with self.assertRaises(DatabaseError):
            self.driver.read_status(self.primary, SHORT_TIMEOUT)
        self.thaw_primary()
        self.assertEqual(self.driver.read_status(self.primary, TIMEOUT).role, DatabaseRole.PRIMARY)

    def test_broken_connections_are_noticed_before_anything_is_sent(self) -> None:
        self.driver.read_status(self.primary, TIMEOUT)
        self.reset_primary()
        with self.assertRaises(ConnectionClosed):
            self.write(self.connection, insert("never sent"))
        self.driver.read_status(self.primary, TIMEOUT)
        self.assertEqual(self.bodies(self.connect(self.primary)), [])

    def test_killed_database_refuses_connections(self) -> None:
        self.kill_primary()
        with self.assertRaises(ConnectRefused):
            self.driver.connect(self.primary, TIMEOUT)
        with self.assertRaises(DatabaseError):
            self.driver.read_status(self.primary, TIMEOUT)
        self.driver.read_status(self.replica, TIMEOUT)
