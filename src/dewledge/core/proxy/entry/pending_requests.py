"""Requests accepted and not yet answered, with their bounds and fair shares."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto

from dewledge.core.proxy.calls import Access, CallerRequest, Operation
from dewledge.core.proxy.entry.server_selection import Freshness
from dewledge.core.proxy.entry.session_token import SessionFloors
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode


class RequestState(Enum):
    """What a pending request waits for."""

    HELD = auto()
    """For a moment: a replica to catch up, or a backoff to pass."""
    WAITING = auto()
    """For the group to have a primary."""
    IN_FLIGHT = auto()
    """For a gateway's answer."""
    ENDED = auto()
    """For nothing: it was answered, or its caller is gone."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """One request on its way. Times are on the core's clock, in seconds.

    floor: what the session has seen of this group; None sends a read to the confirmed primary.
    transaction_gateway: the proxy that holds the request's transaction, or None.
    may_have_run: an attempt left and its fate was never learnt, so the request can no longer be
        called "not run".
    excluded: databases that this read shall not go to again.
    avoided_gateways: proxies that could not be reached for this request.
    freshness, floor_age: what the latest choice of a replica was based on.
    confirm: the attempt asks for a round that confirms the term.
    recalled: its gateway was asked to give it back, unless it has started.
    asked_read_index: a floor was asked for, so that without one the primary is next.
    held: seconds that it was held for replicas to catch up.
    wait_until: when it gives up waiting for a primary or gateway; set when it first waits.
    timer_id: its one timer: for the end of a hold, wait or attempt, or for the deadline.
    """

    request: CallerRequest
    floors: SessionFloors
    floor: LogPosition | None
    transaction_gateway: str | None
    weight: int
    state: RequestState = RequestState.HELD
    correlation: int = 0
    peer: str = ""
    database: str = ""
    sent_at: float = 0.0
    freshness: Freshness | None = None
    floor_age: float = 0.0
    confirm: bool = False
    may_have_run: bool = False
    attempts: int = 0
    redirects: int = 0
    stale_answers: int = 0
    backoffs: int = 0
    recalled: bool = False
    asked_read_index: bool = False
    held: float = 0.0
    excluded: tuple[str, ...] = ()
    avoided_gateways: tuple[str, ...] = ()
    wait_until: float | None = None
    last_code: ErrorCode = ErrorCode.DEADLINE_EXCEEDED
    timer_id: int = 0

    @property
    def is_read(self) -> bool:
        """Whether it is a read outside any transaction."""
        request = self.request
        return (
            request.operation is Operation.EXECUTE
            and request.access is Access.READ
            and self.transaction_gateway is None
        )

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent again though an earlier attempt may have run.

        A BEGIN may: a transaction whose id nobody learnt is rolled back by its gateway.
        """
        return self.is_read or self.request.operation is Operation.BEGIN

    @property
    def outcome_is_open(self) -> bool:
        """Whether it may have run, so that "not run" would not be true."""
        if self.request.operation in (Operation.BEGIN, Operation.ROLLBACK):
            return False
        return self.may_have_run or self.state is RequestState.IN_FLIGHT


class PendingRequests:
    """The table of pending requests: by id, by correlation and by gateway; O(1) throughout."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._by_request_id: dict[int, PendingRequest] = {}
        self._by_correlation: dict[int, PendingRequest] = {}
        self._by_peer: dict[str, dict[int, PendingRequest]] = {}
        self._count_of_caller: dict[str, int] = {}
        self._active_weight = 0

    def __len__(self) -> int:
        return len(self._by_request_id)

    def has_room_for(self, caller: str, weight: int) -> bool:
        """Tells whether one more request of this caller may be accepted.

        Above the fill `fair_share_from` a caller gets its weighted share, reckoned as if one more
        caller of weight 1 were there: so that one always finds room.
        """
        settings = self._settings
        total = len(self._by_request_id)
        own = self._count_of_caller.get(caller, 0)
        if total >= settings.max_pending or own >= settings.max_pending_per_caller:
            return False
        if total < settings.fair_share_from * settings.max_pending:
            return True
        weights = self._active_weight + 1 + (weight if own == 0 else 0)
        return own < settings.max_pending * weight / weights

    def add(self, pending: PendingRequest) -> None:
        """Adds an accepted request."""
        caller = pending.request.caller
        self._by_request_id[pending.request.request_id] = pending
        count = self._count_of_caller.get(caller, 0)
        if count == 0:
            self._active_weight += pending.weight
        self._count_of_caller[caller] = count + 1

    def remove(self, pending: PendingRequest) -> None:
        """Removes a request that was answered or whose caller is gone."""
        self.detach(pending)
        del self._by_request_id[pending.request.request_id]
        caller = pending.request.caller
        count = self._count_of_caller[caller] - 1
        if count:
            self._count_of_caller[caller] = count
            return
        del self._count_of_caller[caller]
        self._active_weight -= pending.weight

    def attach(self, pending: PendingRequest, correlation: int, peer: str) -> None:
        """Notes that the request was sent to `peer` under `correlation`."""
        pending.correlation = correlation
        pending.peer = peer
        self._by_correlation[correlation] = pending
        self._by_peer.setdefault(peer, {})[correlation] = pending

    def detach(self, pending: PendingRequest) -> None:
        """Gives the current correlation up: an answer to it will find nothing."""
        if not pending.correlation:
            return
        del self._by_correlation[pending.correlation]
        sent = self._by_peer[pending.peer]
        del sent[pending.correlation]
        if not sent:
            del self._by_peer[pending.peer]
        pending.correlation = 0

    def by_request_id(self, request_id: int) -> PendingRequest | None:
        """Returns the pending request with this id, or None."""
        return self._by_request_id.get(request_id)

    def by_answer(self, correlation: int, peer: str) -> PendingRequest | None:
        """Returns the request that `peer` answers under `correlation`, or None."""
        pending = self._by_correlation.get(correlation)
        if pending is None or pending.peer != peer:
            return None
        return pending

    def sent_to(self, peer: str) -> Collection[PendingRequest]:
        """Returns a copy of the requests in flight to `peer`, oldest first."""
        return list(self._by_peer.get(peer, {}).values())
