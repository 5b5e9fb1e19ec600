"""The store's client against a stand-in: reads, feed, conditional writes, and each fault."""

import socket
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from dewledge.core.pooler.coordination_store import HistoryLost, StoreRow, StoreWrite
from dewledge.errors import (
    ProtocolError,
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)
from dewledge.platform.operator_records import parse_configuration, parse_database
from dewledge.platform.store_client import PlatformPromotions, PlatformStore
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.pooler.tables.table_watcher import TableWatcher
from tests.platform.table_store import TableStore
from tests.platform.wire_databases import wait_until
from tests.processes.relay import Relay


class StoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.stand_in = TableStore()
        self.addCleanup(self.stand_in.close)
        self.store = PlatformStore(self.stand_in.address)


class StoreClientTest(StoreCase):
    def test_a_table_of_many_pages_is_read_whole(self) -> None:
        for number in range(1203):
            self.stand_in.put("servers", f"k{number:05}", b"x")
        table = self.store.read_table("servers")
        self.assertEqual([row.key for row in table.rows], [f"k{n:05}" for n in range(1203)])
        self.assertEqual(table.version, 1203)

    def test_a_change_between_two_pages_is_in_the_feed_after_the_table(self) -> None:
        """Guards against a table that is called newer than its first page, and misses a change."""
        for number in range(600):
            self.stand_in.put("servers", f"k{number:05}", b"old")
        self.stand_in.between_pages = lambda: self.stand_in.put("servers", "k00001", b"new")
        table = self.store.read_table("servers")
        values = {row.key: row.value for row in table.rows}
        changes = self.store.watch_table("servers", table.version, 0.0)
        values |= {row.key: row.value for row in changes.rows}
        self.assertEqual(values["k00001"], b"new")

    def test_one_row_is_read_without_the_others(self) -> None:
        self.stand_in.put("servers", "k", b"x")
        self.stand_in.put("servers", "k2", b"y")
        self.assertEqual(self.store.read_row("servers", "k"), StoreRow("k", b"x", 1))
        self.assertIsNone(self.store.read_row("servers", "k1"))

    def test_the_feed_tells_changes_and_removals_in_order(self) -> None:
        after = self.stand_in.put("op", "a", b"1")
        self.stand_in.put("op", "b", b"2")
        self.stand_in.remove("op", "a")
        answer = self.store.watch_table("op", after, 0.0)
        self.assertEqual([(row.key, row.gone) for row in answer.rows], [("b", False), ("a", True)])
        self.assertEqual(answer.version, 3)

    def test_the_feed_waits_for_a_change(self) -> None:
        threading.Timer(0.1, self.stand_in.put, ("op", "a", b"1")).start()
        answer = self.store.watch_table("op", 0, 3.0)
        self.assertEqual([row.key for row in answer.rows], ["a"])

    def test_a_write_under_a_condition(self) -> None:
        first = self.store.write(StoreWrite("t", "k", b"1", 0))
        with self.assertRaises(StoreConditionFailed):
            self.store.write(StoreWrite("t", "k", b"2", 0))
        second = self.store.write(StoreWrite("t", "k", b"2", first))
        self.assertGreater(second, first)

    def test_faults(self) -> None:
        cases = (
            (410, HistoryLost),
            (412, StoreConditionFailed),
            (429, StoreRateLimited),
            (503, StoreError),
            (500, StoreError),
        )
        for status, expected in cases:
            self.stand_in.refuse_status = status
            with self.subTest(status), self.assertRaises(expected):
                self.store.watch_table("op", 0, 0.0)

    def test_a_lost_answer_is_told_as_unknown_and_the_row_shows_what_happened(self) -> None:
        self.stand_in.lose_answers = True
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.write(StoreWrite("t", "k", b"1", 0))
        self.stand_in.lose_answers = False
        self.assertEqual(self.store.read_table("t").rows, (StoreRow("k", b"1", 1),))

    def test_a_store_that_is_not_there(self) -> None:
        with self.assertRaises(StoreError):
            PlatformStore("127.0.0.1:1").read_table("op")

    def test_a_silent_store_costs_a_bounded_time(self) -> None:
        self.stand_in.silent = True
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.read_table("op")

    def test_versions_rise_over_a_restore(self) -> None:
        """Guards against rows that are ignored because their version was given out before."""
        store = PlatformStore(self.stand_in.address)
        self.stand_in.put("op", "config", b"1")
        copy = self.stand_in.copy()
        for number in range(5):
            self.stand_in.put("op", f"k{number}", b"x")
        before = store.read_table("op").version
        self.stand_in.restore(copy)
        with self.subTest("the copy lacks the version"), self.assertRaises(HistoryLost):
            store.watch_table("op", before, 0.0)
        after = store.read_table("op").version
        self.assertGreater(after, before)
        for number in range(9):
            self.stand_in.put("op", f"k{number}", b"y")
        with self.subTest("the version was given out again"), self.assertRaises(HistoryLost):
            store.watch_table("op", before, 0.0)
        changes = store.watch_table("op", after, 0.0)
        self.assertEqual(len(changes.rows), 9)
        self.assertGreater(min(row.version for row in changes.rows), after)

    def test_a_restore_between_two_pages_is_told(self) -> None:
        store = PlatformStore(self.stand_in.address)
        for number in range(600):
            self.stand_in.put("op", f"k{number:05}", b"x")
        copy = self.stand_in.copy()
        self.stand_in.between_pages = lambda: self.stand_in.restore(copy)
        with self.assertRaises(HistoryLost):
            store.read_table("op")

    def test_write_under_a_version_of_the_former_era_does_not_hit_a_newer_row(self) -> None:
        """Guards against a claim that is overwritten unread: its row has the same number."""
        behind = PlatformStore(self.stand_in.address)
        copy = self.stand_in.copy()
        version = behind.write(StoreWrite("t", "k", b"former", 0))
        self.stand_in.restore(copy)
        ahead = PlatformStore(self.stand_in.address)
        ahead.read_table("t")
        again = ahead.write(StoreWrite("t", "k", b"newer", 0))
        self.assertEqual((version, again), (1, (1 << 40) + 1))
        with self.assertRaises(StoreConditionFailed):
            behind.write(StoreWrite("t", "k", b"lost", version))
        row = self.stand_in.rows["t", "k"]
        self.assertEqual(row.value, b"newer")

    def test_write_that_is_done_after_a_restore_is_in_doubt(self) -> None:
        version = self.store.write(StoreWrite("t", "k", b"1", 0))
        self.stand_in.restore(self.stand_in.copy())
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.write(StoreWrite("t", "k", b"2", version))

    def test_write_of_an_era_fails_after_several_restores(self) -> None:
        version = self.store.write(StoreWrite("t", "k", b"1", 0))
        for _ in range(3):
            self.stand_in.restore(self.stand_in.copy())
        ahead = PlatformStore(self.stand_in.address)
        ahead.read_table("t")
        ahead.write(StoreWrite("t", "other", b"1", 0))
        with self.assertRaises(StoreConditionFailed):
            self.store.write(StoreWrite("t", "k", b"2", version))

    def test_duty_calls(self) -> None:
        duties = PlatformPromotions(self.stand_in.address)
        self.assertTrue(duties.promote("menus", "i-1", "node-a", 7))
        self.assertFalse(duties.promote("menus", "i-1", "node-b", 6))
        self.assertEqual(self.stand_in.promotions, [("menus", "i-1", "node-a", 7)])
        self.stand_in.refuse_status = 503
        with self.assertRaises(StoreError):
            duties.promote("menus", "i-1", "node-a", 7)

    def test_promotion_is_not_sent_after_its_time_though_it_connected_before(self) -> None:
        """Guards against a process that stands still while it connects, and promotes afterwards."""
        duties = PlatformPromotions(self.stand_in.address)
        not_after = time.monotonic() + 0.2

        def connect(*arguments: object, **options: object) -> object:
            connection = socket_create(*arguments, **options)  # type: ignore[arg-type]
            time.sleep(0.3)
            return connection

        socket_create = socket.create_connection
        with mock.patch("socket.create_connection", connect), self.assertRaises(StoreError):
            duties.promote("menus", "i-1", "node-a", 7, not_after)
        self.assertEqual(self.stand_in.promotions, [])
        self.assertTrue(duties.promote("menus", "i-1", "node-a", 7, time.monotonic() + 5.0))

    def test_duty_calls_go_to_a_changed_address(self) -> None:
        """Guards against promotions that go on to an address which the settings no longer name."""
        other = TableStore()
        self.addCleanup(other.close)
        duties = PlatformPromotions(self.stand_in.address)
        duties.promote("menus", "i-1", "node-a", 7)
        duties.change_address(other.address)
        duties.promote("menus", "i-2", "node-a", 8)
        self.assertEqual(other.promotions, [("menus", "i-2", "node-a", 8)])


