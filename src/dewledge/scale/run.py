"""A scale run: hollow nodes in all scenarios, unit costs, memory, and a few real nodes beside."""

import gc
import time
from collections.abc import Callable, Sequence

import msgspec

from dewledge.scale.baseline import codec_round_trip
from dewledge.scale.memory import MemoryPerNode, measure_memory
from dewledge.scale.real_nodes import RealRun, run_real_nodes
from dewledge.scale.scenarios import Scenario, ScenarioResult, run_scenario, start_cluster
from dewledge.scale.unit_costs import UnitCosts, measure_unit_costs
from dewledge.scale.workload import full_configuration

MEMORY_SIZES = (100, 850)
REAL_NODES = 6
REAL_SECONDS = 5.0
REGIONS_NODES = 300
"""Nodes for the cut of the regions, unless it is asked for by name: 850 take many minutes."""


class ScaleReport(msgspec.Struct, frozen=True):
    """All that a run has measured.

    baseline: seconds of processor time of one small cbor2 round trip, in the same run.
    """

    nodes: int
    seed: int
    baseline: float
    scenarios: tuple[ScenarioResult, ...]
    unit_costs: UnitCosts
    memory: dict[int, MemoryPerNode]
    real_nodes: RealRun
    wall_seconds: float


class _Plan(msgspec.Struct, frozen=True):
    """Scenarios that follow one another on one cluster."""

    nodes: int
    scenarios: tuple[Scenario, ...]


def run_scale(
    nodes: int,
    seed: int,
    scenarios: Sequence[Scenario],
    progress: Callable[[str], None],
    real_seconds: float = REAL_SECONDS,
) -> ScaleReport:
    """Runs everything in turn; `progress` is told what comes next.

    Without `scenarios` all are run, the cut of the regions with REGIONS_NODES at most.
    Scenarios follow one another on one cluster, so that each begins where the last has left it.
    The cycle collector rests meanwhile: it would walk the state of all nodes at the cost of one.
    """
    was_collecting = gc.isenabled()
    gc.disable()
    try:
        return _run(nodes, seed, scenarios, progress, real_seconds)
    finally:
        if was_collecting:
            gc.enable()


def _run(
    nodes: int,
    seed: int,
    scenarios: Sequence[Scenario],
    progress: Callable[[str], None],
    real_seconds: float,
) -> ScaleReport:
    begun = time.monotonic()
    configuration = full_configuration()
    progress("baseline, unit costs, memory")
    baseline = codec_round_trip()
    unit_costs = measure_unit_costs(nodes, configuration)
    memory = {size: measure_memory(size, configuration, seed) for size in MEMORY_SIZES}
    progress(f"{REAL_NODES} real members on loopback for {real_seconds:.0f} s")
    real_run = run_real_nodes(REAL_NODES, real_seconds)
    results: list[ScenarioResult] = []
    for plan in _plans(nodes, scenarios):
        progress(f"starting {plan.nodes} hollow nodes at {time.monotonic() - begun:.0f} s")
        cluster = start_cluster(plan.nodes, seed, configuration)
        for scenario in plan.scenarios:
            progress(f"scenario {scenario} at {time.monotonic() - begun:.0f} s")
            results.append(run_scenario(scenario, cluster))
    return ScaleReport(
        nodes=nodes,
        seed=seed,
        baseline=baseline,
        scenarios=tuple(results),
        unit_costs=unit_costs,
        memory=memory,
        real_nodes=real_run,
        wall_seconds=time.monotonic() - begun,
    )


def _plans(nodes: int, scenarios: Sequence[Scenario]) -> list[_Plan]:
    if scenarios:
        return [_Plan(nodes, tuple(scenarios))]
    first = tuple(item for item in Scenario if item is not Scenario.REGIONS)
    return [_Plan(nodes, first), _Plan(min(nodes, REGIONS_NODES), (Scenario.REGIONS,))]
