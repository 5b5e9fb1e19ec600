"""The bounded queue before one database: fair between callers, refusing what cannot be served.

Statements and transaction begins wait apart, because a begin may have to wait for a transaction
to end while a statement needs only a free connection.
"""

from collections.abc import Callable

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.gateway.admission import Refusal, full_refusal, wait_refusal
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.fair_queue import FairQueue
from dewledge.core.proxy.gateway.request import GatewayRequest
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode

START_MARGIN = 1.5
"""Factor; a statement that has waited starts only with so many usual service times left."""


class TimeNeeded:
    """How long a request takes from its start to its answer, as a rule; in seconds."""

    def __init__(self, rate: ServiceRate, confirmation_time: Callable[[], float]) -> None:
        self._rate = rate
        self._confirmation_time = confirmation_time

    def __call__(self, request: GatewayRequest) -> float:
        """Estimates it. What a BEGIN waits for is a slot: once started, it is soon answered."""
        if request.begins_transaction:
            return 0.0
        needed = START_MARGIN * self._rate.service_time
        if request.message.access is Access.WRITE:
            needed += self._confirmation_time()
        return needed


class WaitingRoom:
    """Requests waiting for one kind of service.

    time_needed: seconds from a request's start to its answer, as a rule.
    on_refused, on_expired: give a request up.
    """

    def __init__(
        self,
        context: GatewayContext,
        rate: ServiceRate,
        time_needed: TimeNeeded,
        on_refused: Callable[[GatewayRequest, Refusal], None],
        on_expired: Callable[[GatewayRequest], None],
    ) -> None:
        self._context = context
        self._rate = rate
        self._time_needed = time_needed
        self._on_refused = on_refused
        self._on_expired = on_expired
        self._queue: FairQueue[GatewayRequest] = FairQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def admit(self, request: GatewayRequest, weight: float, slots: int, now: float) -> None:
        """Lets a request wait, or refuses it at once.

        When the queue is full, a request that would be served before the last one displaces it,
        so that one caller's backlog cannot shut the others out.
        """
        caller = request.message.caller
        ahead = self._queue.served_before(caller, weight)
        expected_wait = self._rate.expected_wait(ahead, slots)
        refusal = wait_refusal(expected_wait, self._latest_start(request) - now)
        if refusal is not None:
            self._on_refused(request, refusal)
            return
        if len(self._queue) >= self._context.settings.max_waiting:
            displaced = self._queue.take_last_if_after(caller, weight)
            refusal = full_refusal(self._rate.expected_wait(len(self._queue), slots))
            self._on_refused(displaced or request, refusal)
            if displaced is None:
                return
            self._leave(displaced)
        request.entry = self._queue.push(request, caller, weight)
        request.timer = self._context.call_at(request.deadline, lambda _: self._expire(request))

    def next(self, now: float) -> GatewayRequest | None:
        """Takes the request to serve next; one too late to end in time is given up.

        Started all the same, it would be cut off at its deadline: its outcome unknown, its
        connection lost, and the database at work for nobody.
        """
        request = self._queue.pop()
        while request is not None:
            self._leave(request)
            if self._latest_start(request) > now:
                return request
            self._on_expired(request)
            request = self._queue.pop()
        return None

    def withdraw(self, request: GatewayRequest) -> bool:
        """Removes a waiting request; False if it does not wait here."""
        if request.entry is None or not self._queue.withdraw(request.entry):
            return False
        self._leave(request)
        return True

    def refuse_all(self, refusal: Refusal) -> None:
        """Gives up every waiting request."""
        request = self._queue.pop()
        while request is not None:
            self._leave(request)
            self._on_refused(request, refusal)
            request = self._queue.pop()

    def _latest_start(self, request: GatewayRequest) -> float:
        return request.deadline - self._time_needed(request)

    def _expire(self, request: GatewayRequest) -> None:
        if self.withdraw(request):
            self._on_expired(request)

    def _leave(self, request: GatewayRequest) -> None:
        request.entry = None
        self._context.cancel(request.timer)
        request.timer = None


UNREACHABLE = Refusal(ErrorCode.DATABASE_UNREACHABLE, "no connection can be opened")
DRAINED = Refusal(ErrorCode.DATABASE_DRAINED, "the database is drained")
ISOLATED = Refusal(ErrorCode.ISOLATED, "this proxy is cut off and may hold an old configuration")
