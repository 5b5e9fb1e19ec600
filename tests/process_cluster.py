"""Real processes for tests: a platform, database groups and proxies, ended by process id."""

import hashlib
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Callable
from pathlib import Path

from dewledge.cli.http_client import ProxyClient
from dewledge.core.proxy.calls import Outcome
from dewledge.standin.deployment_resources import documents_of
from dewledge.standin.deployments import PERMITS, Deployment
from dewledge.standin.group_client import GroupClient
from dewledge.standin.platform_client import PlatformFaultClient

OPERATOR_TOKEN = "test-operator"
SESSION_KEY = "a session key for tests, long enough"
PATIENCE_SECONDS = 20.0
POLL_SECONDS = 0.02
UNUSED_ADDRESS = "127.0.0.1:9"


def await_state(what: str | Callable[[], str], is_reached: Callable[[], bool]) -> None:
    """Polls until a state is reached; fails the test after a generous bound.

    what: the state, or how to describe it and what stands in its way once the wait has failed.
    """
    give_up_at = time.monotonic() + PATIENCE_SECONDS
    while not is_reached():
        if time.monotonic() > give_up_at:
            description = what if isinstance(what, str) else what()
            raise AssertionError(f"not within {PATIENCE_SECONDS:g} s: {description}")
        time.sleep(POLL_SECONDS)


