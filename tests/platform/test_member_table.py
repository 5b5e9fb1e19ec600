"""Members as the store's rows tell, and the own registration under each fault."""

import unittest

from dewledge.core.coordination_store import StoreRow
from dewledge.core.sharing.members import Member
from dewledge.platform.store_client import PlatformStore
from dewledge.shell.pooling.coordination_rows import TABLE, encode_value
from dewledge.shell.pooling.member_table import ASSUMED_MEMBERS, MemberTable
from tests.platform.table_store import TableStore


def row(name: str, address: str, version: int = 1, gone: bool = False) -> StoreRow:
    value = b"" if gone else encode_value(Member(address))
    return StoreRow(f"member/{name}", value, version, gone)


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stand_in = TableStore()
        self.addCleanup(self.stand_in.close)
        self.members = MemberTable("a", Member("10.0.0.1:1"), PlatformStore(self.stand_in.address))

    def test_before_the_table_is_known_many_are_assumed(self) -> None:
        self.assertEqual(self.members.count, ASSUMED_MEMBERS)
        self.members.take_rows([row("a", "10.0.0.1:1"), row("b", "10.0.0.2:1")])
        self.assertEqual(self.members.count, 2)

    def test_rows_come_change_and_go(self) -> None:
        self.members.take_rows([row("b", "10.0.0.2:1"), row("c", "10.0.0.3:1")])
        self.members.take_rows([row("b", "10.0.0.9:1"), row("c", "", gone=True)])
        self.assertEqual(self.members.addresses, {"a": "10.0.0.1:1", "b": "10.0.0.9:1"})

    def test_rows_that_cannot_be_read_change_nothing(self) -> None:
        for value in (b"", b"\xff", b"\x00", encode_value(Member("x"))[:3]):
            self.members.take_rows([StoreRow("member/b", value, 1)])
        self.assertEqual(set(self.members.addresses), {"a"})

    def test_registration(self) -> None:
        self.members.register(lambda: False)
        self.members.register(lambda: False)
        self.assertEqual(self.stand_in.version, 1)
        self.assertIn((TABLE, "member/a"), self.stand_in.rows)

    def test_registration_whose_answer_is_lost_is_written_once(self) -> None:
        self.stand_in.lose_answers = True
        tries = iter([False, True])

        def is_stopped() -> bool:
            return next(tries)

        self.members.register(is_stopped)
        self.stand_in.lose_answers = False
        self.members.register(lambda: False)
        self.assertEqual(self.stand_in.version, 1)


if __name__ == "__main__":
    unittest.main()
