"""Naive ways that break a promise: what the mechanisms are there to prevent.

The bench runs them as baselines; tests/contracts/naive_ways.py has more, for tests of the checkers.
"""

import msgspec

from dewledge.core.proxy.calls import Access, CallerRequest
from dewledge.core.shared.positions import LOG_START
from dewledge.simulation.core_factory import session_codec
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.simulated_proxy import SimulatedProxy


def _is_single_read(request: CallerRequest) -> bool:
    return request.access is Access.READ and request.transaction is None


class NoFreshnessCheck(Interceptor):
    """Sends reads to any replica: no floor travels with them."""

    def call(self, request: CallerRequest) -> CallerRequest:
        """Replaces the session's floor by the start of the log."""
        if not _is_single_read(request):
            return request
        token = session_codec().seal(request.caller, {request.group: LOG_START})
        return msgspec.structs.replace(request, session=token)


class ReadsToPrimary(Interceptor):
    """Sends every read to the primary."""

    def call(self, request: CallerRequest) -> CallerRequest:
        """Drops the session, so that only the confirmed primary may serve it."""
        if not _is_single_read(request):
            return request
        return msgspec.structs.replace(request, session=None)


class RemembersRequests(Interceptor):
    """Keeps the requests of callers by id, for those who send them again."""

    def __init__(self, proxy: SimulatedProxy) -> None:
        super().__init__(proxy)
        self._requests: dict[int, CallerRequest] = {}

    def call(self, request: CallerRequest) -> CallerRequest:
        """Remembers the request."""
        self._requests[request.request_id] = request
        return request


class PoolsOfItsOwn(Interceptor):
    """Knows no other proxy, so that it holds connections to every database itself."""

    def seeds(self, seeds: tuple[str, ...]) -> tuple[str, ...]:
        """Starts alone."""
        return ()

    def datagram(self, data: bytes) -> bytes | None:
        """Stays alone."""
        return None
