"""What the steps of the demo share: the running cluster, its callers and the record of writes."""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import Any

from dewledge.cli.http_client import ProxyClient
from dewledge.core.proxy.calls import Outcome
from dewledge.demo.caller import CallerReply, RoamingCaller, WriteLedger
from dewledge.demo.narration import Narrator
from dewledge.demo.scenes import Scene
from dewledge.embedded import OPERATOR_TOKEN, EmbeddedCluster
from dewledge.errors import DewledgeError, ErrorCode
from dewledge.standin.deployment_resources import demonstration_token
from dewledge.standin.group_client import GroupClient

STATUS_PATH = "/v1/status"
IN_FORCE_SECONDS = 10.0


class Stage:
    """One deployment at work.

    group: faults and history of the group that the demo works with.
    revision: of the latest accepted change of the resources that the demo has seen.
    """

    def __init__(
        self, cluster: EmbeddedCluster, scene: Scene, narrator: Narrator, random: Random
    ) -> None:
        self.cluster = cluster
        self.scene = scene
        self.narrator = narrator
        self.random = random
        self.ledger = WriteLedger()
        self.group: GroupClient = cluster.group_faults(scene.group)
        self.revision = 0

    def caller(self, name: str) -> RoamingCaller:
        """Returns a new session of a caller of the deployment."""
        token = demonstration_token(self.scene.deployment, name)
        return RoamingCaller(token, self.scene.group, self.ledger)

    def writer(self) -> RoamingCaller:
        """Returns a new session of the caller that writes."""
        return self.caller(self.scene.writer)

    def proxies(self) -> list[str]:
        """Returns the addresses of the proxies that run."""
        return self.cluster.caller_addresses()

    def proxy_name(self, address: str) -> str:
        """Returns the name of the proxy at an address."""
        names = {it.caller_address: name for name, it in self.cluster.proxies.items()}
        return names.get(address, address)

    def revisions(self) -> list[int]:
        """Returns the revision in force on each proxy."""
        return [int(status["revision"]) for status in self.statuses()]

    def statuses(self) -> list[dict[str, Any]]:
        """Returns what each proxy says of itself."""
        return [_status(address) for address in self.proxies()]

    def change(self, change: Mapping[str, Any]) -> int:
        """Has a change of the resources accepted and returns its revision. Raises DewledgeError."""
        self.revision = self.cluster.change(change)
        return self.revision

    def check_in_force(self, what: str) -> None:
        """Checks that the latest accepted change gets in force on all proxies."""
        self.check_becomes(what, lambda: min(self.revisions()) >= self.revision, IN_FORCE_SECONDS)

    def check_becomes(self, what: str, is_reached: Callable[[], bool], within: float) -> None:
        """Checks that a state is reached within that many seconds. Raises CheckFailed."""
        try:
            self.cluster.await_state(what, is_reached, within)
        except DewledgeError as error:
            if error.code is not ErrorCode.NOT_READY:
                raise
            self.narrator.check_that(what, False, f"so within {within:g} s", "not so")
        self.narrator.check_that(what, True, "so", "so")

    def check_done(self, what: str, replies: Sequence[CallerReply]) -> None:
        """Checks that all requests were answered as done. Raises CheckFailed."""
        others = [
            f"{it.outcome} {it.code} at {self.proxy_name(it.proxy)}"
            for it in replies
            if it.outcome is not Outcome.DONE
        ]
        self.narrator.check(what, [], others)


def _status(address: str) -> dict[str, Any]:
    with ProxyClient([address], OPERATOR_TOKEN) as client:
        return client.get(STATUS_PATH).body
