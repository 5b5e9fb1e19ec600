"""Signals that reach a process before it has loaded all its parts."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.platform.test_pooler_process import free_address
from tests.platform.wire_databases import wait_until

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
name = "node-1"
zone = "north"
client_address = "{client}"
ready_address = "{ready}"
peer_address = "{peer}"
metrics_address = "{metrics}"
store_address = "127.0.0.1:1"
promotions_fenced = true
[zones]
north = "n"
"""
ALIVE_SECONDS = 1.5


class EarlySignalsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "settings.toml"
        names = ("client", "ready", "peer", "metrics")
        self.addresses = {name: free_address() for name in names}
        self.settings.write_text(SETTINGS.format(**self.addresses))
        self.log = Path(folder.name) / "log"

    def start(self) -> subprocess.Popen[bytes]:
        with self.log.open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "src", "pooler"],
                cwd=ROOT,
                env={**os.environ, "DEWLEDGE_SETTINGS": str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def listens(self) -> bool:
        host, port = self.addresses["client"].rsplit(":", 1)
        with contextlib.suppress(OSError), socket.create_connection((host, int(port))):
            return True
        return False

    def test_reload_signal_during_the_start_does_not_end_the_process(self) -> None:
        """Guards against a process that listens already and is ended by its first SIGHUP."""
        process = self.start()
        self.assertTrue(wait_until(self.listens, 10.0))
        process.send_signal(signal.SIGHUP)
        time.sleep(ALIVE_SECONDS)
        self.assertIsNone(process.poll(), self.log.read_text())

    def test_settings_that_change_during_the_start_are_in_force(self) -> None:
        process = self.start()
        self.assertTrue(wait_until(self.listens, 10.0))
        text = self.settings.read_text().replace("127.0.0.1:1", "127.0.0.1:2")
        self.settings.write_text(text)
        self.assertTrue(wait_until(lambda: "store_address" in self.reloads(), 10.0))
        self.assertIsNone(process.poll())

    def reloads(self) -> str:
        lines = self.log.read_text().splitlines()
        return " ".join(line for line in lines if "event=settings_reloaded" in line)
