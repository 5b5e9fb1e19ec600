"""Rows of faults, and the test case that runs each row over several seeds.

DEWLEDGE_SEEDS sets how many seeds each row gets; a failure prints the seed that shows it.
"""

import os
import unittest
from collections import Counter
from enum import StrEnum

import msgspec

from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.calls import Outcome
from dewledge.simulation.faults import Fault
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import Scenario, Verdict, run_scenario
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action, Workload
from dewledge.simulation.world import MakeInterceptor

SEEDS = int(os.environ.get("DEWLEDGE_SEEDS", "2"))
FIRST_SEED = 1
NAIVE_SEEDS = 6
"""A naive way must be found out within so many seeds."""

LOAD_TIME = 4.0
SETTLE = 3.0
RATE = 60.0
SESSIONS = 24


class Expected(StrEnum):
    """What a row must bring about in some of its runs, so that its fault is known to bite."""

    ALL_DONE = "every request done"
    ELECTION = "a new primary"
    LOST_COMMIT = "a commit that does not survive"
    UNKNOWN = "an unknown outcome"
    REPEATED = "a repeat answered with the recorded outcome"
    NOT_RUN = "a refusal"
    STOPPED = "a planned stop"
    ACCEPTED = "an accepted change"


class Row(msgspec.Struct, frozen=True):
    """name, faults (each with what, when and how long), and what is expected to be seen."""

    name: str
    faults: tuple[Fault, ...]
    expected: tuple[Expected, ...] = ()


def workload(action: Action, share: float = 1.0) -> Workload:
    """Returns a workload of one action."""
    return Workload(action.value, "applicants", action, share)


def seen_in(verdict: Verdict) -> set[Expected]:
    """Returns which of the expected things a run brought about."""
    history = verdict.history
    outcomes = Counter(request.outcome for request in history.requests)
    marks = {
        Expected.ALL_DONE: outcomes[Outcome.DONE] == len(history.requests),
        Expected.ELECTION: bool(history.elections),
        Expected.LOST_COMMIT: any(not commit.survives for commit in history.commits),
        Expected.UNKNOWN: outcomes[Outcome.UNKNOWN] > 0,
        Expected.REPEATED: any(request.repeated for request in history.requests),
        Expected.NOT_RUN: outcomes[Outcome.NOT_RUN] > 0,
        Expected.STOPPED: bool(history.stops),
        Expected.ACCEPTED: bool(history.acceptances),
    }
    return {mark for mark, present in marks.items() if present}


class ContractTestCase(unittest.TestCase):
    """Runs rows; every promise is judged in every run, whatever point the module is about."""

    workloads: tuple[Workload, ...] = ()
    load_time = LOAD_TIME
    settle = SETTLE
    rate = RATE
    settings = ProxyCoreSettings()
    naive_seeds = NAIVE_SEEDS

    def check_rows(self, rows: tuple[Row, ...]) -> None:
        """Fails with the seed and the evidence if a run of a row breaks any promise."""
        for row in rows:
            with self.subTest(row.name):
                seen: set[Expected] = set()
                for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
                    verdict = run_scenario(self.scenario(row.faults), seed)
                    self.assertEqual(verdict.violations, (), f"{row.name}, {verdict.describe()}")
                    self.check_run(row, verdict)
                    seen |= seen_in(verdict)
                missing = set(row.expected) - seen
                self.assertFalse(missing, f"{row.name}: the fault did not bring about {missing}")

    def check_naive(
        self,
        faults: tuple[Fault, ...],
        promise: Promise,
        make_interceptor: MakeInterceptor = Interceptor,
    ) -> None:
        """Fails if the checkers do not find the promise broken by a naive way."""
        for seed in range(FIRST_SEED, FIRST_SEED + self.naive_seeds):
            verdict = run_scenario(self.scenario(faults), seed, make_interceptor)
            if promise in {violation.promise for violation in verdict.violations}:
                return
        self.fail(f"{promise} was not found broken in {self.naive_seeds} seeds")

    def scenario(self, faults: tuple[Fault, ...]) -> Scenario:
        """Returns the scenario of this module."""
        population = PopulationSettings(rate=self.rate, sessions=SESSIONS, workloads=self.workloads)
        return Scenario(
            faults=faults,
            population=population,
            settings=self.settings,
            load_time=self.load_time,
            settle=self.settle,
        )

    def check_run(self, row: Row, verdict: Verdict) -> None:
        """Looks closer at one run; modules override it."""
