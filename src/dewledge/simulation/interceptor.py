"""What stands between a proxy's core and the world; naive variants change what passes."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.calls import CallerRequest
from dewledge.core.proxy.jobs import JobResult
from dewledge.core.proxy.messages import PeerMessage

if TYPE_CHECKING:
    from dewledge.simulation.simulated_proxy import SimulatedProxy


class Interceptor:
    """Passes everything on unchanged, so that the core works as in the daemon."""

    def __init__(self, proxy: "SimulatedProxy") -> None:
        self.proxy = proxy

    def seeds(self, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the gossip addresses that the core starts with."""
        return seeds

    def call(self, request: CallerRequest) -> CallerRequest:
        """Returns the request that the core is given in place of a caller's."""
        return request

    def peer_message(self, peer: str, message: PeerMessage) -> PeerMessage | None:
        """Returns the message that the core is given in place of a peer's, or None."""
        return message

    def datagram(self, data: bytes) -> bytes | None:
        """Returns the datagram that the core is given, or None."""
        return data

    def job_result(self, result: JobResult) -> JobResult:
        """Returns the result that the core is given in place of a worker's."""
        return result

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Returns the effects that are carried out in place of the core's."""
        return (effect,)

    def may_end(self) -> bool:
        """Tells whether a planned stop may end the process now."""
        return self.proxy.core.is_idle
