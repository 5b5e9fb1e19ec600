"""`dewledge bench`: the two measures on the simulator, dewledge beside naive baselines."""

import os
import sys
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console

from dewledge.bench.plot import write_plot
from dewledge.bench.report import print_report
from dewledge.bench.run import BenchPlan, run_bench
from dewledge.bench.scenarios import ARRIVAL_RATE, LoadSettings, ScenarioName
from dewledge.bench.variants import BASELINES, VariantName
from dewledge.simulation.deployments import DeploymentName

TABLE_WIDTH = 190
MOST_WORKERS = 4
"""Simulations at once; more would take the machine from whoever else uses it."""


class BenchOutput(StrEnum):
    """The shape of the report."""

    TABLE = "table"
    JSON = "json"


class BaselineChoice(StrEnum):
    """Which baselines run beside dewledge."""

    ALL = "all"
    NONE = "none"
    FIRST_READS = VariantName.FIRST_READS.value
    PRIMARY_READS = VariantName.PRIMARY_READS.value
    UNCHECKED_REPLICAS = VariantName.UNCHECKED_REPLICAS.value
    OWN_POOLS = VariantName.OWN_POOLS.value
    UNBOUNDED_RETRY = VariantName.UNBOUNDED_RETRY.value


def bench(
    deployment: Annotated[DeploymentName, typer.Option(help="The sizes of the brief.")],
    scenario: Annotated[
        ScenarioName, typer.Option(help="What happens meanwhile.")
    ] = ScenarioName.STEADY,
    seed: Annotated[int, typer.Option(help="The first seed; all follows from it.")] = 1,
    seeds: Annotated[
        int, typer.Option(min=1, max=50, help="How many seeds, counted up from the first.")
    ] = 3,
    output: Annotated[BenchOutput, typer.Option(help="table or json.")] = BenchOutput.TABLE,
    baseline: Annotated[BaselineChoice, typer.Option(help="What to compare with.")] = (
        BaselineChoice.ALL
    ),
    plot: Annotated[
        Path | None, typer.Option(help="Also write a picture, .png or .svg (needs matplotlib).")
    ] = None,
    rate: Annotated[float, typer.Option(min=1, help="Arrivals per second.")] = ARRIVAL_RATE,
) -> None:
    """Measure replica share and failover gap on the simulator.

    Naive baselines run beside dewledge.

    Virtual proxies run the daemon's own decision core; network, databases and platform are
    simulated with the delays and limits of the deployment. One seed always gives one report.
    """
    plan = BenchPlan(
        deployment=deployment,
        scenario=scenario,
        seeds=tuple(range(seed, seed + seeds)),
        variants=(VariantName.DEWLEDGE, *_chosen_baselines(baseline)),
        load=LoadSettings(rate=rate),
        workers=min(MOST_WORKERS, os.cpu_count() or 1),
    )
    report = run_bench(plan)
    if plot is not None:
        write_plot(report, plot)
    if output is BenchOutput.JSON:
        print(msgspec.json.encode(report).decode())
        return
    print_report(report, Console(width=None if sys.stdout.isatty() else TABLE_WIDTH))


def _chosen_baselines(choice: BaselineChoice) -> tuple[VariantName, ...]:
    if choice is BaselineChoice.ALL:
        return BASELINES
    if choice is BaselineChoice.NONE:
        return ()
    return (VariantName(choice.value),)
