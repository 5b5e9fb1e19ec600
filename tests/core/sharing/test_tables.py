"""Tables passed on from process to process: caches, deltas, who reads and who follows whom."""

import random
import unittest

from dewledge.core.coordination_store import StoreRow
from dewledge.core.sharing import table_cache
from dewledge.core.sharing.readers import (
    FOLLOWERS_PER_PROCESS,
    MOST_READING_ALL,
    READERS,
    reading_plan,
)
from dewledge.core.sharing.table_cache import TableCache


def row(key: str, version: int, gone: bool = False) -> StoreRow:
    return StoreRow(key, f"{version}".encode(), version, gone)


class TableCacheTest(unittest.TestCase):
    def test_a_follower_gets_what_it_lacks(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 1), row("b", 4)], 5)
        cache.update([row("b", 6), row("a", 7, gone=True)], 8)
        delta = cache.delta(6)
        self.assertEqual([each.key for each in delta.rows], ["a"])
        self.assertTrue(delta.rows[0].gone)
        self.assertEqual((delta.version, delta.is_whole), (8, False))
        self.assertEqual(cache.delta(8).rows, ())

    def test_one_from_before_the_whole_table_gets_it_whole(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 1), row("b", 4)], 5)
        for after in (-1, 0, 4):
            delta = cache.delta(after)
            self.assertTrue(delta.is_whole)
            self.assertEqual({each.key for each in delta.rows}, {"a", "b"})

    def test_older_rows_change_nothing(self) -> None:
        cache = TableCache()
        cache.replace([row("a", 5)], 5)
        cache.update([row("a", 3)], 6)
        self.assertEqual(cache.delta(-1).rows[0].version, 5)

    def test_random_followers_of_followers_end_with_the_same_rows(self) -> None:
        for seed in range(30):
            with self.subTest(seed):
                self._play(random.Random(seed))

    def _play(self, chance: random.Random) -> None:
        truth: dict[str, StoreRow] = {}
        caches = [TableCache() for _ in range(4)]
        caches[0].replace([], 0)
        known = [dict[str, StoreRow]() for _ in caches]
        version = 0
        for _ in range(200):
            version += chance.randrange(1, 4)
            key = f"k{chance.randrange(8)}"
            gone = key in truth and chance.random() < 0.4
            change = row(key, version, gone)
            truth.pop(key, None) if gone else truth.update({key: change})
            caches[0].update([change], version)
            follower = chance.randrange(1, 4)
            self._follow(caches, known, follower, chance.randrange(follower))
        for follower in (1, 2, 3):
            self._follow(caches, known, follower, follower - 1)
            self.assertEqual(known[follower], truth)

    def _follow(
        self,
        caches: list[TableCache],
        known: list[dict[str, StoreRow]],
        follower: int,
        source: int,
    ) -> None:
        if not caches[source].is_known:
            return
        delta = caches[source].delta(caches[follower].version)
        if delta.version < caches[follower].version:
            return
        if delta.is_whole:
            caches[follower].replace(delta.rows, delta.version)
            known[follower] = {each.key: each for each in delta.rows}
            return
        caches[follower].update(delta.rows, delta.version)
        for each in delta.rows:
            if each.gone:
                known[follower].pop(each.key, None)
            else:
                known[follower][each.key] = each

    def test_who_is_further_behind_than_removals_are_kept_gets_it_whole(self) -> None:
        cache = TableCache()
        cache.replace([], 0)
        for version in range(1, table_cache.MAX_REMOVED + 3):
            cache.update([row(f"k{version}", version, gone=True)], version)
        self.assertTrue(cache.delta(1).is_whole)
        self.assertFalse(cache.delta(3).is_whole)


class ReadingPlanTest(unittest.TestCase):
    def test_few_processes_all_read(self) -> None:
        names = [f"n{n}" for n in range(MOST_READING_ALL)]
        self.assertTrue(all(reading_plan(name, names).is_reader for name in names))

    def test_of_many_a_few_read_and_the_others_reach_one_of_them(self) -> None:
        for count in (MOST_READING_ALL + 1, 73, 850):
            names = [f"n{n}" for n in range(count)]
            plans = {name: reading_plan(name, names) for name in names}
            readers = {name for name, plan in plans.items() if plan.is_reader}
            self.assertEqual(len(readers), READERS)
            for name in names:
                steps, at = 0, name
                while not plans[at].is_reader:
                    at = plans[at].sources[0]
                    steps += 1
                self.assertLessEqual(steps, 2)
                if name not in readers:
                    self.assertTrue(readers <= set(plans[name].sources))

    def test_no_process_is_followed_by_many(self) -> None:
        names = [f"n{n}" for n in range(850)]
        first = [reading_plan(name, names).sources[:1] for name in names]
        most = max(first.count(choice) for choice in set(first) if choice)
        self.assertLessEqual(most, FOLLOWERS_PER_PROCESS)


if __name__ == "__main__":
    unittest.main()
