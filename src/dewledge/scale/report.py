"""A scale report as tables for people."""

from rich.console import Console
from rich.table import Table

from dewledge.scale.run import ScaleReport
from dewledge.scale.scenarios import ScenarioResult

MICROSECOND = 1e-6
KIBIBYTE = 1024
SCENARIO_COLUMNS = (
    "scenario",
    "nodes",
    "events",
    "sim s",
    "sent B/s",
    "received B/s",
    "busiest node B/s",
    "datagrams/s",
    "core %",
    "x baseline/s",
    "99% know s",
    "all know s",
    "refuted",
    "note",
)


def print_report(report: ScaleReport, console: Console) -> None:
    """Prints the tables: scenarios, then single steps, memory and real members."""
    console.print(_scenario_table(report))
    console.print(_step_table(report))
    console.print(
        f"baseline: one small cbor2 round trip, {report.baseline / MICROSECOND:.1f} us; "
        f"the run took {report.wall_seconds:.0f} s"
    )


def _scenario_table(report: ScaleReport) -> Table:
    title = f"Hollow nodes, seed {report.seed}; for each node and second"
    table = Table(*SCENARIO_COLUMNS, title=title)
    for result in report.scenarios:
        table.add_row(*_scenario_cells(result, report.baseline))
    return table


def _scenario_cells(result: ScenarioResult, baseline: float) -> tuple[str, ...]:
    rates = result.rates
    return (
        str(result.scenario),
        str(result.nodes),
        str(result.events),
        f"{result.duration:.0f}",
        f"{rates.bytes_sent:.0f}",
        f"{rates.bytes_received:.0f}",
        f"{rates.bytes_most:.0f}",
        f"{rates.datagrams:.1f}",
        f"{100 * rates.processor_share:.3f}",
        f"{rates.processor_share / baseline:.0f}",
        _seconds(result.until_most),
        _seconds(result.until_all),
        str(result.refutations),
        result.note,
    )


def _step_table(report: ScaleReport) -> Table:
    table = Table("step", "cost", title="Single steps, memory, real members")
    costs = report.unit_costs
    rows = {
        "one datagram, both system calls": f"{costs.datagram_system_call / MICROSECOND:.1f} us",
        "placement, all databases": f"{costs.placement_full * 1000:.1f} ms",
        "placement, after one member": f"{costs.placement_update * 1000:.1f} ms",
        "one change of configuration": f"{costs.configuration_change * 1000:.2f} ms",
        "snapshot: encode": f"{costs.snapshot_encode * 1000:.1f} ms",
        "snapshot: decode": f"{costs.snapshot_decode * 1000:.1f} ms",
        "snapshot: size": f"{costs.snapshot_bytes / KIBIBYTE:.0f} KiB",
    }
    rows["group view: bytes"] = f"{costs.group_view_bytes} B"
    rows["group view: codec, both ends"] = f"{costs.group_view_codec / MICROSECOND:.0f} us"
    for size, memory in report.memory.items():
        rows[f"membership of {size}"] = f"{memory.membership / KIBIBYTE:.0f} KiB"
        rows[f"configuration, {size} members"] = f"{memory.configuration / KIBIBYTE:.0f} KiB"
        rows[f"placement over {size} members"] = f"{memory.placement / KIBIBYTE:.0f} KiB"
    real = report.real_nodes
    rows[f"{real.members} real members: joined"] = "all" if real.all_joined else "not all"
    rows["real member: datagrams sent"] = f"{real.datagrams:.1f} a second"
    rows["real member: processor"] = f"{100 * real.processor_share:.3f}% of a core"
    for name, value in rows.items():
        table.add_row(name, value)
    return table


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.1f}"
