"""The scale run itself: every scenario ends in agreement, and the report holds all it promises."""

import io
import unittest

import msgspec
from rich.console import Console

from dewledge.core.proxy.configuration.resources import DatabaseSpec, Kind
from dewledge.scale.report import print_report
from dewledge.scale.run import ScaleReport, run_scale
from dewledge.scale.scenarios import Scenario
from dewledge.scale.topology import BETWEEN_REGIONS, PLACES, WITHIN_ZONE, delay
from dewledge.scale.workload import DATABASES, full_configuration

NODES = 24
AWAITED = [item for item in Scenario if item is not Scenario.STEADY]


class ScaleRunTest(unittest.TestCase):
    report: ScaleReport

    @classmethod
    def setUpClass(cls) -> None:
        cls.report = run_scale(NODES, 3, (), lambda text: None, real_seconds=1.5)

    def test_all_know_in_every_scenario(self) -> None:
        self.assertEqual([item.scenario for item in self.report.scenarios], list(Scenario))
        for result in self.report.scenarios:
            with self.subTest(result.scenario):
                self.assertEqual(result.until_all is not None, result.scenario in AWAITED)

    def test_simulated_limits_hold(self) -> None:
        by_scenario = {item.scenario: item for item in self.report.scenarios}
        self.assertLess(by_scenario[Scenario.STEADY].rates.bytes_sent, 500.0)
        self.assertLess(by_scenario[Scenario.CHANGE].until_all or 99.0, 6.0)
        self.assertLess(by_scenario[Scenario.DEATH].until_all or 99.0, 10.0)

    def test_real_members_join(self) -> None:
        self.assertTrue(self.report.real_nodes.all_joined)

    def test_memory_grows_with_the_members(self) -> None:
        small, large = (self.report.memory[size] for size in sorted(self.report.memory))
        self.assertGreater(large.membership, small.membership)

    def test_the_report_prints_and_encodes(self) -> None:
        text = io.StringIO()
        print_report(self.report, Console(file=text, width=200))
        for scenario in Scenario:
            self.assertIn(scenario, text.getvalue())
        decoded = msgspec.json.decode(msgspec.json.encode(self.report), type=ScaleReport)
        self.assertEqual(decoded, self.report)


class WorkloadTest(unittest.TestCase):
    def test_the_size_to_come(self) -> None:
        configuration = full_configuration()
        specs = [item.spec for item in configuration.of_kind(Kind.DATABASE)]
        groups = {spec.group for spec in specs if isinstance(spec, DatabaseSpec)}
        self.assertEqual(len(specs), DATABASES)
        self.assertEqual(len(groups), 467)

    def test_two_regions_of_three_zones(self) -> None:
        self.assertEqual(len({place.zone for place in PLACES}), 6)
        self.assertEqual(delay(PLACES[0], PLACES[3]), BETWEEN_REGIONS)
        self.assertEqual(delay(PLACES[0], PLACES[0]), WITHIN_ZONE)
