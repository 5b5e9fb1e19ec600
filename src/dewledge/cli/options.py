"""Options that several commands share."""

from typing import Annotated

import typer

from dewledge.cli.output import OutputFormat

ProxyOption = Annotated[
    list[str],
    typer.Option(
        "--proxy",
        envvar="DEWLEDGE_PROXY",
        help="Address of a proxy, ip:port. Several may be given; the first reachable one is asked.",
    ),
]

TokenOption = Annotated[
    str,
    typer.Option(
        "--token",
        envvar="DEWLEDGE_TOKEN",
        show_envvar=True,
        help="Token to authenticate with. Prefer the environment: flags show in process lists.",
    ),
]

OutputOption = Annotated[
    OutputFormat, typer.Option("--output", "-o", help="Table for people, JSON for programs.")
]

DEFAULT_PROXIES = ["127.0.0.1:7400"]
