"""The member table follows the rows of the store; registration survives failures of the store."""

import threading
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing.members import Member
from dewledge.platform.store_client import PlatformStore
from dewledge.shell.pooler.tables.coordination_rows import TABLE, encode_value, read_member
from dewledge.shell.pooler.tables.member_table import ASSUMED_MEMBERS, MemberTable
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
        self.members.apply_rows([row("a", "10.0.0.1:1"), row("b", "10.0.0.2:1")])
        self.assertEqual(self.members.count, 2)

    def test_rows_come_change_and_go(self) -> None:
        self.members.apply_rows([row("b", "10.0.0.2:1"), row("c", "10.0.0.3:1")])
        self.members.apply_rows([row("b", "10.0.0.9:1"), row("c", "", gone=True)])
        self.assertEqual(self.members.addresses, {"a": "10.0.0.1:1", "b": "10.0.0.9:1"})

    def test_rows_that_cannot_be_read_change_nothing(self) -> None:
        for value in (b"", b"\xff", b"\x00", encode_value(Member("x"))[:3]):
            self.members.apply_rows([StoreRow("member/b", value, 1)])
        self.assertEqual(set(self.members.addresses), {"a"})

    def own_rows(self) -> list[StoreRow]:
        rows = PlatformStore(self.stand_in.address).read_table(TABLE).rows
        return [row for row in rows if row.key == "member/a"]

    def register(self, is_stopped: Callable[[], bool] = lambda: False) -> None:
        with ThreadPoolExecutor(max_workers=2) as executor:
            self.members.register_if_missing(executor, is_stopped)

    def test_registration(self) -> None:
        self.register()
        self.register()
        self.assertEqual(self.stand_in.version, 1)
        self.members.apply_rows(self.own_rows())
        self.register()
        self.assertEqual(self.stand_in.version, 1)

    def test_a_row_of_another_address_is_replaced(self) -> None:
        self.stand_in.put(TABLE, "member/a", encode_value(Member("10.0.0.9:1")))
        self.members.apply_rows(self.own_rows())
        self.register()
        self.assertEqual(read_member(self.own_rows()[0]), Member("10.0.0.1:1"))

    def test_a_row_that_was_taken_away_is_written_again(self) -> None:
        self.register()
        own = self.own_rows()
        self.members.apply_rows(own)
        self.members.apply_rows([StoreRow("member/a", b"", own[0].version + 1, gone=True)])
        del self.stand_in.rows[TABLE, "member/a"]
        self.register()
        self.assertEqual(len(self.own_rows()), 1)

    def test_row_that_a_restore_has_lost_is_written_again(self) -> None:
        """Guards against a process that no holder of a claim waits for."""
        copy = self.stand_in.copy()
        self.register()
        self.members.apply_snapshot(self.own_rows())
        self.stand_in.restore(copy)
        self.members.apply_snapshot(self.own_rows())
        self.assertFalse(self.members.is_registered)
        self.register()
        self.members.apply_snapshot(self.own_rows())
        self.assertTrue(self.members.is_registered)

    def test_row_that_is_lost_before_it_was_seen_is_written_again(self) -> None:
        copy = self.stand_in.copy()
        self.register()
        self.stand_in.restore(copy)
        self.members.apply_snapshot(self.own_rows())
        self.register()
        self.assertEqual(len(self.own_rows()), 1)

    def test_a_whole_table_forgets_who_is_not_in_it(self) -> None:
        self.members.apply_rows([row("b", "10.0.0.2:1")])
        self.assertTrue(self.members.apply_snapshot([row("c", "10.0.0.3:1")]))
        self.assertEqual(set(self.members.members), {"a", "c"})

    def test_a_whole_table_that_holds_the_same_changes_nothing(self) -> None:
        rows = [row("a", "10.0.0.1:1"), row("b", "10.0.0.2:1")]
        self.assertTrue(self.members.apply_snapshot(rows))
        self.assertFalse(self.members.apply_snapshot(rows))

    def test_a_process_that_starts_again_where_it_was_changes_nothing_for_others(self) -> None:
        self.members.apply_rows([row("b", "10.0.0.2:1")])
        again = encode_value(Member("10.0.0.2:1", start="again"))
        self.assertFalse(self.members.apply_rows([StoreRow("member/b", again, 2)]))
        self.assertEqual(self.members.members["b"].start, "again")
        self.assertTrue(self.members.apply_rows([row("b", "10.0.0.9:1", 3)]))

    def test_a_start_beside_a_row_that_stands_writes_nothing(self) -> None:
        self.stand_in.put(TABLE, "member/a", encode_value(Member("10.0.0.1:1")))
        self.members.apply_rows(self.own_rows())
        self.register()
        self.assertEqual(self.stand_in.version, 1)

    def test_registration_whose_answer_is_lost_is_written_once(self) -> None:
        self.stand_in.lose_answers = True
        healer = threading.Timer(0.2, setattr, (self.stand_in, "lose_answers", False))
        healer.start()
        self.register()
        self.assertEqual(self.stand_in.version, 1)

    def test_one_that_is_refused_is_tried_again_and_nothing_is_read(self) -> None:
        for status in (429, 503):
            with self.subTest(status=status):
                self.stand_in.reads = 0
                self.stand_in.refuse_status = status
                healer = threading.Timer(0.9, setattr, (self.stand_in, "refuse_status", 0))
                healer.start()
                self.register()
                self.assertEqual(self.stand_in.reads, 0)
                self.members.apply_rows(self.own_rows())
                self.assertTrue(self.members.is_registered)
                self.stand_in.remove(TABLE, "member/a")
                gone = StoreRow("member/a", b"", self.stand_in.version, gone=True)
                self.members.apply_rows([gone])

    def test_a_registration_that_is_not_answered_costs_the_same_beside_any_number(self) -> None:
        for processes in (59, 300, 850):
            with self.subTest(processes=processes):
                self.assertLess(self.bytes_of_an_unanswered_registration(processes), 1_000)

    def bytes_of_an_unanswered_registration(self, processes: int) -> int:
        for number in range(processes):
            self.stand_in.put(TABLE, f"member/b{number}", encode_value(Member("10.0.0.2:1")))
        self.stand_in.lose_answers = True
        healer = threading.Timer(0.2, setattr, (self.stand_in, "lose_answers", False))
        healer.start()
        self.register()
        healer.join()
        self.stand_in.remove(TABLE, "member/a")
        answered, self.stand_in.answered_bytes = self.stand_in.answered_bytes, 0
        return answered

    def test_it_ends_with_the_process(self) -> None:
        self.stand_in.refuse_status = 503
        tries = iter([False, True])
        self.register(lambda: next(tries))
        self.assertEqual(self.stand_in.version, 0)


if __name__ == "__main__":
    unittest.main()
