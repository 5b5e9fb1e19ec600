"""`dewledge pooler`: one pooler process on a prepared platform."""

import os
import signal
from pathlib import Path
from types import FrameType
from typing import Annotated

import typer

from dewledge.cli.output import EXIT_DONE, CommandFailed
from dewledge.errors import ErrorCode


def pooler(
    config: Annotated[
        Path,
        typer.Option("--config", "-c", envvar="DEWLEDGE_SETTINGS", help="Settings file in TOML."),
    ],
) -> None:
    """Run one pooler until SIGTERM or SIGINT.

    It gives many sessions few shared database connections."""
    from dewledge.platform.adapter import build_adapter
    from dewledge.pooler_settings import load_pooler_settings
    from dewledge.shell.pooling.event_log import send_log_to
    from dewledge.shell.pooling.pooler_process import PoolerProcess

    settings = load_pooler_settings(config)
    log = send_log_to(settings.log_level)
    try:
        process = PoolerProcess(settings, build_adapter(settings), config)
    except OSError as error:
        raise CommandFailed(f"cannot listen: {error}", ErrorCode.INVALID_SETTING) from error

    def on_stop(_number: int, _frame: FrameType | None) -> None:
        process.leave()

    def on_reload(_number: int, _frame: FrameType | None) -> None:
        process.reload()

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    process.run()
    log.stop()
    os._exit(EXIT_DONE)