class Process:
    """One `dewledge` process; what it logs goes to a file."""

    def __init__(self, directory: Path, name: str, *arguments: str) -> None:
        self.name = name
        self._log = directory / f"{name}.log"
        with self._log.open("wb") as stream:
            self._process = subprocess.Popen(
                [sys.executable, "-c", "from dewledge.cli.main import main; main()", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
                env={**os.environ, "LOGURU_COLORIZE": "NO"},
            )

    @property
    def log(self) -> str:
        """Everything logged so far."""
        return self._log.read_text(errors="replace")

    def await_log(self, pattern: str) -> re.Match[str]:
        """Waits for a line that matches; fails at once when the process has ended without it."""
        found: list[re.Match[str]] = []

        def is_logged() -> bool:
            exit_code = self._process.poll()
            found.extend(re.finditer(pattern, self.log))
            if not found and exit_code is not None:
                raise AssertionError(f"{self.name} ended with {exit_code}; it logged {self.log}")
            return bool(found)

        await_state(lambda: f"{self.name} logs {pattern}; it logged {self.log}", is_logged)
        return found[0]

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to this process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Waits for its end and returns the exit code."""
        return self._process.wait(PATIENCE_SECONDS)

    def end(self) -> None:
        """Kills it if it still runs."""
        if self._process.poll() is None:
            self._process.kill()
            self._process.wait(PATIENCE_SECONDS)


class ProxyProcess(Process):
    """A `dewledge proxy`, at ports that the system picks."""

    def __init__(self, directory: Path, name: str, zone: str, platform: str, *seeds: str) -> None:
        settings = directory / f"{name}.toml"
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        settings.write_text(
            f'name = "{name}"\nzone = "{zone}"\nplatform_address = "{platform}"\n'
            'caller_address = "127.0.0.1:0"\npeer_address = "127.0.0.1:0"\n'
            f'gossip_address = "127.0.0.1:0"\nseeds = {list(seeds)!r}\n'
            f'session_keys = ["{SESSION_KEY}"]\n'
            f'bootstrap_operator_token_sha256 = "{digest}"\n'
        )
        super().__init__(directory, name, "proxy", "--config", str(settings))
        started = self.await_log(r"event=proxy_started .*callers=(\S+) peers=\S+ gossip=(\S+)")
        self.caller_address, self.gossip_address = started.groups()

    def client(self, token: str = OPERATOR_TOKEN) -> ProxyClient:
        """Returns a client of this proxy alone."""
        return ProxyClient([self.caller_address], token)

    def is_ready(self) -> bool:
        """Tells whether it takes new work."""
        return self.client().get("/readyz").status == 200


class ProcessCluster:
    """A platform, one group of the permits deployment and proxies, each its own process."""

    deployment: Deployment = PERMITS
    group = PERMITS.groups[0]
    group_options = "open_time = 0.01\n"

    def __init__(self, proxies: int = 3) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="dewledge-test-")
        self._path = Path(self._directory.name)
        self._processes: list[Process] = []
        self._names = 0
        self.proxies: dict[str, ProxyProcess] = {}
        try:
            self._start_standins()
            for _ in range(proxies):
                self.add_proxy()
            self._apply_resources()
        except BaseException:
            self.close()
            raise

    @property
    def processes(self) -> list[Process]:
        """Every process of it, also those that have ended."""
        return list(self._processes)

    def close(self) -> None:
        """Ends every process."""
        for process in self._processes:
            process.end()
        self._directory.cleanup()

    def add_proxy(self) -> ProxyProcess:
        """Starts one more proxy."""
        zones = [f"{site}-a" for site in self.deployment.sites]
        zone = zones[self._names % len(zones)]
        self._names += 1
        seeds = [proxy.gossip_address for proxy in self.proxies.values()]
        name = f"proxy-{self._names}"
        proxy = ProxyProcess(self._path, name, zone, self.platform_address, *seeds)
        self._processes.append(proxy)
        self.proxies[name] = proxy
        return proxy

    def platform_faults(self) -> PlatformFaultClient:
        """Returns a client that switches the platform's faults."""
        return PlatformFaultClient(self._platform_admin)

    def group_faults(self) -> GroupClient:
        """Returns a client that switches the group's faults."""
        return GroupClient(self._group_admin)

    def gateway_of(self, database: str) -> ProxyProcess:
        """Returns the proxy that says it is the active gateway of a database."""
        for proxy in self.proxies.values():
            reports = proxy.client().get("/v1/status").body["databases"]
            if any(it["database"] == database and it["role"] == "active" for it in reports):
                return proxy
        raise AssertionError(f"nobody is gateway of {database}")

    def primary(self) -> str:
        """Returns the name of the database that is primary at the start."""
        return next(iter(self.deployment.databases_of(self.group)))

    def _start_standins(self) -> None:
        arguments = ("--address", "127.0.0.1:0", "--admin", "127.0.0.1:0")
        platform = Process(self._path, "platform", "standin", "platform", *arguments)
        self._processes.append(platform)
        settings = self.deployment.group_settings(self.group)
        file = self._path / "group.toml"
        databases = [
            f'[[databases]]\nname = "{it.name}"\nzone = "{it.zone}"\nregion = "{it.region}"\n'
            for it in settings.databases
        ]
        file.write_text(f'name = "{self.group}"\n{self.group_options}' + "".join(databases))
        group = Process(self._path, "group", "standin", "group", "--config", str(file))
        self._processes.append(group)
        ready = platform.await_log(r"platform_ready address=(\S+) admin=(\S+)")
        self.platform_address, self._platform_admin = ready.groups()
        self._group_admin = group.await_log(r"group_ready group=\S+ admin=(\S+)").group(1)
        self._database_addresses = dict(
            re.findall(r"database_ready database=(\S+) address=(\S+)", group.log)
        )

    def _apply_resources(self) -> None:
        addresses = dict.fromkeys(self.deployment.databases(), UNUSED_ADDRESS)
        documents = documents_of(self.deployment, addresses | self._database_addresses)
        kept = [it for it in documents if self._is_used(it)]
        body = {"change_id": uuid.uuid4().hex, "put": kept}
        client = next(iter(self.proxies.values())).client()
        await_state(
            "resources are accepted",
            lambda: client.post("/v1/changes", body).outcome is Outcome.DONE,
        )
        await_state(
            "all proxies know each other and are ready",
            lambda: all(self._knows_all(proxy) for proxy in self.proxies.values()),
        )

    def _is_used(self, document: dict[str, object]) -> bool:
        spec = document["spec"]
        assert isinstance(spec, dict)
        return spec.get("group", self.group) == self.group

    def _knows_all(self, proxy: ProxyProcess) -> bool:
        members = proxy.client().get("/v1/status").body["members"]
        return proxy.is_ready() and len(members) == len(self.proxies)
