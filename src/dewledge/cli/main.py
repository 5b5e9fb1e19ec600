"""The `dewledge` command: its sub-commands are imported only when one of them is run."""

import importlib
import importlib.util
import sys
from collections.abc import Sequence
from typing import Annotated, Any

import msgspec
import typer
from typer.core import TyperGroup

from dewledge.cli.output import EXIT_DONE, EXIT_FAILED, EXIT_INTERRUPTED, print_error

PROGRAM = "dewledge"

SUMMARY = """A database proxy with session consistency.

Check a settings file, then run a proxy:

\b
    dewledge check proxy.toml
    dewledge proxy --config proxy.toml

Operators describe databases, callers and rules, and change them through any proxy.
"dewledge apply --help" and so on explain each command:

\b
    export DEWLEDGE_PROXY=127.0.0.1:7400 DEWLEDGE_TOKEN=...
    dewledge apply permits.yaml
    dewledge get databases
    dewledge drain database permits-accra-1

See all of it at work, in one process: dewledge demo
"""


class CommandSource(msgspec.Struct, frozen=True):
    """Where a sub-command is: a function, or a typer app with sub-commands of its own."""

    module: str
    attribute: str
    is_group: bool = False


COMMANDS: dict[str, CommandSource] = {
    "proxy": CommandSource("dewledge.cli.proxy_command", "proxy"),
    "pooler": CommandSource("dewledge.cli.pooler_command", "pooler"),
    "check": CommandSource("dewledge.cli.check", "check"),
    "apply": CommandSource("dewledge.cli.operator_commands", "apply"),
    "get": CommandSource("dewledge.cli.operator_commands", "get"),
    "label": CommandSource("dewledge.cli.operator_commands", "label"),
    "drain": CommandSource("dewledge.cli.operator_commands", "drain"),
    "delete": CommandSource("dewledge.cli.operator_commands", "delete"),
    "status": CommandSource("dewledge.cli.operator_commands", "status"),
    "query": CommandSource("dewledge.cli.query", "query"),
    "explain": CommandSource("dewledge.cli.explain_command", "explain"),
    "demo": CommandSource("dewledge.cli.demo_command", "demo"),
    "bench": CommandSource("dewledge.cli.bench_command", "bench"),
    "standin": CommandSource("dewledge.cli.standin_commands", "app", is_group=True),
}
"""Sub-commands, in the order of the help page; one whose module is not installed is left out."""


WITHDRAWN = {"scale": "scale runs were withdrawn; docs/CAPACITY.md keeps their figures"}
"""Sub-commands that are no more, and what is said to whoever asks for one."""


class LazyCommands(TyperGroup):
    """A group that imports a sub-command when it is asked for."""

    def list_commands(self, ctx: Any) -> list[str]:
        """Returns the names of the sub-commands that are installed."""
        return [name for name, source in COMMANDS.items() if _is_installed(source)]

    def get_command(self, ctx: Any, cmd_name: str) -> Any:
        """Imports one sub-command; None if there is none of that name.

        Raises BadParameter for one that was withdrawn.
        """
        if cmd_name in WITHDRAWN:
            raise typer.BadParameter(WITHDRAWN[cmd_name], ctx)
        source = COMMANDS.get(cmd_name)
        if source is None or not _is_installed(source):
            return None
        target = getattr(importlib.import_module(source.module), source.attribute)
        if source.is_group:
            command: Any = typer.main.get_command(target)
        else:
            single = typer.Typer(add_completion=False, rich_markup_mode=None)
            single.command(cmd_name)(target)
            command = typer.main.get_command(single)
        command.name = cmd_name
        return command


def _is_installed(source: CommandSource) -> bool:
    return importlib.util.find_spec(source.module) is not None


app = typer.Typer(
    cls=LazyCommands,
    help=SUMMARY,
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)


def _print_version(value: bool) -> None:
    if value:
        from importlib.metadata import version as package_version

        typer.echo(f"{PROGRAM} {package_version(PROGRAM)}")
        raise typer.Exit()


@app.callback()
def _options(
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=_print_version, is_eager=True, help="Print the version and exit."
        ),
    ] = False,
) -> None:
    pass


def run(arguments: Sequence[str]) -> int:
    """Runs one command line and returns its exit code: 0 done, 2 bad input, 1 anything else."""
    try:
        app(list(arguments), prog_name=PROGRAM)
    except SystemExit as exit_request:
        return exit_request.code if isinstance(exit_request.code, int) else EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except Exception as error:
        return print_error(error)
    return EXIT_DONE


def main() -> None:
    """Runs the command line of this process."""
    sys.exit(run(sys.argv[1:]))
