"""A short run of each scenario keeps every promise; the baselines show what they lack."""

import os
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from dewledge.bench.plot import write_plot
from dewledge.bench.run import BenchPlan, RunPlan, run_bench, run_once
from dewledge.bench.scenarios import LoadSettings, ScenarioName
from dewledge.bench.variants import VariantName
from dewledge.errors import InvalidInput
from dewledge.simulation.deployments import DeploymentName
from dewledge.simulation.violations import Promise

LIGHT = LoadSettings(rate=40.0, time=10.0)
SHORT = LoadSettings(rate=60.0, time=4.0)
LEAST_SHARE = 0.8
LEAST_DONE = 0.8
STRIKES = {
    ScenarioName.PRIMARY_KILLED: 1,
    ScenarioName.PRIMARY_CUT: 1,
    ScenarioName.DOUBLE_FAILURE: 2,
}
GROUPS = 3


def plan(scenario, variant=VariantName.DEWLEDGE, load=LIGHT, number=0):
    deployment = list(DeploymentName)[number % len(DeploymentName)]
    return RunPlan(deployment, scenario, variant, seed=1, load=load)


class ScenarioTest(unittest.TestCase):
    def test_each_scenario_keeps_every_promise(self):
        for number, scenario in enumerate(ScenarioName):
            with self.subTest(scenario):
                figures = run_once(plan(scenario, number=number))
                self.assertEqual((), figures.violations)
                self.assertGreater(figures.done, LEAST_DONE * figures.requests)
                self.assertGreaterEqual(figures.reads.bound, figures.reads.share)
                self.assertGreater(figures.reads.share, LEAST_SHARE)
                self.assertEqual(0, figures.refused_connections)
                self._check_failovers(scenario, figures)

    def _check_failovers(self, scenario, figures):
        self.assertEqual(GROUPS * STRIKES.get(scenario, 0), len(figures.failovers))
        for failover in figures.failovers:
            self.assertIsNotNone(failover.election)
            self.assertGreater(failover.excess, 0.0)


class BaselineTest(unittest.TestCase):
    def test_unchecked_replicas_give_stale_reads_where_one_lags(self):
        figures = run_once(
            plan(ScenarioName.REPLICA_LAGGING, VariantName.UNCHECKED_REPLICAS, LIGHT)
        )
        broken = {item.promise for item in figures.violations}
        self.assertEqual({Promise.OWN_WRITES_READ_BACK}, broken)

    def test_own_pools_are_refused_connections(self):
        busy = LoadSettings(rate=300.0, time=3.0)
        figures = run_once(plan(ScenarioName.STEADY, VariantName.OWN_POOLS, busy))
        self.assertGreater(figures.refused_connections, 0)
        self.assertTrue(any(item.peak == item.limit for item in figures.connections))

    def test_primary_reads_use_no_replica(self):
        figures = run_once(plan(ScenarioName.STEADY, VariantName.PRIMARY_READS, SHORT))
        self.assertEqual(0, figures.reads.by_replica)


class ReportTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.plan = BenchPlan(
            DeploymentName.MENUS,
            ScenarioName.STEADY,
            seeds=(1, 2),
            variants=(VariantName.DEWLEDGE, VariantName.PRIMARY_READS),
            load=SHORT,
        )
        cls.report = run_bench(cls.plan)

    def test_equal_plans_give_equal_reports(self):
        self.assertEqual(
            msgspec.json.encode(self.report), msgspec.json.encode(run_bench(self.plan))
        )

    def test_equal_in_processes_that_hash_strings_otherwise(self):
        self.assertEqual(self._bench_with_hash_seed("1"), self._bench_with_hash_seed("2"))

    def _bench_with_hash_seed(self, hash_seed):
        options = "--deployment menus --scenario double-failure --seeds 1 --baseline none"
        command = [sys.executable, "-c", "from dewledge.cli.main import main; main()", "bench"]
        environment = os.environ | {"PYTHONHASHSEED": hash_seed}
        return subprocess.run(
            [*command, *options.split(), "--rate", "20", "--output", "json"],
            env=environment,
            check=True,
            capture_output=True,
        ).stdout

    def test_summary_puts_the_reads_of_all_seeds_together(self):
        summary = self.report.variants[0]
        answered = sum(run.reads.answered for run in summary.runs)
        by_replica = sum(run.reads.by_replica for run in summary.runs)
        self.assertEqual(by_replica / answered, summary.replica_share)
        self.assertEqual(0, self.report.violations)

    def test_picture(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "bench.svg"
            write_plot(self.report, path)
            self.assertIn("Replica share", path.read_text())
            with self.assertRaises(InvalidInput):
                write_plot(self.report, Path(folder) / "bench.unknown")
