"""Fair shares of connections: the order of openings, and which idle connections are closed."""

import unittest
from unittest.mock import Mock

from dewledge.core.pooler.pool.connection_shares import ConnectionShares
from dewledge.core.pooler.pool.database_connection import DatabaseConnection


def connections(callers: str) -> list[DatabaseConnection]:
    """Returns a connection for each letter, which names its caller."""
    found = []
    for caller in callers:
        connection = DatabaseConnection("p", Mock())
        connection.caller = caller
        found.append(connection)
    return found


def shares(limit: int, idle: str = "", in_use: str = "", waiting: str = "") -> ConnectionShares:
    return ConnectionShares(limit, connections(idle), connections(in_use), {}, set(waiting))


def caller_or_empty(connection: DatabaseConnection | None) -> str:
    return "" if connection is None else connection.caller


class ConnectionSharesTest(unittest.TestCase):
    def test_opening_order(self) -> None:
        for name, limit, in_use, wanted, order in (
            ("a caller alone", 4, "h", "hhhh", "hhhh"),
            ("a caller above its share of two", 4, "hh", "hhab", "abhh"),
            ("shares of one each", 3, "", "hhhab", "habhh"),
            ("more callers than connections", 2, "h", "hab", "abh"),
        ):
            with self.subTest(name):
                found = shares(limit, in_use=in_use, waiting=wanted).opening_order(wanted)
                self.assertEqual("".join(found), order)

    def test_connection_closed_for_caller_below_share(self) -> None:
        for name, limit, idle, in_use, waiting, caller, closed_caller in (
            ("a hot caller with all of them", 4, "h", "hhh", "hr", "r", "h"),
            ("a caller at its share", 4, "h", "hrr", "hr", "r", ""),
            ("no caller above its share", 4, "h", "hr", "hr", "h", ""),
            ("more callers than connections", 2, "a", "b", "abr", "r", "a"),
        ):
            with self.subTest(name):
                found = shares(limit, idle, in_use, waiting).find_over_share(caller)
                self.assertEqual(caller_or_empty(found), closed_caller)

    def test_unused_connection_closed_for_another_caller(self) -> None:
        for name, idle, in_use, waiting, is_fair, closed_caller in (
            ("the oldest", "ab", "", "r", True, "a"),
            ("a caller above its share first", "abbb", "", "r", True, "b"),
            ("the oldest without shares", "abbb", "", "r", False, "a"),
            ("not of a caller that waits", "ab", "", "ar", True, "b"),
            ("not its own connection", "r", "", "r", True, ""),
        ):
            with self.subTest(name):
                found = shares(2, idle, in_use, waiting).find_unused("r", is_fair)
                self.assertEqual(caller_or_empty(found), closed_caller)


if __name__ == "__main__":
    unittest.main()
