"""A bench report as tables for people."""

from rich.console import Console
from rich.table import Table

from dewledge.bench.figures import BenchReport, RunFigures, VariantFigures
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

PERCENT = 100
NOTHING = "-"

MEASURE_COLUMNS = (
    "variant",
    "reads by replicas",
    "freshness allows",
    "of that",
    "gap ms",
    "worst ms",
    "election ms",
    "gap less it ms",
    "ratio",
    "failovers",
    "no write landed",
    "violations",
    "stale reads",
    "refused connections",
)


def print_report(report: BenchReport, console: Console) -> None:
    """Prints the measures of all variants, then details of each one's first run."""
    load = report.load
    console.print(f"ran on the {report.ran_on}")
    console.print(
        f"{load.arrivals_per_second:.0f} arrivals/s for {load.seconds:.0f} s, {load.proxies} "
        f"proxies, {load.groups} groups, {load.databases} databases, seeds "
        f"{', '.join(str(seed) for seed in report.seeds)}; gaps and ratio are medians"
    )
    console.print(_measure_table(report))
    console.print(_latency_table(report))
    console.print(_outcome_table(report))
    console.print(_connection_table(report))
    for variant in report.variants:
        console.print(f"{variant.variant}: {variant.meaning}")


def _measure_table(report: BenchReport) -> Table:
    title = f"{report.deployment}, {report.scenario}: the two measures"
    table = Table(*MEASURE_COLUMNS, title=title)
    table.columns[0].no_wrap = True
    for variant in report.variants:
        table.add_row(*_measure_cells(variant))
    return table


def _measure_cells(variant: VariantFigures) -> tuple[str, ...]:
    return (
        variant.variant,
        _percent(variant.replica_share),
        _percent(variant.freshness_bound),
        _percent(variant.share_of_bound),
        _milliseconds(variant.gap_median),
        _milliseconds(variant.gap_worst),
        _milliseconds(variant.election_median),
        _milliseconds(variant.excess_median),
        NOTHING if variant.ratio_median is None else f"{variant.ratio_median:.2f}",
        str(variant.failovers),
        str(variant.failovers_without_write),
        str(variant.violations),
        str(variant.stale_reads),
        str(variant.refused_connections),
    )


def _latency_table(report: BenchReport) -> Table:
    table = Table("variant", "class", "done", "p50 ms", "p99 ms", "p99.9 ms", title="Latency")
    for run in _first_runs(report):
        for latency in run.latency:
            table.add_row(
                run.variant,
                latency.name,
                str(latency.count),
                f"{latency.p50_ms:.1f}",
                f"{latency.p99_ms:.1f}",
                f"{latency.p999_ms:.1f}",
            )
    return table


def _outcome_table(report: BenchReport) -> Table:
    table = Table("variant", "outcome", "code", "requests", title="Outcomes and broken promises")
    for run in _first_runs(report):
        for item in run.outcomes:
            outcome = item.outcome or "no answer"
            table.add_row(run.variant, outcome, item.code or NOTHING, str(item.count))
        for broken in run.violations:
            table.add_row(run.variant, "violation", broken.promise, str(broken.count))
    return table


def _connection_table(report: BenchReport) -> Table:
    table = Table(
        "variant", "most on one database", "limit", "refused", "statements run", title="Connections"
    )
    for run in _first_runs(report):
        peak = max((item.peak for item in run.connections), default=0)
        limit = max((item.limit for item in run.connections), default=0)
        table.add_row(
            run.variant,
            str(peak),
            str(limit),
            str(run.refused_connections),
            str(run.statements_run),
        )
    return table


def _first_runs(report: BenchReport) -> list[RunFigures]:
    return [variant.runs[0] for variant in report.variants if variant.runs]


def _percent(value: float) -> str:
    return f"{PERCENT * value:.1f}%"


def _milliseconds(value: float | None) -> str:
    return NOTHING if value is None else f"{MILLISECONDS_PER_SECOND * value:.0f}"
