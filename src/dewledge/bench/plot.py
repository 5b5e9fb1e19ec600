"""A bench report as one picture: failover gap and replica share, dewledge beside baselines."""

from pathlib import Path
from typing import Any

from dewledge.bench.figures import BenchReport
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode, Finding, InvalidInput

PERCENT = 100
FIGURE_SIZE = (12.0, 4.8)
"""Inches."""

DOTS_PER_INCH = 110
ELECTION_COLOUR = "#9aa5b1"
EXCESS_COLOUR = "#c8553d"
SHARE_COLOUR = "#2f6f8f"
BOUND_COLOUR = "#222222"
WARNING_COLOUR = "#b00020"
BAR_HEIGHT = 0.6
LABEL_PAD = 8


def write_plot(report: BenchReport, path: Path) -> None:
    """Writes the picture; its format follows from the file's suffix.

    Raises InvalidInput if matplotlib is not installed or does not know the suffix, OSError if the
    file cannot be written.
    """
    try:
        from matplotlib.backends.backend_agg import FigureCanvasAgg
        from matplotlib.figure import Figure
    except ImportError as error:
        raise _refused("matplotlib is not installed: pip install 'dewledge[plots]'") from error
    figure = Figure(figsize=FIGURE_SIZE, dpi=DOTS_PER_INCH, layout="constrained")
    FigureCanvasAgg(figure)
    gaps, shares = figure.subplots(1, 2)
    _draw_gaps(gaps, report)
    _draw_shares(shares, report)
    load = report.load
    figure.suptitle(
        f"{report.deployment}, {report.scenario}: {load.arrivals_per_second:.0f} arrivals/s, "
        f"{load.proxies} proxies, {len(report.seeds)} seeds (simulator)"
    )
    try:
        figure.savefig(path)
    except ValueError as error:
        raise _refused(str(error)) from error


def _refused(message: str) -> InvalidInput:
    return InvalidInput([Finding("--plot", ErrorCode.INVALID_SETTING, message)])


def _draw_gaps(axes: Any, report: BenchReport) -> None:
    names = [variant.variant.value for variant in report.variants]
    elections = [
        MILLISECONDS_PER_SECOND * (item.election_median or 0.0) for item in report.variants
    ]
    excesses = [MILLISECONDS_PER_SECOND * (item.excess_median or 0.0) for item in report.variants]
    axes.barh(names, elections, BAR_HEIGHT, color=ELECTION_COLOUR, label="the group's election")
    axes.barh(names, excesses, BAR_HEIGHT, elections, color=EXCESS_COLOUR, label="gap less it")
    for row, variant in enumerate(report.variants):
        end = elections[row] + excesses[row]
        text = "no failover" if variant.ratio_median is None else f"+{excesses[row]:.0f} ms"
        axes.annotate(
            text, (end, row), xytext=(LABEL_PAD, 0), textcoords="offset points", va="center"
        )
    axes.invert_yaxis()
    axes.set_xlim(0, 1.25 * max([1.0, *map(sum, zip(elections, excesses, strict=True))]))
    axes.set_xlabel("ms from the loss of the primary (medians)")
    axes.set_title("Gap in which no write lands", pad=28)
    axes.legend(loc="lower center", bbox_to_anchor=(0.5, 1.0), ncols=2, frameon=False)


def _draw_shares(axes: Any, report: BenchReport) -> None:
    names = [variant.variant.value for variant in report.variants]
    shares = [PERCENT * variant.replica_share for variant in report.variants]
    bounds = [PERCENT * variant.freshness_bound for variant in report.variants]
    axes.barh(names, shares, BAR_HEIGHT, color=SHARE_COLOUR, label="reads served by replicas")
    axes.scatter(
        bounds, names, marker="|", s=500, color=BOUND_COLOUR, label="freshness allows", zorder=3
    )
    for row, variant in enumerate(report.variants):
        _annotate_share(axes, row, shares[row], variant.violations, variant.refused_connections)
    axes.invert_yaxis()
    axes.set_xlim(0, 150)
    axes.set_xticks(range(0, 101, 20))
    axes.set_xlabel("% of reads outside transactions")
    axes.set_title("Replica share", pad=28)
    axes.legend(loc="lower center", bbox_to_anchor=(0.5, 1.0), ncols=2, frameon=False)


def _annotate_share(axes: Any, row: int, share: float, violations: int, refused: int) -> None:
    notes = [f"{share:.1f}%"]
    if violations:
        notes.append(f"{violations} violations")
    if refused:
        notes.append(f"{refused} refused\nconnections")
    colour = WARNING_COLOUR if len(notes) > 1 else BOUND_COLOUR
    axes.annotate(
        ", ".join(notes),
        (102, row),
        va="center",
        color=colour,
        fontsize="small",
        annotation_clip=False,
    )
