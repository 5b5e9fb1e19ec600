"""Runs dewledge and its baselines, each with every seed, and gathers the report."""

from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

import msgspec

from dewledge.bench.arrivals import SteadyArrivals
from dewledge.bench.figures import (
    BenchReport,
    LoadDescription,
    RunFigures,
    VariantFigures,
)
from dewledge.bench.measures import (
    count_outcomes,
    count_statements,
    count_violations,
    measure_connections,
    measure_failovers,
    measure_latency,
    measure_reads,
)
from dewledge.bench.scenarios import (
    DEFAULT_LOAD,
    LoadSettings,
    ScenarioName,
    build_scenario,
    failover_times,
    schedule_extra_faults,
)
from dewledge.bench.variants import VARIANTS, VariantName
from dewledge.simulation.deployments import DeploymentName
from dewledge.simulation.group_watch import GroupWatch
from dewledge.simulation.history import ElectionRecord, History
from dewledge.simulation.scenario import ScenarioRun
from dewledge.simulation.violations import Promise
from dewledge.simulation.world import World

RAN_ON = "simulator: virtual time, network and databases; the daemon's own decision core"

ELECTION_WATCH_INTERVAL = 0.001
"""Seconds; an election's time is this exact."""


class BenchPlan(msgspec.Struct, frozen=True):
    """What one command runs. workers: simulations at once, each in a process of its own."""

    deployment: DeploymentName
    scenario: ScenarioName
    seeds: tuple[int, ...]
    variants: tuple[VariantName, ...]
    load: LoadSettings = DEFAULT_LOAD
    workers: int = 1


class RunPlan(msgspec.Struct, frozen=True):
    """One simulation."""

    deployment: DeploymentName
    scenario: ScenarioName
    variant: VariantName
    seed: int
    load: LoadSettings = DEFAULT_LOAD


def run_bench(plan: BenchPlan) -> BenchReport:
    """Runs every variant with every seed. Equal plans give equal reports."""
    runs = [
        RunPlan(plan.deployment, plan.scenario, variant, seed, plan.load)
        for variant in plan.variants
        for seed in plan.seeds
    ]
    figures = _run_all(runs, plan.workers)
    variants = tuple(
        summarize(variant, [item for item in figures if item.variant is variant])
        for variant in plan.variants
    )
    own = [item.violations for item in variants if item.variant is VariantName.DEWLEDGE]
    return BenchReport(
        ran_on=RAN_ON,
        deployment=plan.deployment,
        scenario=plan.scenario,
        seeds=plan.seeds,
        load=_describe_load(plan),
        violations=sum(own),
        variants=variants,
    )


def run_once(plan: RunPlan) -> RunFigures:
    """Runs one simulation and measures its history."""
    variant = VARIANTS[plan.variant]
    scenario = build_scenario(plan.deployment, plan.scenario, plan.load)
    scenario = msgspec.structs.replace(scenario, settings=variant.settings)
    run = ScenarioRun(scenario, plan.seed, variant.make_interceptor)
    run.population = SteadyArrivals(run.world, Random(plan.seed), scenario.population)
    schedule_extra_faults(plan.scenario, run.world, scenario.warm_up)
    struck_at = failover_times(scenario)
    elections = _watch_elections(run.world, struck_at)
    verdict = run.run()
    history = verdict.history
    return RunFigures(
        variant=plan.variant,
        seed=plan.seed,
        requests=len(history.requests),
        reads=measure_reads(history),
        failovers=measure_failovers(history, elections, struck_at),
        latency=measure_latency(history),
        outcomes=count_outcomes(history),
        connections=measure_connections(history, scenario.deployment.max_connections),
        refused_connections=history.refused_connections,
        statements_run=count_statements(history),
        violations=count_violations(verdict.violations),
    )


def summarize(variant: VariantName, runs: Sequence[RunFigures]) -> VariantFigures:
    """Puts the runs of one variant together."""
    answered = sum(run.reads.answered for run in runs)
    by_replica = sum(run.reads.by_replica for run in runs)
    allowed = sum(run.reads.allowed for run in runs)
    failovers = [failover for run in runs for failover in run.failovers]
    gaps = [failover.gap for failover in failovers if failover.gap is not None]
    return VariantFigures(
        variant=variant,
        meaning=VARIANTS[variant].meaning,
        replica_share=_ratio(by_replica, answered),
        freshness_bound=_ratio(allowed, answered),
        share_of_bound=_ratio(by_replica, allowed),
        gap_median=_median(gaps),
        gap_worst=max(gaps, default=None),
        election_median=_median([item.election for item in failovers]),
        excess_median=_median([item.excess for item in failovers]),
        ratio_median=_median([item.ratio for item in failovers]),
        failovers=len(failovers),
        failovers_without_write=sum(1 for item in failovers if item.gap is None),
        violations=sum(run.violation_total for run in runs),
        stale_reads=sum(_stale_reads(run) for run in runs),
        refused_connections=sum(run.refused_connections for run in runs),
        runs=tuple(runs),
    )


def _watch_elections(world: World, struck_at: list[float]) -> list[ElectionRecord]:
    """Watches the groups closely from the first strike on; returns the list that will fill."""
    seen = History()
    if struck_at:
        watch = GroupWatch(world.queue, world.groups, seen, ELECTION_WATCH_INTERVAL)
        world.queue.call_at(min(struck_at), watch.start)
    return seen.elections


def _run_all(runs: list[RunPlan], workers: int) -> list[RunFigures]:
    if workers <= 1:
        return [run_once(run) for run in runs]
    with ProcessPoolExecutor(max_workers=workers) as pool:
        return list(pool.map(run_once, runs))


def _describe_load(plan: BenchPlan) -> LoadDescription:
    scenario = build_scenario(plan.deployment, plan.scenario, plan.load)
    deployment = scenario.deployment
    return LoadDescription(
        arrivals_per_second=scenario.population.rate,
        seconds=plan.load.time,
        proxies=len(deployment.proxies()),
        groups=len(deployment.groups),
        databases=sum(len(deployment.databases(group)) for group in deployment.groups),
    )


def _ratio(part: int, whole: int) -> float:
    return part / whole if whole else 0.0


def _median(values: Sequence[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return median(known) if known else None


def _stale_reads(run: RunFigures) -> int:
    return sum(
        item.count for item in run.violations if item.promise is Promise.OWN_WRITES_READ_BACK
    )