class TableWatcherTest(StoreCase):
    def setUp(self) -> None:
        super().setUp()
        self.seen: dict[str, bytes] = {}
        self.snapshots: list[int] = []
        self.table = FollowedTable("op", 1.0, self._snapshot, self._changed)
        self.watcher = TableWatcher(
            self.store, "op", lambda: self.table.version, self.table.apply, lambda call: call()
        )
        thread = threading.Thread(target=self.watcher.run, daemon=True)
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(self.watcher.stop)
        self.stand_in.put("op", "config", b"1")
        thread.start()
        self.wait_for(lambda: self.seen.get("config") == b"1")
        self.calls_of_start = self.stand_in.calls
        self.watcher.set_reader(True)

    def test_after_a_change_there_is_young_word_at_once(self) -> None:
        self.watcher.set_wait(3.0)
        self.wait_for(lambda: self.table.confirmed_at > time.monotonic() - 0.5)
        time.sleep(1.5)
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen.get("config") == b"2")
        changed_at = time.monotonic()
        self.wait_for(lambda: self.table.confirmed_at >= changed_at)
        self.assertLess(time.monotonic() - changed_at, 1.0)

    def test_it_reads_the_table_once_and_waits_to_be_told_to_follow_it(self) -> None:
        self.assertEqual(self.calls_of_start, 1)

    def wait_for(self, condition: Callable[[], bool]) -> None:
        self.assertTrue(wait_until(condition))

    def _snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        self.snapshots.append(version)
        self.seen = {row.key: row.value for row in rows}

    def _changed(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        self.seen.update({row.key: row.value for row in rows})

    def test_changes_are_followed(self) -> None:
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen["config"] == b"2")

    def test_faults_that_it_outlives(self) -> None:
        for name, value, after in (
            ("refuse_status", 503, 0),
            ("refuse_status", 429, 0),
            ("lose_answers", True, False),
            ("silent", True, False),
        ):
            with self.subTest(fault=name, value=value):
                setattr(self.stand_in, name, value)
                version = self.stand_in.put("op", "config", b"before")
                threading.Event().wait(0.3)
                setattr(self.stand_in, name, after)
                self.stand_in.put("op", "config", f"{name}{version}".encode())
                self.wait_for(lambda n=name, v=version: self.seen["config"] == f"{n}{v}".encode())  # type: ignore[misc]

    def test_one_that_is_no_reader_reads_only_when_asked(self) -> None:
        self.watcher.set_reader(False)
        threading.Event().wait(2.5)
        calls = self.stand_in.calls
        self.stand_in.put("op", "config", b"2")
        threading.Event().wait(0.5)
        self.assertEqual(self.stand_in.calls, calls)
        self.watcher.read_once()
        self.wait_for(lambda: self.seen["config"] == b"2")
        self.stand_in.put("op", "config", b"3")
        self.watcher.set_reader(True)
        self.wait_for(lambda: self.seen["config"] == b"3")

    # Guards against a single read that a silent kept connection swallows until the next request.
    def test_one_that_is_no_reader_reads_again_after_a_silent_connection(self) -> None:
        relay = Relay(self.stand_in.address)
        self.addCleanup(relay.close)
        self.watcher.set_reader(False)
        threading.Event().wait(2.5)
        self.store.change_address(relay.address)
        before = time.monotonic()
        self.watcher.read_once()
        self.wait_for(lambda: self.table.confirmed_at >= before)
        relay.silence_open_links()
        self.stand_in.put("op", "config", b"2")
        self.watcher.read_once()
        self.wait_for(lambda: self.seen["config"] == b"2")

    def test_one_that_is_no_reader_any_more_makes_no_call_after_the_one_at_hand(self) -> None:
        self.watcher.set_wait(1.0)
        self.wait_for(lambda: self.stand_in.calls > self.calls_of_start)
        calls = self.stand_in.calls
        self.watcher.set_reader(False)
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen["config"] == b"2")
        threading.Event().wait(0.5)
        self.assertEqual(self.stand_in.calls, calls)

    def test_what_it_knows_is_as_old_as_the_sending_of_the_call(self) -> None:
        before = time.monotonic()
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen["config"] == b"2")
        self.wait_for(lambda: self.table.confirmed_at >= before)
        self.assertLessEqual(self.table.confirmed_at, time.monotonic())

    def test_after_a_restore_rows_are_read_once_their_owners_had_time_to_write_them(self) -> None:
        """Guards against rows of the copy that replace newer ones which are known."""
        self.watcher._restore_wait = 1.0
        self.watcher._store = PlatformStore(self.stand_in.address)
        copy = self.stand_in.copy()
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen["config"] == b"2")
        self.stand_in.restore(copy)
        values = set()
        end = time.monotonic() + 0.8
        while time.monotonic() < end:
            values.add(self.seen["config"])
        self.assertEqual(values, {b"2"})
        self.stand_in.put("op", "config", b"2 again")
        self.wait_for(lambda: self.seen["config"] == b"2 again")

    def test_after_lost_history_the_table_is_read_anew_and_never_an_older_one(self) -> None:
        self.stand_in.stale_by = 2
        self.stand_in.put("op", "config", b"2")
        self.wait_for(lambda: self.seen["config"] == b"2")
        self.stand_in.put("op", "config", b"3")
        self.stand_in.drop_history()
        threading.Event().wait(0.5)
        self.stand_in.stale_by = 0
        self.wait_for(lambda: self.seen["config"] == b"3")
        self.assertEqual(self.snapshots, sorted(self.snapshots))


