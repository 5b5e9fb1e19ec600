"""Real pooler processes, stand-ins of databases and store, and clients that check their reads."""

import os
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from tests.platform.table_store import TableStore
from tests.platform.test_pooler_process import free_address
from tests.platform.wire_databases import WireClient, WireGroup, wait_until

ROOT = Path(__file__).parent.parent.parent
SECONDS = float(os.environ.get("DEWLEDGE_SOAK_SECONDS", "12"))
POOLERS = 3


class SoakClient(threading.Thread):
    """Writes and reads one thing through any pooler, session after session."""

    def __init__(self, number: int, addresses: list[str], database: str) -> None:
        super().__init__(daemon=True)
        self.thing = f"thing{number}"
        self.addresses = addresses
        self.database = database
        self.random = random.Random(number)
        self.acknowledged = 0
        self.done_writes: set[str] = set()
        """Writes that were answered as done, as the stand-in databases name them."""
        self.sent = 0
        self.done = 0
        self.faults: list[str] = []
        self.stopped = False

    def run(self) -> None:
        while not self.stopped:
            try:
                client = WireClient(self.random.choice(self.addresses), self.database, 3.0)
            except OSError:
                time.sleep(0.05)
                continue
            try:
                self._use(client)
            except (OSError, ValueError):
                pass
            finally:
                client.close()

    def _use(self, client: WireClient) -> None:
        if not client.greeting.startswith("READY"):
            time.sleep(0.1)
            return
        last_own = 0
        for _ in range(self.random.randrange(1, 20)):
            self.sent += 1
            written = client.ask(f"WRITE {self.thing} {self.sent}")
            if len(written) == 3:
                last_own = self.acknowledged = self.sent
                self.done += 1
                self.done_writes.add(f"{self.thing} {self.sent}")
            elif written[0].startswith("ERROR BUSY"):
                self.sent -= 1
            read = client.ask(f"READ {self.thing}")
            if len(read) == 3:
                self._check(read[0].removeprefix("DATAROW "), last_own)
            time.sleep(0.01)

    def _check(self, shown: str, last_own: int) -> None:
        number = int(shown) if shown.isdigit() else 0
        if not last_own <= number <= self.sent:
            self.faults.append(f"{self.thing}: shows {number}, own {last_own}, sent {self.sent}")


class SoakCase(unittest.TestCase):
    fences = True
    seed = 4711

    def setUp(self) -> None:
        self.random = random.Random(self.seed)
        self.store = TableStore()
        self.addCleanup(self.store.close)
        self.group = WireGroup("menus", self.store, promote_seconds=0.2, fences=self.fences)
        self.addCleanup(self.group.close)
        self.directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.put_configuration()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.addresses: list[str] = []
        for number in range(POOLERS):
            self._start(number)
        for address in self.addresses:
            accepts = wait_until(lambda a=address: _accepts(a), 10.0)  # type: ignore[misc]
            self.assertTrue(accepts, self._logs())

    def put_configuration(self) -> None:
        routes = [
            {
                "name": f"r-{kind}",
                "host": kind,
                "type": kind,
                "timeoutMs": 1500,
                "targetLatencyMs": 1000,
                "priority": 1,
                "service": "menus",
                "maxStalenessMs": 1000,
            }
            for kind in ("primary", "read_own_writes")
        ]
        services = [{"name": "menus", "maxConnections": 36}]
        self.store.put("op", "config", {"version": 1, "routes": routes, "services": services})

    def _start(self, number: int) -> None:
        file = self.directory / f"node-{number}.toml"
        if not file.exists():
            self.addresses.append(free_address())
            file.write_text(
                f'name = "node-{number}"\nzone = "middle"\n'
                f'client_address = "{self.addresses[-1]}"\nready_address = "{free_address()}"\n'
                f'peer_address = "{free_address()}"\nmetrics_address = "{free_address()}"\n'
                f'store_address = "{self.store.address}"\nduty_address = "{self.store.address}"\n'
                f"promotions_fenced = {str(self.fences).lower()}\n"
                "[timings]\nstop_bound = 1.0\n"
            )
        command = [sys.executable, "src", "pooler", "--config", str(file)]
        log = (self.directory / f"node-{number}.log").open("ab")
        self.addCleanup(log.close)
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        self.addCleanup(process.wait, 10.0)
        self.addCleanup(process.kill)
        if number < len(self.processes):
            self.processes[number] = process
        else:
            self.processes.append(process)

    def _logs(self) -> str:
        logs = sorted(self.directory.glob("*.log"))
        return "\n".join(f"{log.name}: {log.read_text()[-2000:]}" for log in logs)


def _accepts(address: str) -> bool:
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=0.5):
            return True
    except OSError:
        return False
