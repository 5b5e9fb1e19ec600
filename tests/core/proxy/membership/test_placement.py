"""Contract of gateway placement: the same everywhere, own zone first, little moves."""

import unittest
from random import Random

from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resources import DatabaseSpec, Kind, Resource
from dewledge.core.proxy.membership.member import Member, MemberState
from dewledge.core.proxy.membership.placement import GatewayPlacement

ZONES = ("north-0", "north-1", "south-0")
DATABASES = tuple(f"db-{number:03d}" for number in range(120))


def members(count: int, state: MemberState = MemberState.ALIVE) -> list[Member]:
    return [
        Member(f"proxy-{index:02d}", "p", "g", ZONES[index % 3], 1, state) for index in range(count)
    ]


def configuration() -> Configuration:
    specs = {
        name: DatabaseSpec("g", "a:1", ZONES[index % 3]) for index, name in enumerate(DATABASES)
    }
    return Configuration(
        1, [Resource(Kind.DATABASE, name, (), spec) for name, spec in specs.items()]
    )


def zone_of(name: str) -> str:
    return ZONES[int(name.split("-")[1]) % 3]


class PlacementTest(unittest.TestCase):
    def test_every_database_has_one_gateway_in_its_zone_and_a_next(self) -> None:
        placement = GatewayPlacement(members(30), configuration())
        placed = [name for item in members(30) for name in placement.databases_of(item.name)]
        self.assertEqual(sorted(placed), sorted(DATABASES))
        for index, name in enumerate(DATABASES):
            ranked = placement.ranked(name)
            self.assertEqual({zone_of(proxy) for proxy in ranked}, {ZONES[index % 3]})
            self.assertEqual(len(set(ranked)), 3)
            self.assertIn(name, placement.standby_databases_of(ranked[1]))

    def test_order_of_members_does_not_matter(self) -> None:
        first = GatewayPlacement(members(30), configuration())
        second = GatewayPlacement(reversed(members(30)), configuration())
        self.assertEqual(
            [first.ranked(name) for name in DATABASES], [second.ranked(name) for name in DATABASES]
        )

    def test_a_lost_member_moves_only_its_own_databases_to_the_next(self) -> None:
        before = GatewayPlacement(members(30), configuration())
        lost = before.active(DATABASES[0])
        rest = [item for item in members(30) if item.name != lost]
        for previous in (None, before):
            after = GatewayPlacement(rest, configuration(), previous)
            for name in DATABASES:
                ranked = before.ranked(name)
                expected = ranked[1] if ranked[0] == lost else ranked[0]
                self.assertEqual(after.active(name), expected)

    def test_what_is_lent_equals_what_is_worked_out_anew(self) -> None:
        for seed in range(4):
            random = Random(seed)
            placement = GatewayPlacement(members(24), configuration())
            for step in range(12):
                present = [item for item in members(24) if random.random() < 0.8]
                fresh = GatewayPlacement(present, configuration())
                placement = GatewayPlacement(present, configuration(), placement)
                for name in DATABASES[: random.randrange(1, len(DATABASES))]:
                    place = f"seed={seed} step={step} database={name}"
                    self.assertEqual(placement.ranked(name), fresh.ranked(name), place)

    def test_an_empty_zone_is_served_from_elsewhere(self) -> None:
        rest = [item for item in members(30) if item.zone != "north-0"]
        placement = GatewayPlacement(rest, configuration())
        self.assertEqual(len(placement.ranked(DATABASES[0])), 3)

    def test_a_thin_zone_ranks_its_own_first(self) -> None:
        thin = [item for item in members(30) if item.zone != "north-0"] + members(1)
        placement = GatewayPlacement(thin, configuration())
        self.assertEqual(placement.ranked(DATABASES[0])[0], "proxy-00")
        self.assertEqual(len(placement.ranked(DATABASES[0])), 3)

    def test_who_is_placed(self) -> None:
        cases = [
            (MemberState.ALIVE, True),
            (MemberState.SUSPECT, True),
            (MemberState.LEAVING, False),
            (MemberState.DEAD, False),
            (MemberState.LEFT, False),
        ]
        for state, placed in cases:
            with self.subTest(state=state):
                placement = GatewayPlacement(members(3, state), configuration())
                self.assertEqual(placement.active(DATABASES[0]) is not None, placed)

    def test_unknown_database_and_nobody_there(self) -> None:
        self.assertEqual(GatewayPlacement(members(3), configuration()).ranked("none"), ())
        self.assertIsNone(GatewayPlacement([], configuration()).active(DATABASES[0]))
