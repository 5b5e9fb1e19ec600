"""One run from start to verdict: a deployment, a load, faults, and the promises judged."""

from random import Random

import msgspec

from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.simulation.deployments import PERMITS, Deployment
from dewledge.simulation.faults import Fault, FaultInjector
from dewledge.simulation.history import History
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.population import Population, PopulationSettings
from dewledge.simulation.promises import check_all
from dewledge.simulation.violations import Violation
from dewledge.simulation.world import MakeInterceptor, World

WARM_UP = 6.0
"""Seconds in which the proxies find each other before the load begins."""

SETTLE = 10.0
"""Seconds after the load and every fault have ended, so that what is under way ends too."""

SMALL = msgspec.structs.replace(
    PERMITS, groups=PERMITS.groups[:1], proxies_per_site=1, callers=PERMITS.callers
)
"""One group and three proxies: all load and all faults meet in one place."""


class Scenario(msgspec.Struct, frozen=True):
    """What a run consists of. load_time: seconds in which requests arrive."""

    deployment: Deployment = SMALL
    faults: tuple[Fault, ...] = ()
    population: PopulationSettings = PopulationSettings()
    settings: ProxyCoreSettings = ProxyCoreSettings()
    load_time: float = 8.0
    warm_up: float = WARM_UP
    settle: float = SETTLE


class Verdict(msgspec.Struct, frozen=True):
    """What a run showed."""

    seed: int
    history: History
    violations: tuple[Violation, ...]

    def describe(self) -> str:
        """Returns the seed and every violation, a line each."""
        lines = [f"seed {self.seed}: {len(self.violations)} violations"]
        return "\n".join([*lines, *(str(item) for item in self.violations)])


class ScenarioRun:
    """A scenario with one seed; `world` is open to a test that wants to look closer."""

    def __init__(
        self, scenario: Scenario, seed: int, make_interceptor: MakeInterceptor = Interceptor
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.world = World(scenario.deployment, seed, make_interceptor, scenario.settings)
        self.population = Population(self.world, Random(seed + 2), scenario.population)
        self.injector = FaultInjector(self.world, Random(seed + 3))

    def run(self) -> Verdict:
        """Runs it to its end and judges the history."""
        scenario = self.scenario
        self.world.start()
        self.world.run_until(scenario.warm_up)
        load_ends = scenario.warm_up + scenario.load_time
        self.population.start(load_ends)
        for fault in scenario.faults:
            self.injector.schedule(fault, scenario.warm_up)
        faults_end = max((item.at + item.duration for item in scenario.faults), default=0.0)
        end = max(load_ends, scenario.warm_up + faults_end) + scenario.settle
        self.world.run_until(end)
        history = self.world.finish()
        return Verdict(self.seed, history, tuple(check_all(history)))


def run_scenario(
    scenario: Scenario, seed: int, make_interceptor: MakeInterceptor = Interceptor
) -> Verdict:
    """Runs a scenario once."""
    return ScenarioRun(scenario, seed, make_interceptor).run()
