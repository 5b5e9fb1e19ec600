"""`dewledge pooler`: one pooler process on a prepared platform."""

from pathlib import Path
from typing import Annotated

import typer

from dewledge.cli.pooler_start import SETTINGS_VARIABLE, run_pooler


def pooler(
    config: Annotated[
        Path,
        typer.Option("--config", "-c", envvar=SETTINGS_VARIABLE, help="Settings file in TOML."),
    ],
) -> None:
    """Run one pooler until SIGTERM or SIGINT.

    It gives many sessions few shared database connections."""
    run_pooler(config)
