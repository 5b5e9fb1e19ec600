"""Starts the command from a source tree: `python3 src pooler ...`.

`pooler` alone, with its settings file named by the environment, is how platforms start it: that way
is free of what only other commands need.
"""

import os
import signal
import sys
from pathlib import Path


def _start() -> None:
    # A reload signal must not end a process that still imports its parts; run_pooler reads the
    # settings again once it handles the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dewledge.cli.pooler_start import SETTINGS_VARIABLE, run_pooler

    config = os.environ.get(SETTINGS_VARIABLE)
    if sys.argv[1:] != ["pooler"] or not config:
        from dewledge.cli.main import main

        main()
        return
    try:
        run_pooler(Path(config))
    except Exception as error:
        from dewledge.cli.output import print_error

        sys.exit(print_error(error))


if __name__ == "__main__":
    _start()
