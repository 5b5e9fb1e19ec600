"""Runs one pooler process from its settings file, without the library of the command line.

A process that starts serves nobody until its imports are done, and those of the command line cost
as much as the product's own. Clients need not be refused meanwhile: their address listens as soon
as the settings are read, and who connects waits until the rest is loaded.
"""

import gc
import os
import signal
import socket
from pathlib import Path
from types import FrameType
from typing import TYPE_CHECKING

from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.pooler_settings import PoolerSettings, load_pooler_settings
from dewledge.shell.shared.sockets import listen_tcp

if TYPE_CHECKING:
    from dewledge.shell.pooler.observing.log_writer import LogWriter
    from dewledge.shell.pooler.pooler_process import PoolerProcess

EXIT_DONE = 0
SETTINGS_VARIABLE = "DEWLEDGE_SETTINGS"
"""Names the settings file when no flag does."""


def _load(
    settings: PoolerSettings, config: Path, listener: socket.socket
) -> tuple["LogWriter", "PoolerProcess"]:
    """Imports what is left, while clients can connect. Raises OSError if an address is taken.

    The garbage collector rests meanwhile: imports leave it nothing to collect, and its passes took
    11 ms of the 168 ms of processor time that they need (least of 16 starts).
    """
    gc.disable()
    try:
        from dewledge.platform.adapter import build_adapter
        from dewledge.shell.pooler.observing.event_log import send_log_to
        from dewledge.shell.pooler.pooler_process import PoolerProcess
    finally:
        gc.enable()
    log = send_log_to(settings.log_level)
    return log, PoolerProcess(settings, build_adapter(settings), config, listener)


def run_pooler(config: Path) -> None:
    """Serves until SIGTERM or SIGINT, then ends the process.

    Raises InvalidInput if the settings have findings or an address cannot be bound.
    """
    settings = load_pooler_settings(config)
    try:
        listener, _ = listen_tcp(settings.client_address)
        log, process = _load(settings, config, listener)
    except OSError as error:
        finding = Finding(config.name, ErrorCode.INVALID_SETTING, f"cannot listen: {error}")
        raise InvalidInput([finding]) from error

    def on_stop(_number: int, _frame: FrameType | None) -> None:
        process.leave()

    def on_reload(_number: int, _frame: FrameType | None) -> None:
        process.reload()

    signal.signal(signal.SIGTERM, on_stop)
    signal.signal(signal.SIGINT, on_stop)
    signal.signal(signal.SIGHUP, on_reload)
    # The file may have changed since it was read, with or without a signal.
    process.reload()
    process.run()
    log.stop()
    os._exit(EXIT_DONE)
