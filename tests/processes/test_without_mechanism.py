"""The same faults and checkers against a cluster whose mechanism is switched off: seen red."""

import unittest
from collections.abc import Sequence
from unittest.mock import patch

import msgspec

from dewledge.adapters.job_runner import run_job
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.gateway.confirmation import Claim, Verdict, judge
from dewledge.core.proxy.jobs import Job, JobResult
from dewledge.core.proxy.ports import DatabaseConnection
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
DONE = Outcome.DONE
LOST_ANSWERS = 1


def _confirm_at_once(claim: Claim, *arguments: object) -> Verdict:
    """Takes a write for confirmed as soon as the primary that ran it says so."""
    return Verdict.CONFIRMED if claim.write else judge(claim, *arguments)  # type: ignore[arg-type]


def _ignore_key(connection: DatabaseConnection, job: Job) -> JobResult:
    """Runs a keyed write like any other, without a record of its key."""
    return run_job(connection, msgspec.structs.replace(job, idempotency=None))


class WithoutMechanismTest(unittest.TestCase):
    """Each point first with its mechanism, then without, under the same fault."""

    cluster: EmbeddedCluster

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = cls.enterClassContext(EmbeddedCluster(ClusterPlan(PERMITS, groups=(GROUP,))))
        setup = RecordedCaller(History(), cls.targets, "setup")
        for statement in SCHEMA:
            await_state("a table is made", lambda it=statement: setup.run(it).outcome is DONE)
        setup.roam()

    def setUp(self) -> None:
        self.faults = self.cluster.group_faults(GROUP)
        self.addCleanup(self.faults.close)

    @classmethod
    def targets(cls) -> Sequence[Target]:
        proxies = cls.cluster.proxies.items()
        return [Target(name, proxy.caller_address) for name, proxy in proxies]

    def primary(self) -> str:
        statuses = [it for it in self.faults.statuses() if it.role is DatabaseRole.PRIMARY]
        return max(statuses, key=lambda it: it.term).database

    def cut_primary_under_load(self) -> set[Promise]:
        history = History()
        observer = GroupObserver(GROUP, self.cluster.group_faults(GROUP), history)
        load = MixedLoad(history, self.targets, "load")
        load.await_progress()
        primary = self.primary()
        self.faults.cut_off(primary)
        await_state("a new primary", lambda: observer.elections > 0)
        load.await_progress()
        load.finish()
        self.faults.heal(primary)
        observer.finish()
        return _broken_promises(history)

    def repeat_after_lost_answer(self) -> set[Promise]:
        history = History()
        observer = GroupObserver(GROUP, self.cluster.group_faults(GROUP), history)
        caller = RecordedCaller(history, self.targets, "submitter")
        await_state("it is done", lambda: caller.append(keyed=True).outcome is DONE)
        self.faults.lose_answers(self.primary(), LOST_ANSWERS)
        lost = caller.append(keyed=True)
        caller.roam()
        caller.append(lost.marker, keyed=True)
        caller.roam()
        observer.finish()
        return _broken_promises(history)

    def test_confirmation(self) -> None:
        self.assertEqual(self.cut_primary_under_load(), set())
        with patch("dewledge.core.proxy.gateway.group_monitor.judge", _confirm_at_once):
            broken = self.cut_primary_under_load()
        self.assertIn(Promise.ACKNOWLEDGED_WRITES_STAND, broken)

    def test_recorded_key(self) -> None:
        self.assertEqual(self.repeat_after_lost_answer(), set())
        with patch("dewledge.shell.proxy.database_workers.run_job", _ignore_key):
            broken = self.repeat_after_lost_answer()
        self.assertEqual(broken, {Promise.AT_MOST_ONCE})


def _broken_promises(history: History) -> set[Promise]:
    return {violation.promise for violation in check_all(history)}
