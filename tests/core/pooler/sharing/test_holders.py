"""Guards the distribution of a database's connections over processes and holders."""

import unittest

from dewledge.core.pooler.sharing.holders import (
    MIN_DIRECT_CONNECTIONS,
    connections_per_process,
    holding_of,
    usable_connections,
)
from dewledge.core.pooler.sharing.members import Member

ZONES = ("a", "b", "c")


def members(count: int) -> dict[str, Member]:
    return {f"n{n}": Member(f"10.0.0.{n}:1", ZONES[n % 3]) for n in range(count)}


def distance_from_zone_a(zone: str) -> int:
    return 0 if zone == "a" else 2


class HoldingTest(unittest.TestCase):
    def test_few_processes_divide_connections_equally(self) -> None:
        for count in (1, 3, 7, 11):
            for name in members(count):
                holding = holding_of(name, "d", 36, members(count), distance_from_zone_a)
                self.assertEqual(holding.connections, 33 // count)
                self.assertTrue(holding.is_direct)

    def test_sum_of_connections_stays_within_limit(self) -> None:
        for limit in (1, 4, 36, 40, 100):
            for count in (1, 2, 7, 12, 73, 300):
                all_members = members(count)
                planned = sum(
                    holding_of(name, "d", limit, all_members, distance_from_zone_a).connections
                    for name in all_members
                )
                self.assertGreaterEqual(planned, 1)
                self.assertLessEqual(planned, max(usable_connections(limit), 2), (limit, count))

    def test_nearest_processes_become_holders(self) -> None:
        all_members = members(73)
        holdings = {
            name: holding_of(name, "d", 40, all_members, distance_from_zone_a)
            for name in all_members
        }
        holders = {name for name, holding in holdings.items() if holding.is_direct}
        self.assertEqual(len(holders), 36 // 8)
        self.assertEqual({all_members[name].zone for name in holders}, {"a"})
        for name, holding in holdings.items():
            if name not in holders:
                self.assertEqual(set(holding.holders[: len(holders)]), holders)
                self.assertNotIn(name, holding.holders)

    def test_other_processes_spread_over_holders(self) -> None:
        all_members = members(73)
        first = [
            holding_of(name, "d", 40, all_members, distance_from_zone_a).holders[:1]
            for name in all_members
        ]
        counts = [first.count(choice) for choice in set(first) if choice]
        self.assertGreaterEqual(min(counts), 8)

    def test_removed_member_changes_one_holder_at_most(self) -> None:
        all_members = members(73)
        holders = {
            n
            for n in all_members
            if holding_of(n, "d", 40, all_members, distance_from_zone_a).is_direct
        }
        remaining = {
            name: member for name, member in all_members.items() if name != sorted(holders)[0]
        }
        later = {
            n
            for n in remaining
            if holding_of(n, "d", 40, remaining, distance_from_zone_a).is_direct
        }
        self.assertEqual(len(later - holders), 1)

    def test_holders_are_used_below_minimum_of_direct_connections(self) -> None:
        self.assertGreaterEqual(connections_per_process(36, 11), MIN_DIRECT_CONNECTIONS)
        self.assertLess(connections_per_process(36, 12), MIN_DIRECT_CONNECTIONS)
        self.assertFalse(
            all(
                holding_of(n, "d", 36, members(12), distance_from_zone_a).is_direct
                for n in members(12)
            )
        )


if __name__ == "__main__":
    unittest.main()
