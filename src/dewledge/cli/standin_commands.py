"""`dewledge standin`: the small stand-ins for the platform and for database groups."""

import signal
import threading
from collections.abc import Callable
from pathlib import Path
from types import FrameType
from typing import Annotated, Protocol, TypeVar

import typer
import yaml
from loguru import logger

from dewledge.errors import InvalidInput
from dewledge.standin.deployment_resources import documents_of
from dewledge.standin.deployments import DEPLOYMENTS, DeploymentName
from dewledge.standin.fixed_addresses import (
    DEFAULT_BASE_PORT,
    DEFAULT_HOST,
    PLATFORM_ADDRESS,
    PLATFORM_ADMIN_ADDRESS,
    admin_address,
    database_addresses,
)
from dewledge.standin.group_server import GroupServer
from dewledge.standin.group_settings import (
    GroupSettings,
    check_settings,
    load_group_settings,
    load_toml,
)
from dewledge.standin.platform_server import PlatformServer
from dewledge.standin.platform_settings import PlatformSettings

EXIT_FAILED = 1
EXIT_INVALID = 2

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    help="Small stand-ins for the platform and the database groups.",
)

ConfigOption = Annotated[Path | None, typer.Option("--config", help="Settings file in TOML.")]
DeploymentOption = Annotated[
    DeploymentName | None, typer.Option("--deployment", help="Take the sizes of this deployment.")
]
HostOption = Annotated[str, typer.Option("--host", help="IP number to listen at.")]
BasePortOption = Annotated[
    int, typer.Option("--base-port", help="First port; each group of a deployment takes ten.")
]

Value = TypeVar("Value")


class _Server(Protocol):
    def start(self) -> None: ...

    def stop(self) -> None: ...


@app.command()
def platform(
    config: ConfigOption = None,
    address: Annotated[str | None, typer.Option(help="ip:port of the services.")] = None,
    admin: Annotated[str | None, typer.Option(help="ip:port at which faults are switched.")] = None,
    list_lag: Annotated[
        float | None, typer.Option(help="Seconds by which the machine list lags.")
    ] = None,
    table_rate: Annotated[float | None, typer.Option(help="Table calls a second.")] = None,
    object_rate: Annotated[float | None, typer.Option(help="Object calls a second.")] = None,
) -> None:
    """Run the platform: table service, object store and machine list, all in memory.

    Flags override the settings file. Runs until SIGINT or SIGTERM.
    """
    flags = {
        "address": address,
        "admin_address": admin,
        "list_lag": list_lag,
        "table_rate": table_rate,
        "object_rate": object_rate,
    }
    given = {name: value for name, value in flags.items() if value is not None}
    settings = _or_exit(lambda: _platform_settings(config, given))
    server = _or_exit(lambda: PlatformServer(settings))
    logger.info("event=platform_ready address={} admin={}", server.address, server.admin_address)
    _run_until_signal(server)


@app.command()
def group(
    config: ConfigOption = None,
    deployment: DeploymentOption = None,
    name: Annotated[str | None, typer.Option("--group", help="Group of the deployment.")] = None,
    host: HostOption = DEFAULT_HOST,
    base_port: BasePortOption = DEFAULT_BASE_PORT,
) -> None:
    """Run one database group of three databases, all in memory.

    Takes either --config, or --deployment with --group. Runs until SIGINT or SIGTERM.
    """
    settings = _group_settings(config, deployment, name, host, base_port)
    server = _or_exit(lambda: GroupServer(settings))
    for database, address in server.addresses.items():
        logger.info("event=database_ready database={} address={}", database, address)
    logger.info("event=group_ready group={} admin={}", settings.name, server.admin_address)
    _run_until_signal(server)


@app.command()
def resources(
    deployment: Annotated[DeploymentName, typer.Option("--deployment", help="Whose resources.")],
    host: HostOption = DEFAULT_HOST,
    base_port: BasePortOption = DEFAULT_BASE_PORT,
) -> None:
    """Print the resources of a deployment as YAML, for `dewledge apply`."""
    chosen = DEPLOYMENTS[deployment]
    documents = documents_of(chosen, database_addresses(chosen, host, base_port))
    typer.echo(yaml.safe_dump_all(documents, sort_keys=False), nl=False)


def _platform_settings(config: Path | None, flags: dict[str, str | float]) -> PlatformSettings:
    addresses = {"address": PLATFORM_ADDRESS, "admin_address": PLATFORM_ADMIN_ADDRESS}
    base = load_toml(config, PlatformSettings).model_dump() if config else addresses
    return check_settings({**base, **flags}, PlatformSettings, "flags")


def _group_settings(
    config: Path | None,
    deployment: DeploymentName | None,
    name: str | None,
    host: str,
    base_port: int,
) -> GroupSettings:
    if config is not None:
        return _or_exit(lambda: load_group_settings(config))
    if deployment is None or name is None:
        raise typer.BadParameter("give --config, or --deployment with --group")
    chosen = DEPLOYMENTS[deployment]
    if name not in chosen.groups:
        raise typer.BadParameter(f"{deployment} has the groups {', '.join(chosen.groups)}")
    addresses = database_addresses(chosen, host, base_port)
    return chosen.group_settings(name, addresses, admin_address(chosen, name, host, base_port))


def _or_exit(action: Callable[[], Value]) -> Value:
    """Returns what `action` returns, or prints what is wrong and exits."""
    try:
        return action()
    except InvalidInput as error:
        for finding in error.findings:
            typer.echo(str(finding), err=True)
        raise typer.Exit(EXIT_INVALID) from error
    except (OSError, ValueError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FAILED) from error


def _run_until_signal(server: _Server) -> None:
    stop_requested = threading.Event()

    def request_stop(_number: int, _frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    server.start()
    stop_requested.wait()
    server.stop()
    logger.info("event=stopped")
