"""Faults drawn at random, two to four at once, in both sizes of deployment: no promise breaks."""

from random import Random

import msgspec

from dewledge.simulation.deployments import MENUS
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import SMALL, Scenario, run_scenario
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import SEEDS, ContractTestCase

RUNS_PER_SEED = 6
LATEST_FAULT = 4.5
LONGEST_FAULT = 4.0

DRAWN = tuple(kind for kind in FaultKind if kind is not FaultKind.PRIMARY_DRAINED)
"""A drained primary leaves no place for writes, which would hide what other faults do to them."""

LARGER = msgspec.structs.replace(MENUS, groups=MENUS.groups[:2], proxies_per_site=2)


def draw_faults(seed: int) -> tuple[Fault, ...]:
    """Returns the faults of one run."""
    random = Random(seed)
    return tuple(
        Fault(
            random.choice(DRAWN),
            random.uniform(0.2, LATEST_FAULT),
            random.uniform(0.2, LONGEST_FAULT),
        )
        for _ in range(random.randint(2, 4))
    )


class RandomFaultsTest(ContractTestCase):
    def test_faults_together(self) -> None:
        for seed in range(1, 1 + SEEDS * RUNS_PER_SEED):
            faults = draw_faults(seed)
            scenario = Scenario(
                deployment=SMALL if seed % 2 else LARGER,
                faults=faults,
                population=PopulationSettings(rate=60, sessions=24),
                load_time=5.0,
            )
            verdict = run_scenario(scenario, seed)
            # A stop is only promised to cut nothing if nothing else cuts it at the same time.
            broken = [
                item for item in verdict.violations if item.promise is not Promise.PLANNED_STOP
            ]
            with self.subTest(seed=seed):
                self.assertEqual(broken, [], f"{faults}, {verdict.describe()}")
