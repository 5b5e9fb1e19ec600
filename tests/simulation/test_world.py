"""The simulated world itself: one seed, one history; processes that end, freeze and come back."""

import unittest

import msgspec

from dewledge.core.proxy.calls import CallerAnswer, CallerRequest
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.history import History
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import SMALL, Scenario, ScenarioRun, run_scenario
from dewledge.simulation.simulated_proxy import ProcessState

FAULTS = (
    Fault(FaultKind.PRIMARY_CUT, 0.5, 1.0),
    Fault(FaultKind.MESSAGES_LOST, 0.2, 1.5),
    Fault(FaultKind.PROXY_KILLED, 0.7, 0.5),
)
LOAD = PopulationSettings(rate=60, sessions=20)


def short_run(seed: int, faults: tuple[Fault, ...] = ()) -> History:
    scenario = Scenario(faults=faults, population=LOAD, load_time=2.0, settle=2.0)
    return run_scenario(scenario, seed).history


class DeterminismTest(unittest.TestCase):
    def test_one_seed_gives_one_history(self) -> None:
        first, second = (msgspec.json.encode(short_run(3, FAULTS)) for _ in range(2))
        self.assertEqual(first, second)

    def test_another_seed_gives_another_history(self) -> None:
        first, second = (msgspec.json.encode(short_run(seed)) for seed in (3, 4))
        self.assertNotEqual(first, second)


class ProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.run = ScenarioRun(Scenario(deployment=SMALL), seed=1)
        self.world = self.run.world
        self.world.start()
        self.world.run_until(6.0)
        self.proxy = next(iter(self.world.proxies.values()))

    def test_a_killed_process_is_gone_for_the_others_until_it_is_started(self) -> None:
        other = list(self.world.proxies.values())[1]
        self.proxy.kill()
        self.world.run_until(20.0)
        self.assertNotIn(self.proxy.name, [member.name for member in other.core.members])
        self.proxy.start()
        self.world.run_until(30.0)
        self.assertIn(self.proxy.name, [member.name for member in other.core.members])
        self.assertEqual(self.proxy.incarnation, 2)
        absence = self.world.finish().absences[0]
        self.assertEqual((absence.start, absence.end), (6.0, 20.0))

    def test_starting_a_process_that_runs_changes_nothing(self) -> None:
        core = self.proxy.core
        self.proxy.start()
        self.assertIs(self.proxy.core, core)

    def test_a_frozen_process_handles_what_waited_when_it_thaws(self) -> None:
        request = CallerRequest(1, "applicants", "accra-cases", deadline=8.0)
        answers: list[CallerAnswer] = []
        self.proxy.freeze()
        self.proxy.receive_call(request, answers.append, ended=lambda: None)
        self.world.run_until(7.0)
        self.assertEqual(answers, [])
        self.proxy.thaw()
        self.world.run_until(8.5)
        self.assertEqual(len(answers), 1)

    def test_a_planned_stop_ends_the_process_and_restarts_it_if_asked(self) -> None:
        self.proxy.stop()
        self.proxy.restart_when_ended()
        self.world.run_until(30.0)
        self.assertEqual(self.proxy.state, ProcessState.RUNNING)
        self.assertEqual(self.proxy.incarnation, 2)
        self.assertEqual(len(self.world.history.stops), 1)


class EveryFaultTest(unittest.TestCase):
    def test_each_fault_begins_and_ends(self) -> None:
        for kind in FaultKind:
            with self.subTest(kind):
                run = ScenarioRun(Scenario(population=LOAD), seed=2)
                run.world.start()
                run.world.run_until(6.0)
                run.injector.schedule(Fault(kind, 0.1, 0.5), 6.0)
                run.world.run_until(16.0)
                states = {proxy.state for proxy in run.world.proxies.values()}
                self.assertEqual(states, {ProcessState.RUNNING})
                self.assertFalse(any(item.frozen for item in run.world.servers.values()))


if __name__ == "__main__":
    unittest.main()
