"""What a pooler loads before it listens: nothing that only other commands need."""

import os
import socket
import subprocess
import sys
import tempfile
import threading
import tomllib
import unittest
from pathlib import Path

from dewledge.platform.adapter import build_adapter
from dewledge.pooler_settings import check_pooler_settings
from dewledge.shell.pooler.pooler_process import PoolerProcess
from dewledge.shell.shared.sockets import listen_tcp, parse_address

SOURCES = Path(__file__).resolve().parents[2] / "src"
NOT_NEEDED = ("typer", "pydantic", "urllib3", "prometheus_client", "rich", "yaml")
"""Of the 0.30 s of processor time that a start's imports took, they were 0.19 s."""

PROGRAM = """
import sys
sys.argv = ["src", "pooler"]
import dewledge.shell.pooler.pooler_process as process
process.PoolerProcess.run = lambda self: None
import os
os._exit = lambda code: None
import runpy
runpy.run_path(sys.path[0] + "/__main__.py", run_name="__main__")
print(" ".join(sorted({name.partition(".")[0] for name in sys.modules})))
"""

SETTINGS = """\
name = "a"
zone = "z"
client_address = "127.0.0.1:0"
ready_address = "127.0.0.1:0"
peer_address = "127.0.0.1:0"
metrics_address = "127.0.0.1:0"
store_address = "127.0.0.1:9"
"""


OTHER_PROGRAM = ("dewledge.core.proxy", "dewledge.shell.proxy")
"""The pooler loads nothing of the proxy: neither its start nor its reader should know of it."""


class OtherProgramTest(unittest.TestCase):
    def test_the_pooler_loads_nothing_of_the_proxy(self) -> None:
        program = "import sys, dewledge.shell.pooler.pooler_process; print(*sys.modules)"
        done = subprocess.run(
            [sys.executable, "-c", f"import sys; sys.path.insert(0, {str(SOURCES)!r})\n{program}"],
            capture_output=True,
            text=True,
            timeout=30,
            check=True,
        )
        loaded = done.stdout.split()
        self.assertEqual([name for name in loaded if name.startswith(OTHER_PROGRAM)], [])


class StartTest(unittest.TestCase):
    def start(self, settings: str) -> subprocess.CompletedProcess[str]:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = directory / "pooler.toml"
        file.write_text(settings)
        return subprocess.run(
            [sys.executable, "-c", f"import sys; sys.path.insert(0, {str(SOURCES)!r})\n{PROGRAM}"],
            env={**os.environ, "DEWLEDGE_SETTINGS": str(file)},
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )

    def test_a_start_loads_nothing_that_only_other_commands_need(self) -> None:
        started = self.start(SETTINGS)
        loaded = started.stdout.splitlines()[-1].split() if started.stdout else []
        self.assertIn("msgspec", loaded, started.stderr)
        self.assertEqual([name for name in NOT_NEEDED if name in loaded], [])

    def test_findings_of_the_settings_are_printed_together(self) -> None:
        started = self.start('name = "a"\nzone = 3\n')
        self.assertEqual(started.returncode, 2, started.stderr)
        self.assertIn("pooler.toml zone", started.stderr)
        self.assertIn("pooler.toml client_address", started.stderr)

    def test_clients_can_connect_before_the_rest_is_loaded(self) -> None:
        listener, address = listen_tcp("127.0.0.1:0")
        self.addCleanup(listener.close)
        host, port = parse_address(address)
        client = socket.create_connection((host, port), 5.0)
        self.addCleanup(client.close)
        settings = check_pooler_settings(tomllib.loads(SETTINGS), "test")
        process = PoolerProcess(settings, build_adapter(settings), client_listener=listener)
        self.assertEqual(process.client_address, address)
        thread = threading.Thread(target=process.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 10.0)
        self.addCleanup(process.leave)
        client.sendall(b"STARTUP nowhere u\r\n")
        client.settimeout(10.0)
        self.assertTrue(client.recv(200), "the session was answered, if only with a refusal")


if __name__ == "__main__":
    unittest.main()
