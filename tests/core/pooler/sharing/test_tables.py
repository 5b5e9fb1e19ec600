"""Guards the distribution of table changes: caches, deltas, readers and followers."""

import random
import unittest

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing import table_cache
from dewledge.core.pooler.sharing.members import Member
from dewledge.core.pooler.sharing.packing import pack_value, unpack_value
from dewledge.core.pooler.sharing.readers import (
    FOLLOWERS_PER_PROCESS,
    MAX_PROCESSES_ALL_READING,
    READER_COUNT,
    ReadingPlan,
    reading_plan,
)
from dewledge.core.pooler.sharing.table_cache import TableCache, TableDelta
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.tables.followed_table import (
    CONFIRMATION_SLACK_SECONDS,
    MAX_SENT_CHANGE_BYTES,
    FollowedTable,
)
from dewledge.shell.pooler.tables.table_publisher import MAX_HOLD_SECONDS


def row(key: str, version: int, gone: bool = False) -> StoreRow:
    return StoreRow(key, f"{version}".encode(), version, gone)


class TableCacheTest(unittest.TestCase):
    def test_follower_gets_missing_changes(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 1), row("b", 4)], 5)
        cache.update([row("b", 6), row("a", 7, gone=True)], 8)
        delta = cache.delta(6)
        self.assertEqual([each.key for each in delta.rows], ["a"])
        self.assertTrue(delta.rows[0].gone)
        self.assertEqual((delta.version, delta.is_whole), (8, False))
        self.assertEqual(cache.delta(8).rows, ())

    def test_follower_older_than_snapshot_gets_whole_table(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 1), row("b", 4)], 5)
        for after in (-1, 0, 4):
            delta = cache.delta(after)
            self.assertTrue(delta.is_whole)
            self.assertEqual({each.key for each in delta.rows}, {"a", "b"})

    def test_follower_that_compares_keys_gets_only_changes(self) -> None:
        for count in (59, 300, 850):
            with self.subTest(count=count):
                cache, follower = TableCache(), TableCache()
                rows = [row(f"k{number}", number + 1) for number in range(count)]
                follower.replace(rows, count)
                cache.replace([*rows, row("new", count + 3)], count + 5)
                delta = cache.delta(count, compares_keys=True)
                self.assertEqual([each.key for each in delta.rows], ["new"])
                self.assertFalse(delta.is_whole)
                self.assertTrue(follower.matches_keys_of(delta))

    def test_key_digest_reveals_forgotten_removal(self) -> None:
        cache, follower = TableCache(), TableCache()
        follower.replace([row("a", 1), row("b", 2)], 2)
        cache.replace([row("b", 4), row("c", 5)], 5)
        self.assertFalse(follower.matches_keys_of(cache.delta(2, compares_keys=True)))
        follower.update([row("a", 3, gone=True)], 3)
        self.assertTrue(follower.matches_keys_of(cache.delta(3, compares_keys=True)))
        self.assertTrue(cache.delta(-1, compares_keys=True).is_whole)

    def test_older_rows_are_ignored(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 5)], 5)
        cache.update([row("a", 3)], 6)
        self.assertEqual(cache.delta(-1).rows[0].version, 5)

    def test_random_follower_chains_converge(self) -> None:
        for seed in range(30):
            with self.subTest(seed):
                self._run_random_changes(random.Random(seed))

    def _run_random_changes(self, rng: random.Random) -> None:
        expected_rows: dict[str, StoreRow] = {}
        caches = [TableCache() for _ in range(4)]
        caches[0].replace([], 0)
        followed_rows = [dict[str, StoreRow]() for _ in caches]
        version = 0
        for _ in range(200):
            if rng.random() < 0.05:
                # A follower restarts and reads the whole table.
                restarted = rng.randrange(1, 4)
                caches[restarted] = TableCache()
                caches[restarted].replace(list(expected_rows.values()), version)
                followed_rows[restarted] = dict(expected_rows)
            version += rng.randrange(1, 4)
            key = f"k{rng.randrange(8)}"
            gone = key in expected_rows and rng.random() < 0.4
            change = row(key, version, gone)
            expected_rows.pop(key, None) if gone else expected_rows.update({key: change})
            caches[0].update([change], version)
            follower = rng.randrange(1, 4)
            self._follow(caches, followed_rows, follower, rng.randrange(follower))
        for follower in (1, 2, 3):
            self._follow(caches, followed_rows, follower, follower - 1)
            self.assertEqual(followed_rows[follower], expected_rows)

    def _follow(
        self,
        caches: list[TableCache],
        followed_rows: list[dict[str, StoreRow]],
        follower: int,
        source: int,
    ) -> None:
        if not caches[source].is_loaded:
            return
        delta = caches[source].delta(caches[follower].version, compares_keys=True)
        if delta.version < caches[follower].version:
            return
        if not caches[follower].matches_keys_of(delta):
            delta = caches[source].delta(-1)
        if delta.is_whole:
            caches[follower].replace(delta.rows, delta.version)
            followed_rows[follower] = {each.key: each for each in delta.rows}
            return
        caches[follower].update(delta.rows, delta.version)
        for each in delta.rows:
            if each.gone:
                followed_rows[follower].pop(each.key, None)
            else:
                followed_rows[follower][each.key] = each

    def test_follower_older_than_remembered_removals_gets_whole_table(self) -> None:
        cache = TableCache()
        cache.replace([], 0)
        for version in range(1, table_cache.MAX_REMOVED_ROWS + 3):
            cache.update([row(f"k{version}", version, gone=True)], version)
        self.assertTrue(cache.delta(1).is_whole)
        self.assertFalse(cache.delta(3).is_whole)


