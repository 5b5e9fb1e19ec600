"""A whole cluster in one process: platform, database groups and proxies on loopback.

For the demo, tests and experiments. Every part is the one that runs as a process of its own;
only the processes are missing, so faults of whole machines are left to `kill_proxy`.
"""

import hashlib
import time
import uuid
from collections.abc import Callable, Mapping, Sequence
from contextlib import ExitStack
from typing import Any

import msgspec

from dewledge.adapters.http_database import HttpDatabaseDriver
from dewledge.adapters.http_platform import HttpMachineList, PlatformClient
from dewledge.cli.http_client import HttpAnswer, ProxyClient
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.ports import MachineState
from dewledge.errors import DewledgeError, ErrorCode
from dewledge.settings import ProxySettings, TimingSettings
from dewledge.shell.proxy.proxy_server import ProxyServer
from dewledge.standin.deployment_resources import documents_of
from dewledge.standin.deployments import Deployment
from dewledge.standin.group_client import GroupClient
from dewledge.standin.group_server import GroupServer
from dewledge.standin.group_settings import LOOPBACK
from dewledge.standin.link_delays import Locality
from dewledge.standin.platform_client import PlatformFaultClient
from dewledge.standin.platform_server import PlatformServer
from dewledge.standin.platform_settings import PlatformSettings

OPERATOR_TOKEN = "embedded-operator"
SESSION_KEY = "embedded clusters share this key only with themselves"
POLL_SECONDS = 0.02
START_SECONDS = 20.0
STOP_SECONDS = 10.0
MACHINE_CALL_SECONDS = 2.0


class ClusterPlan(msgspec.Struct, frozen=True):
    """What a cluster consists of.

    proxy_places: where each proxy runs; empty: one at each site of the deployment.
    groups: those of the deployment to start; empty: all of them.
    timings: settings that all proxies share.
    """

    deployment: Deployment
    proxy_places: tuple[Locality, ...] = ()
    groups: tuple[str, ...] = ()
    timings: TimingSettings = TimingSettings()
    platform: PlatformSettings = PlatformSettings()

    def places(self) -> tuple[Locality, ...]:
        """Returns where the proxies run."""
        if self.proxy_places:
            return self.proxy_places
        return tuple(Locality(f"{site}-a", site) for site in self.deployment.sites)

    def group_names(self) -> tuple[str, ...]:
        """Returns the groups to start."""
        return self.groups or self.deployment.groups


