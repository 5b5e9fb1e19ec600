"""`dewledge demo`: the main job in one process over loopback, each step checked."""

import time
from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from dewledge.cli.output import EXIT_FAILED
from dewledge.standin.deployments import DeploymentName

DEFAULT_SEED = 1


class DemoChoice(StrEnum):
    """Which deployments are shown."""

    PERMITS = "permits"
    MENUS = "menus"
    BOTH = "both"

    def deployments(self) -> tuple[DeploymentName, ...]:
        """Returns the deployments that are chosen."""
        if self is DemoChoice.BOTH:
            return (DeploymentName.PERMITS, DeploymentName.MENUS)
        return (DeploymentName(self.value),)


def demo(
    deployment: Annotated[
        DemoChoice, typer.Option("--deployment", "-d", help="Whose work is shown.")
    ] = DemoChoice.BOTH,
    seed: Annotated[
        int, typer.Option("--seed", help="Decides which proxies and databases are chosen.")
    ] = DEFAULT_SEED,
    log_file: Annotated[
        Path | None,
        typer.Option(
            "--log-file", help="Where the proxies log; without it they do not.", dir_okay=False
        ),
    ] = None,
) -> None:
    """Show the main job at work in one process, and check each step.

    Three proxies, three database groups and a platform start in this process. Shown are writes,
    reads on replicas in a session that roams over the proxies, a write that is repeated, a service
    moved by a label change, a drain, a replaced primary, and a planned stop. What callers are told
    is compared with the databases' own history. Exits with 0 only if every check holds.
    """
    from rich.console import Console

    from dewledge.demo.run import run_demo

    _log_to(log_file)
    console = Console(highlight=False)
    began = time.monotonic()
    all_held = run_demo(deployment.deployments(), seed, console)
    console.print(f"Took {time.monotonic() - began:.0f} s.")
    if not all_held:
        raise typer.Exit(EXIT_FAILED)


def _log_to(file: Path | None) -> None:
    from loguru import logger

    from dewledge.shell.shared.log import configure_log

    if file is None:
        logger.remove()
        return
    configure_log("INFO", file.open("w", encoding="utf-8"))