def plans_of(count: int, regions: int) -> dict[str, ReadingPlan]:
    members = {f"n{n}": Member(f"10.0.0.{n}:1", f"z{n % 6}") for n in range(count)}

    def region_of(zone: str) -> str:
        return f"r{int(zone[1:]) % regions}"

    return {name: reading_plan(name, members, region_of) for name in members}


class ReadingPlanTest(unittest.TestCase):
    def test_few_processes_all_read_the_store(self) -> None:
        plans = plans_of(MAX_PROCESSES_ALL_READING, 3)
        self.assertTrue(all(plan.is_reader for plan in plans.values()))

    def test_readers_are_in_different_regions(self) -> None:
        for count in (MAX_PROCESSES_ALL_READING + 1, 73, 850):
            for regions in (1, 2, 3):
                plans = plans_of(count, regions)
                readers = {name for name, plan in plans.items() if plan.is_reader}
                self.assertEqual(len(readers), READER_COUNT)
                regions_of_readers = {int(name[1:]) % regions for name in readers}
                self.assertEqual(len(regions_of_readers), min(regions, READER_COUNT))

    def test_followers_reach_a_reader_in_few_steps(self) -> None:
        for count, max_steps in ((MAX_PROCESSES_ALL_READING + 1, 1), (73, 2), (850, 3)):
            plans = plans_of(count, 2)
            readers = {name for name, plan in plans.items() if plan.is_reader}
            for name in plans.keys() - readers:
                steps, at = 0, name
                while not plans[at].is_reader:
                    at = plans[at].sources[0]
                    steps += 1
                self.assertLessEqual(steps, max_steps)
                self.assertTrue(readers <= set(plans[name].sources))
                self.assertNotIn(name, plans[name].sources)

    def test_slack_covers_delay_of_last_follower(self) -> None:
        transmission_seconds = 3 * 0.1
        self.assertLess(transmission_seconds + 0.1, CONFIRMATION_SLACK_SECONDS)
        self.assertLess(MAX_HOLD_SECONDS, 1.0)

    def test_only_one_follower_per_region_without_reader_is_remote(self) -> None:
        plans = plans_of(73, 3)
        far = [
            name
            for name, plan in plans.items()
            if not plan.is_reader and int(name[1:]) % 3 != int(plan.sources[0][1:]) % 3
        ]
        self.assertEqual(len(far), 1)

    def test_number_of_followers_is_bounded(self) -> None:
        plans = plans_of(850, 2)
        first = [plan.sources[:1] for plan in plans.values()]
        max_followers = max(first.count(choice) for choice in set(first) if choice)
        self.assertLessEqual(max_followers, FOLLOWERS_PER_PROCESS)


class KeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.source = FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)
        self.snapshot_keys: list[str] = []
        self.follower = FollowedTable("op", 1.0, self._snapshot, lambda *_: None)
        self.follower.apply(TableDelta((row("a", 1), row("b", 2)), 2, True), 10.0)

    def _snapshot(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        self.snapshot_keys = [each.key for each in rows]

    def ask(self) -> bool:
        asked = self.follower.request_after_version
        return self.follower.apply_news(self.source.news(asked, 11.0, False, True), 11.0)

    def test_restarted_source_sends_only_changes(self) -> None:
        self.source.apply(TableDelta((row("a", 1), row("b", 4)), 5, True), 11.0)
        news = self.source.news(2, 11.0, False, True)
        self.assertEqual([each.key for each in news.delta.rows], ["b"])
        self.assertTrue(self.ask())
        self.assertEqual(self.follower.version, 5)
        self.assertEqual(self.follower.confirmed_at, 11.0)

    def test_missed_removal_leads_to_request_of_whole_table(self) -> None:
        self.source.apply(TableDelta((row("b", 4),), 5, True), 11.0)
        self.assertFalse(self.ask())
        self.assertEqual((self.follower.version, self.follower.confirmed_at), (2, 10.0))
        self.assertTrue(self.ask())
        self.assertEqual((self.snapshot_keys, self.follower.version), (["b"], 5))
        self.assertEqual(self.follower.request_after_version, 5)

    def test_follower_without_key_comparison_gets_whole_table(self) -> None:
        self.source.apply(TableDelta((row("b", 4),), 5, True), 11.0)
        self.assertTrue(self.source.news(2, 11.0, False, False).delta.is_whole)


class LargeChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)
        large = random.Random(1).randbytes(MAX_SENT_CHANGE_BYTES + 1)
        rows = (StoreRow("config", large, 5),)
        self.table.apply(TableDelta(rows, 5, True), 10.0)

    def test_large_change_is_announced_only(self) -> None:
        news = self.table.news(3, 11.0, takes_large=False)
        self.assertTrue(news.is_withheld)
        self.assertEqual((news.delta.rows, news.delta.version), ((), 3))

    def test_large_change_is_sent_on_request(self) -> None:
        news = self.table.news(3, 11.0, takes_large=True)
        self.assertFalse(news.is_withheld)
        self.assertEqual(news.delta.version, 5)

    def test_well_compressed_change_is_sent(self) -> None:
        value = b'{"name": "route"}' * MAX_SENT_CHANGE_BYTES
        self.table.apply(TableDelta((StoreRow("config", value, 7),), 7, False), 11.0)
        news = self.table.news(5, 11.0, takes_large=False)
        self.assertLess(len(news.delta.rows[0].value), len(value) // 10)
        follower = FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)
        self.assertTrue(follower.apply_news(self.table.news(-1, 11.0, True), 20.0))
        self.assertEqual(follower.news(-1, 20.0, True).delta, self.table.news(-1, 20.0, True).delta)

    def test_invalid_packed_values_are_rejected(self) -> None:
        packed = pack_value(b"x" * 5000)
        for data in (b"", b"\x02abc", packed[:-3], b"\x01" + b"junk", packed[:1]):
            with self.subTest(data[:8]), self.assertRaises(ProtocolError):
                unpack_value(data)
        for value in (b"", b"x", b"x" * 5000):
            self.assertEqual(unpack_value(pack_value(value)), value)

    def test_follower_with_large_change_gets_later_rows(self) -> None:
        self.table.apply(TableDelta((row("small", 6),), 6, False), 11.0)
        news = self.table.news(5, 11.0, takes_large=False)
        self.assertEqual([each.key for each in news.delta.rows], ["small"])


if __name__ == "__main__":
    unittest.main()
