"""`dewledge proxy`: one proxy process, entry and gateway."""

import os
import signal
import sys
from pathlib import Path
from types import FrameType
from typing import Annotated

import typer

from dewledge.cli.output import EXIT_DONE, CommandFailed
from dewledge.errors import ErrorCode
from dewledge.settings import ProxySettings, load_settings

ConfigOption = Annotated[
    Path | None, typer.Option("--config", "-c", help="Settings file in TOML.", dir_okay=False)
]
SettingOption = Annotated[
    list[str] | None,
    typer.Option("--set", help="Any setting, as name=value, such as limits.max_body_bytes=65536."),
]


def proxy(
    config: ConfigOption = None,
    name: Annotated[str | None, typer.Option(help="Unique name of this proxy.")] = None,
    zone: Annotated[str | None, typer.Option(help="Zone of this machine.")] = None,
    region: Annotated[str | None, typer.Option(help="Region of this machine.")] = None,
    caller_address: Annotated[
        str | None, typer.Option(help="ip:port for callers and operators (HTTP).")
    ] = None,
    peer_address: Annotated[
        str | None, typer.Option(help="ip:port for links between proxies (TCP).")
    ] = None,
    gossip_address: Annotated[
        str | None, typer.Option(help="ip:port for membership (UDP).")
    ] = None,
    platform_address: Annotated[
        str | None, typer.Option(help="ip:port of the platform's service.")
    ] = None,
    seed: Annotated[
        list[str] | None, typer.Option(help="Gossip address of a proxy to join; may be repeated.")
    ] = None,
    log_level: Annotated[str | None, typer.Option(help="Least severe events to log.")] = None,
    setting: SettingOption = None,
) -> None:
    """Run one proxy until SIGTERM or SIGINT.

    Flags override the settings file. A signal begins a planned stop, which cuts no request; a
    second signal ends the process at once.
    """
    overrides: dict[str, object] = {
        "name": name,
        "zone": zone,
        "region": region,
        "caller_address": caller_address,
        "peer_address": peer_address,
        "gossip_address": gossip_address,
        "platform_address": platform_address,
        "seeds": tuple(seed) if seed else None,
        "log_level": log_level,
        **_named_settings(setting or []),
    }
    _serve(load_settings(config, overrides))


def _named_settings(texts: list[str]) -> dict[str, object]:
    named: dict[str, object] = {}
    for text in texts:
        setting, separator, value = text.partition("=")
        if not separator:
            raise typer.BadParameter(f"{text!r} is not name=value", param_hint="--set")
        named[setting] = value
    return named


def _serve(settings: ProxySettings) -> None:
    from dewledge.shell.proxy.proxy_server import ProxyServer
    from dewledge.shell.shared.log import configure_log

    configure_log(settings.log_level)
    try:
        server = ProxyServer(settings)
    except OSError as error:
        raise CommandFailed(f"cannot listen: {error}", ErrorCode.INVALID_SETTING) from error

    def on_signal(_number: int, _frame: FrameType | None) -> None:
        signal.signal(signal.SIGTERM, signal.SIG_DFL)
        signal.signal(signal.SIGINT, signal.SIG_DFL)
        server.leave()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    server.run()
    _end_process()


def _end_process() -> None:
    """Ends now: a thread that waits for a frozen database must not hold up the stop."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(EXIT_DONE)