class FirstReadTest(StoreCase):
    def test_a_process_that_knows_nothing_asks_a_silent_store_again_soon(self) -> None:
        self.stand_in.silent = True
        table = FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)
        watcher = TableWatcher(
            self.store, "op", lambda: table.version, table.apply, lambda call: call()
        )
        thread = threading.Thread(target=watcher.run, daemon=True)
        self.addCleanup(thread.join, 5.0)
        self.addCleanup(watcher.stop)
        thread.start()
        threading.Event().wait(2.4)
        self.assertGreaterEqual(self.stand_in.calls, 4)
        self.stand_in.silent = False
        self.assertTrue(wait_until(lambda: table.version >= 0))


class RecordsTest(unittest.TestCase):
    def test_entries_that_cannot_be_read(self) -> None:
        for value in (
            b"",
            b"{",
            b"[]",
            b"{}",
            b'{"version":"x"}',
            b"\xff",
            b'{"version":1,"routes":[{}]}',
        ):
            with self.subTest(value):
                with self.assertRaises(ProtocolError):
                    parse_configuration(value)
                with self.assertRaises(ProtocolError):
                    parse_database("i-1", value, 1)

    def test_unknown_fields_are_passed_over(self) -> None:
        table = parse_configuration(b'{"version":3,"colour":"red","routes":[],"services":[]}')
        self.assertEqual(table.version, 3)

    def test_a_route(self) -> None:
        table = parse_configuration(
            b'{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":'
            b'"read_own_writes","timeoutMs":800,"targetLatencyMs":1000,"priority":2,'
            b'"service":"s","maxAttempts":2,"maxStalenessMs":2500}],"services":[{"name":"s",'
            b'"maxConnections":36,"syncReplicas":1}],"limits":{"txIdleMs":3000}}'
        )
        route = table.find_route("h")
        assert route is not None
        self.assertEqual((route.statement_timeout, route.max_staleness), (0.8, 2.5))
        self.assertEqual(table.groups["s"].synchronous_replicas, 1)
        self.assertEqual(table.transaction_idle_timeout, 3.0)


if __name__ == "__main__":
    unittest.main()
