"""Runs the demo of one deployment after the other."""

from collections.abc import Callable, Sequence
from contextlib import closing
from random import Random

from rich.console import Console

from dewledge.demo.narration import CheckFailed, Narrator
from dewledge.demo.scenes import SCENES, Scene
from dewledge.demo.stage import Stage
from dewledge.demo.steps_faults import compare_with_history, replace_primary, stop_proxy
from dewledge.demo.steps_operators import drain_database, move_service
from dewledge.demo.steps_sessions import roam, start_and_describe, write_once
from dewledge.embedded import ClusterPlan, EmbeddedCluster
from dewledge.errors import DewledgeError
from dewledge.standin.deployments import DeploymentName

Step = Callable[[Stage], None]

STEPS: tuple[Step, ...] = (
    start_and_describe,
    roam,
    write_once,
    move_service,
    drain_database,
    replace_primary,
    stop_proxy,
    compare_with_history,
)


def run_demo(
    deployments: Sequence[DeploymentName],
    seed: int,
    console: Console,
    steps: Sequence[Step] = STEPS,
) -> bool:
    """Shows the deployments; returns whether every check held."""
    narrator = Narrator(console, len(steps) * len(deployments))
    try:
        for name in deployments:
            _show(SCENES[name], seed, narrator, steps)
    except CheckFailed as error:
        console.print(f"\n[bold red]A check failed:[/bold red] {error.what} (seed {seed})")
        return False
    except DewledgeError as error:
        console.print(f"\n[bold red]{error.code}:[/bold red] {error.message} (seed {seed})")
        return False
    console.print(f"\n[bold green]All {narrator.checks} checks held[/bold green] (seed {seed}).")
    return True


def _show(scene: Scene, seed: int, narrator: Narrator, steps: Sequence[Step]) -> None:
    deployment = scene.deployment
    narrator.heading(f"{deployment.name.value}: {', '.join(deployment.sites)}")
    with EmbeddedCluster(ClusterPlan(deployment)) as cluster:
        stage = Stage(cluster, scene, narrator, Random(seed))
        with closing(stage.group):
            for step in steps:
                step(stage)
