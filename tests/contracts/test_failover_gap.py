"""How long no write is acknowledged when a primary, a gateway or a site fails."""

import unittest
from itertools import pairwise

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.history import History
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.promises_writes import is_single_write
from dewledge.simulation.scenario import Scenario, run_scenario
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import FIRST_SEED, SEEDS, workload

STRIKES_AT = 1.0
LASTS = 3.0


class GapRow(msgspec.Struct, frozen=True):
    """most: seconds that writes may stand still beyond the group's own election, if any."""

    fault: FaultKind
    most: float


PRIMARY_ROWS = (
    GapRow(FaultKind.PRIMARY_CUT, 0.4),
    GapRow(FaultKind.PRIMARY_CUT_FROM_ALL, 0.4),
    GapRow(FaultKind.PRIMARY_KILLED, 0.4),
    GapRow(FaultKind.PRIMARY_FROZEN, 0.4),
    GapRow(FaultKind.SITE_LOST, 0.6),
)

PROXY_ROWS = (
    GapRow(FaultKind.GATEWAY_KILLED, 0.6),
    GapRow(FaultKind.PROXY_CUT, 0.6),
)

GATEWAY_CUT_ROWS = (GapRow(FaultKind.GATEWAY_CUT, 1.0),)

GATEWAY_FROZEN_ROWS = (GapRow(FaultKind.GATEWAY_FROZEN, 1.5),)


def longest_gap(history: History, since: float) -> float:
    """Returns the longest time without an acknowledged write from `since` on, in seconds."""
    times = sorted(
        request.answered_at or 0.0
        for request in history.requests
        if is_single_write(request) and request.outcome is Outcome.DONE
    )
    later = [time for time in times if since < time < since + LASTS]
    bounds = [since, *later, since + LASTS]
    return max(after - before for before, after in pairwise(bounds))


def election_time(history: History, since: float) -> float:
    """Returns the seconds until a primary was elected; 0 if none was."""
    times = [election.time - since for election in history.elections if election.time > since]
    return min(times, default=0.0)


class FailoverGapTest(unittest.TestCase):
    def check_gaps(self, rows: tuple[GapRow, ...]) -> None:
        population = PopulationSettings(rate=80, sessions=30, workloads=(workload(Action.APPEND),))
        for row in rows:
            scenario = Scenario(
                faults=(Fault(row.fault, STRIKES_AT, LASTS),),
                population=population,
                load_time=STRIKES_AT + LASTS + 0.5,
                settle=2.0,
            )
            since = scenario.warm_up + STRIKES_AT
            for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
                with self.subTest(row.fault, seed=seed):
                    history = run_scenario(scenario, seed).history
                    gap = longest_gap(history, since)
                    election = election_time(history, since)
                    self.assertLess(gap, election + row.most, f"election {election:.3f} s")

    def test_writes_go_on_soon_after_a_primary_fails(self) -> None:
        self.check_gaps(PRIMARY_ROWS)

    def test_writes_go_on_soon_after_a_proxy_fails(self) -> None:
        self.check_gaps(PROXY_ROWS)

    def test_writes_go_on_soon_while_a_gateway_finds_no_way(self) -> None:
        self.check_gaps(GATEWAY_CUT_ROWS)

    def test_writes_go_on_soon_while_a_gateway_is_frozen(self) -> None:
        self.check_gaps(GATEWAY_FROZEN_ROWS)


if __name__ == "__main__":
    unittest.main()