class EmbeddedCluster:
    """A running cluster; also a context manager.

    proxies, groups: the running parts by name; the name of a proxy is "proxy-1" and so on.
    Clients that it hands out are closed when it stops.
    """

    def __init__(self, plan: ClusterPlan) -> None:
        self.plan = plan
        self.platform = PlatformServer(plan.platform)
        self.groups: dict[str, GroupServer] = {
            name: GroupServer(plan.deployment.group_settings(name)) for name in plan.group_names()
        }
        self.proxies: dict[str, ProxyServer] = {}
        self._started = 0
        self._drivers: dict[str, HttpDatabaseDriver] = {}
        self._clients = ExitStack()
        platform_client = PlatformClient(self.platform.address)
        self._clients.callback(platform_client.close)
        self._machines = HttpMachineList(platform_client)

    def __enter__(self) -> "EmbeddedCluster":
        self.start()
        return self

    def __exit__(self, *_exception: object) -> None:
        self.stop()

    def start(self) -> None:
        """Starts everything, applies the deployment's resources, waits until proxies are ready.

        Raises DewledgeError if that takes too long.
        """
        self.platform.start()
        for group in self.groups.values():
            group.start()
        for place in self.plan.places():
            self.add_proxy(place)
        self.await_state("an operator may change resources", self._is_serving)
        self.await_state("the deployment's resources are accepted", self._has_resources)
        self.await_state("all proxies are ready", self.is_ready)

    def stop(self) -> None:
        """Ends everything at once."""
        self._clients.close()
        for name in list(self.proxies):
            self.kill_proxy(name)
        for group in self.groups.values():
            group.stop()
        self.platform.stop()

    def add_proxy(self, place: Locality, name: str | None = None) -> ProxyServer:
        """Starts one more proxy, seeded from those that run."""
        self._started += 1
        chosen = name or f"proxy-{self._started}"
        driver = HttpDatabaseDriver(place.zone, place.region)
        server = ProxyServer(self._proxy_settings(chosen, place), driver)
        server.start()
        self.proxies[chosen] = server
        self._drivers[chosen] = driver
        self._machines.register(
            MachineState(
                name=chosen,
                peer_address=server.peer_address,
                zone=place.zone,
                gossip_address=server.gossip_address,
            ),
            MACHINE_CALL_SECONDS,
        )
        return server

    def leave_proxy(self, name: str) -> None:
        """Stops a proxy as planned, and waits for its end."""
        server = self.proxies.pop(name)
        server.leave()
        server.join(server.settings.timings.leave_bound + STOP_SECONDS)
        self._drivers.pop(name).close()

    def kill_proxy(self, name: str) -> None:
        """Ends a proxy without a word to anybody."""
        server = self.proxies.pop(name)
        server.stop()
        server.join(STOP_SECONDS)
        self._drivers.pop(name).close()

    def caller_addresses(self) -> list[str]:
        """Returns where callers may ask, proxy by proxy."""
        return [server.caller_address for server in self.proxies.values()]

    def operator(self) -> ProxyClient:
        """Returns a client that may read and change resources."""
        client = ProxyClient(self.caller_addresses(), OPERATOR_TOKEN)
        return self._clients.enter_context(client)

    def group_faults(self, group: str) -> GroupClient:
        """Returns a client that switches faults of a group and reads its history."""
        client = GroupClient(self.groups[group].admin_address)
        self._clients.callback(client.close)
        return client

    def platform_faults(self) -> PlatformFaultClient:
        """Returns a client that switches faults of the platform."""
        client = PlatformFaultClient(self.platform.admin_address)
        self._clients.callback(client.close)
        return client

    def apply(self, documents: Sequence[Mapping[str, Any]]) -> int:
        """Has resources accepted and returns the revision. Raises DewledgeError."""
        return self.change({"put": list(documents)})

    def change(self, change: Mapping[str, Any]) -> int:
        """Has a change accepted, given without its id, and returns the revision."""
        body = {"change_id": uuid.uuid4().hex, **change}
        with ProxyClient(self.caller_addresses(), OPERATOR_TOKEN) as client:
            answer = client.post("/v1/changes", body)
        if answer.outcome is not Outcome.DONE:
            raise DewledgeError(f"not accepted: {answer.body}", answer.code)
        return int(answer.body["revision"])

    def is_ready(self) -> bool:
        """Tells whether all proxies take work and know each other."""
        return all(self._knows_all(address) for address in self.caller_addresses())

    def await_state(
        self, what: str, is_reached: Callable[[], bool], within: float = START_SECONDS
    ) -> None:
        """Waits until `is_reached`. Raises DewledgeError after `within` seconds."""
        give_up_at = time.monotonic() + within
        while not is_reached():
            if time.monotonic() >= give_up_at:
                raise DewledgeError(f"not within {within:g} s: {what}", ErrorCode.NOT_READY)
            time.sleep(POLL_SECONDS)

    def _has_resources(self) -> bool:
        """Applies the deployment; a proxy that has not met a majority yet says so."""
        try:
            self.apply(documents_of(self.plan.deployment, self._database_addresses()))
        except DewledgeError as error:
            if error.code is ErrorCode.NO_MAJORITY:
                return False
            raise
        return True

    def _is_serving(self) -> bool:
        status = self._status(self.caller_addresses()[0])
        members = status.body.get("members", [])
        return bool(status.body.get("serving")) and len(members) == len(self.proxies)

    def _knows_all(self, address: str) -> bool:
        status = self._status(address)
        members = status.body.get("members", [])
        is_serving = bool(status.body.get("serving")) and status.body.get("revision", 0) > 0
        return is_serving and len(members) == len(self.proxies)

    @staticmethod
    def _status(address: str) -> HttpAnswer:
        with ProxyClient([address], OPERATOR_TOKEN) as client:
            return client.get("/v1/status")

    def _database_addresses(self) -> dict[str, str]:
        # A database that is not started gets an address of its own at which nobody listens.
        names = self.plan.deployment.databases()
        addresses = {name: f"127.0.0.1:{port}" for port, name in enumerate(names, start=1)}
        for group in self.groups.values():
            addresses.update(group.addresses)
        return addresses

    def _proxy_settings(self, name: str, place: Locality) -> ProxySettings:
        return ProxySettings(
            name=name,
            zone=place.zone,
            region=place.region,
            caller_address=LOOPBACK,
            peer_address=LOOPBACK,
            gossip_address=LOOPBACK,
            platform_address=self.platform.address,
            seeds=tuple(server.gossip_address for server in self.proxies.values()),
            session_keys=(SESSION_KEY,),
            bootstrap_operator_token_sha256=hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest(),
            timings=self.plan.timings,
        )
