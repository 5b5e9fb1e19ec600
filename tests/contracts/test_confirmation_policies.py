"""What each confirmation policy promises, and what it gives up."""

import unittest

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.resources import Confirmation, GroupSpec
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import SMALL, Scenario, Verdict, run_scenario
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import FIRST_SEED, SEEDS, workload

CUT = Fault(FaultKind.PRIMARY_CUT, 1.0, 3.0)
LAG = Fault(FaultKind.REPLICAS_LAG, 0.0, 4.0)


def run(confirmation: Confirmation, fault: Fault, seed: int) -> Verdict:
    deployment = msgspec.structs.replace(SMALL, group_spec=GroupSpec(confirmation=confirmation))
    population = PopulationSettings(rate=60, sessions=24, workloads=(workload(Action.APPEND),))
    scenario = Scenario(
        deployment=deployment, faults=(fault,), population=population, load_time=4.0, settle=3.0
    )
    return run_scenario(scenario, seed)


def done_share(verdict: Verdict) -> float:
    requests = verdict.history.requests
    done = sum(1 for request in requests if request.outcome is Outcome.DONE)
    return done / len(requests)


class ConfirmationPoliciesTest(unittest.TestCase):
    def test_the_term_alone_keeps_replaced_primaries_from_acknowledging(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                verdict = run(Confirmation.MAJORITY_TERM, CUT, seed)
                found = {violation.promise for violation in verdict.violations}
                self.assertNotIn(Promise.NO_REPLACED_PRIMARY, found, verdict.describe())

    def test_when_every_replica_lags_only_the_term_is_quick(self) -> None:
        by_position = run(Confirmation.MAJORITY_POSITION, LAG, FIRST_SEED)
        by_term = run(Confirmation.MAJORITY_TERM, LAG, FIRST_SEED)
        self.assertEqual(by_position.violations, (), by_position.describe())
        self.assertLess(done_share(by_position), 0.5)
        self.assertGreater(done_share(by_term), 0.95)


if __name__ == "__main__":
    unittest.main()
