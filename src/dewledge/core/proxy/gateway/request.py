"""Requests that a gateway has accepted: known by peer and correlation, answered exactly once."""

from collections import OrderedDict

import msgspec

from dewledge.core.proxy.calls import Operation
from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.effects import SendToPeer
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.fair_queue import QueueEntry
from dewledge.core.proxy.jobs import JobDone
from dewledge.core.proxy.messages import (
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)
from dewledge.errors import ErrorCode


class RequestKey(msgspec.Struct, frozen=True):
    """Names a request: the peer, its incarnation (process start) and its correlation there."""

    peer: str
    incarnation: int
    correlation: int


class GatewayRequest:
    """One request from its arrival to its answer.

    deadline: on the core's clock, worked out from the remaining time at arrival.
    round_at_arrival: newest status round of the group then; a read that asked to be confirmed
    needs a later one.
    entry, timer: set while it waits in a queue.
    cancelled: its entry waits no longer.
    peer_lost: the link to its entry is gone; an answer could reach another process there.
    """

    __slots__ = (
        "cancelled",
        "deadline",
        "entry",
        "key",
        "message",
        "peer_lost",
        "round_at_arrival",
        "timer",
    )

    def __init__(self, key: RequestKey, message: StatementRequest, now: float) -> None:
        self.key = key
        self.message = message
        self.deadline = now + message.remaining
        self.round_at_arrival = 0
        self.cancelled = False
        self.peer_lost = False
        self.entry: QueueEntry[GatewayRequest] | None = None
        self.timer: Timer | None = None

    @property
    def begins_transaction(self) -> bool:
        """True for a BEGIN."""
        return self.message.operation is Operation.BEGIN


class RequestRegistry:
    """Every request in flight, and the keys of those finished lately."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._in_flight: dict[RequestKey, GatewayRequest] = {}
        self._by_peer: dict[str, dict[RequestKey, GatewayRequest]] = {}
        self._incarnations: dict[str, int] = {}
        self._finished: OrderedDict[RequestKey, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._in_flight)

    def is_new_incarnation(self, peer: str, incarnation: int) -> bool:
        """Tells whether a peer's process is another one than before."""
        return self._incarnations.get(peer, 0) != incarnation

    def note_incarnation(self, peer: str, incarnation: int) -> None:
        """Notes a peer's process, which counts its correlations anew."""
        self._incarnations[peer] = incarnation

    def accept(self, peer: str, message: StatementRequest, now: float) -> GatewayRequest | None:
        """Notes a new request; None for a doubled one, which must be dropped."""
        key = self._key(peer, message.correlation)
        if key in self._in_flight or key in self._finished:
            return None
        request = GatewayRequest(key, message, now)
        self._in_flight[key] = request
        self._by_peer.setdefault(key.peer, {})[key] = request
        return request

    def find(self, peer: str, correlation: int) -> GatewayRequest | None:
        """Returns a request in flight, or None."""
        return self._in_flight.get(self._key(peer, correlation))

    def of_peer(self, peer: str) -> list[GatewayRequest]:
        """Returns the requests in flight of one peer."""
        return list(self._by_peer.get(peer, {}).values())

    def done(
        self,
        request: GatewayRequest,
        database: str,
        result: JobDone,
        transaction: str | None = None,
    ) -> None:
        """Answers that the operation ran."""
        answer = StatementDone(
            correlation=request.key.correlation,
            database=database,
            role=result.role,
            position=result.position,
            rows=result.rows,
            transaction=transaction,
            repeated=result.repeated,
        )
        self._finish(request, answer)

    def not_run(
        self,
        request: GatewayRequest,
        code: ErrorCode,
        message: str = "",
        retry_after: float | None = None,
        status: DatabaseStatus | None = None,
        gateway: str | None = None,
    ) -> None:
        """Answers that the operation surely had no effect."""
        answer = StatementNotRun(
            request.key.correlation, code, message, retry_after, status, gateway
        )
        self._finish(request, answer)

    def unknown(self, request: GatewayRequest, code: ErrorCode, message: str = "") -> None:
        """Answers that the operation may have taken effect."""
        self._finish(request, StatementUnknown(request.key.correlation, code, message))

    def drop(self, request: GatewayRequest) -> None:
        """Forgets a request whose entry is gone; nobody waits for an answer."""
        self._forget(request)

    def _key(self, peer: str, correlation: int) -> RequestKey:
        return RequestKey(peer, self._incarnations.get(peer, 0), correlation)

    def _finish(
        self, request: GatewayRequest, answer: StatementDone | StatementNotRun | StatementUnknown
    ) -> None:
        if self._forget(request) and not request.peer_lost:
            self._context.emit(SendToPeer(request.key.peer, answer))

    def _forget(self, request: GatewayRequest) -> bool:
        if self._in_flight.pop(request.key, None) is None:
            return False
        self._context.cancel(request.timer)
        of_peer = self._by_peer[request.key.peer]
        del of_peer[request.key]
        if not of_peer:
            del self._by_peer[request.key.peer]
        self._finished[request.key] = None
        if len(self._finished) > self._context.settings.remembered_requests:
            self._finished.popitem(last=False)
        return True
