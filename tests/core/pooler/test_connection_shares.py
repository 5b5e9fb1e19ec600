"""Who opens first and who gives way, as tables: a caller wants more connections than its share."""

import unittest
from unittest.mock import Mock

from dewledge.core.pooler.pool.connection_shares import ConnectionShares
from dewledge.core.pooler.pool.database_connection import DatabaseConnection


def connections(callers: str) -> list[DatabaseConnection]:
    """Returns one for each letter."""
    found = []
    for caller in callers:
        connection = DatabaseConnection("p", Mock())
        connection.caller = caller
        found.append(connection)
    return found


def shares(limit: int, idle: str = "", lent: str = "", waiting: str = "") -> ConnectionShares:
    return ConnectionShares(limit, connections(idle), connections(lent), {}, set(waiting))


def named(connection: DatabaseConnection | None) -> str:
    return "" if connection is None else connection.caller


class SharesTest(unittest.TestCase):
    def test_whose_openings_come_first(self) -> None:
        for name, limit, lent, wanted, order in (
            ("a caller alone", 4, "h", "hhhh", "hhhh"),
            ("one above its share of two", 4, "hh", "hhab", "abhh"),
            ("shares of one each", 3, "", "hhhab", "habhh"),
            ("more callers than connections", 2, "h", "hab", "abh"),
        ):
            with self.subTest(name):
                found = shares(limit, lent=lent, waiting=wanted).opening_order(wanted)
                self.assertEqual("".join(found), order)

    def test_who_gives_way_to_one_below_its_share(self) -> None:
        for name, limit, idle, lent, waiting, caller, gives in (
            ("a hot caller with all of them", 4, "h", "hhh", "hr", "r", "h"),
            ("one at its share", 4, "h", "hrr", "hr", "r", ""),
            ("nobody above", 4, "h", "hr", "hr", "h", ""),
            ("more callers than connections", 2, "a", "b", "abr", "r", "a"),
        ):
            with self.subTest(name):
                found = shares(limit, idle, lent, waiting).find_over_share(caller)
                self.assertEqual(named(found), gives)

    def test_what_nobody_uses_goes_to_who_can_use_it(self) -> None:
        for name, idle, lent, waiting, is_fair, gives in (
            ("the oldest", "ab", "", "r", True, "a"),
            ("of one above its share first", "abbb", "", "r", True, "b"),
            ("the oldest without shares", "abbb", "", "r", False, "a"),
            ("not of one that waits", "ab", "", "ar", True, "b"),
            ("not its own", "r", "", "r", True, ""),
        ):
            with self.subTest(name):
                found = shares(2, idle, lent, waiting).find_unused("r", is_fair)
                self.assertEqual(named(found), gives)


if __name__ == "__main__":
    unittest.main()
