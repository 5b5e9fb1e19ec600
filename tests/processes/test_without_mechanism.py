"""The same faults and checkers against a cluster whose mechanism is switched off: seen red."""

import unittest
from collections.abc import Sequence
from unittest.mock import patch

import msgspec

from dewledge.adapters.job_runner import run_job
from dewledge.core.confirmation import Claim, Verdict, judge
from dewledge.core.jobs import Job, JobResult
from dewledge.core.ports import DatabaseConnection
from dewledge.embedded import ClusterPlan, EmbeddedCluster
from dewledge.simulation.history import History
from dewledge.simulation.promises import check_all
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import SCHEMA
from dewledge.standin.deployments import PERMITS
from tests.process_cluster import ProcessCluster, await_state
from tests.processes.group_observer import GroupObserver
from tests.processes.mixed_load import MixedLoad
from tests.processes.recorded_caller import RecordedCaller, Target

GROUP = ProcessCluster.group
LOST_ANSWERS = 1


def _confirm_at_once(claim: Claim, *arguments: object) -> Verdict:
    """Takes a write for confirmed as soon as the primary that ran it says so."""
    return Verdict.CONFIRMED if claim.write else judge(claim, *arguments)  # type: ignore[arg-type]


def _ignore_key(connection: DatabaseConnection, job: Job) -> JobResult:
    """Runs a keyed write like any other, without a record of its key."""
    return run_job(connection, msgspec.structs.replace(job, idempotency=None))


class WithoutMechanismTest(unittest.TestCase):
    def setUp(self) -> None:
        plan = ClusterPlan(PERMITS, groups=(GROUP,))
        self.cluster = self.enterContext(EmbeddedCluster(plan))
        self.faults = self.cluster.group_faults(GROUP)
        self.addCleanup(self.faults.close)
        self.history = History()
        setup = RecordedCaller(History(), self.targets, "setup")
        self.addCleanup(setup.roam)
        for statement in SCHEMA:
            setup.run(statement)
        self.observer = GroupObserver(GROUP, self.cluster.group_faults(GROUP), self.history)

    def targets(self) -> Sequence[Target]:
        proxies = self.cluster.proxies.items()
        return [Target(name, proxy.caller_address) for name, proxy in proxies]

    def broken_promises(self) -> set[Promise]:
        self.observer.finish()
        return {violation.promise for violation in check_all(self.history)}

    def cut_primary_under_load(self) -> set[Promise]:
        load = MixedLoad(self.history, self.targets, "load")
        load.await_progress()
        primary = next(iter(PERMITS.databases_of(GROUP)))
        self.faults.cut_off(primary)
        await_state("a new primary", lambda: self.observer.elections > 0)
        load.await_progress()
        load.finish()
        self.faults.heal(primary)
        return self.broken_promises()

    def repeat_after_lost_answer(self) -> set[Promise]:
        caller = RecordedCaller(self.history, self.targets, "submitter")
        self.addCleanup(caller.roam)
        caller.append(keyed=True)
        self.faults.lose_answers(next(iter(PERMITS.databases_of(GROUP))), LOST_ANSWERS)
        lost = caller.append(keyed=True)
        caller.roam()
        caller.append(lost.marker, keyed=True)
        return self.broken_promises()

    def test_confirmation(self) -> None:
        self.assertEqual(self.cut_primary_under_load(), set())

    def test_without_confirmation(self) -> None:
        with patch("dewledge.core.group_monitor.judge", _confirm_at_once):
            broken = self.cut_primary_under_load()
        self.assertIn(Promise.ACKNOWLEDGED_WRITES_STAND, broken)

    def test_recorded_key(self) -> None:
        self.assertEqual(self.repeat_after_lost_answer(), set())

    def test_without_recorded_key(self) -> None:
        with patch("dewledge.shell.database_workers.run_job", _ignore_key):
            broken = self.repeat_after_lost_answer()
        self.assertEqual(broken, {Promise.AT_MOST_ONCE})


if __name__ == "__main__":
    unittest.main()
