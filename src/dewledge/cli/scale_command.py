"""`dewledge scale`: what control costs with many nodes, measured with hollow ones."""

import sys
from enum import StrEnum
from typing import Annotated

import msgspec
import typer
from rich.console import Console

from dewledge.scale.report import print_report
from dewledge.scale.run import run_scale
from dewledge.scale.scenarios import Scenario

TABLE_WIDTH = 180


class ScaleOutput(StrEnum):
    """The shape of the report."""

    TABLE = "table"
    JSON = "json"


def scale(
    nodes: Annotated[int, typer.Option(min=3, max=2000, help="How many hollow nodes.")] = 850,
    seed: Annotated[int, typer.Option(help="Everything simulated follows from it.")] = 1,
    scenario: Annotated[
        list[Scenario] | None,
        typer.Option(help="May be repeated; else all, `regions` with 300 nodes."),
    ] = None,
    output: Annotated[ScaleOutput, typer.Option(help="table or json.")] = ScaleOutput.TABLE,
) -> None:
    """Measure what control costs with many hollow nodes.

    Measured are control traffic, processor time, memory and spreading times.

    Hollow nodes run the very membership, configuration spread and isolation guard of a proxy, many
    in one process, on a simulated network of two regions and six zones. A few real members run on
    loopback beside them.
    """
    report = run_scale(
        nodes, seed, scenario or (), lambda text: print(f"... {text}", file=sys.stderr)
    )
    if output is ScaleOutput.JSON:
        print(msgspec.json.encode(report).decode())
        return
    console = Console(width=None if sys.stdout.isatty() else TABLE_WIDTH)
    print_report(report, console)
