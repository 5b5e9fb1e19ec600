"""`dewledge pooler`: one pooler process on a prepared platform."""

import os
import signal
import sys
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
    """Run one pooler until SIGTERM: sessions over shared database connections."""
    from dewledge.platform.adapter import build_adapter
    from dewledge.pooler_settings import load_pooler_settings
    from dewledge.shell.log import configure_log
    from dewledge.shell.pooling.pooler_process import PoolerProcess

    settings = load_pooler_settings(config)
    configure_log(settings.log_level, sys.stdout)
    try:
        process = PoolerProcess(settings, build_adapter(settings))
    except OSError as error:
        raise CommandFailed(f"cannot listen: {error}", ErrorCode.INVALID_SETTING) from error

    def on_stop(_number: int, _frame: FrameType | None) -> None:
        process.leave()

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    process.run()
    sys.stdout.flush()
    os._exit(EXIT_DONE)
