"""The entry half of the decision core: from a caller's request to its one answer.

An entry authorises a request, opens its session token, picks the database, sends the request to
the gateway that serves that database, and answers. Retries live here and nowhere else. It holds
no socket, thread, clock or random source of its own: methods take `now` in seconds on any
monotonic clock and return effects.

    handle_call -> RequestRouter -> RequestSender -> SendToPeer
    handle_peer_message -> AnswerHandler -> RequestFinisher -> AnswerCaller
"""

from collections.abc import Sequence
from random import Random

from dewledge.core.proxy.calls import Access, CallerRequest, Operation
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.effects import Effect
from dewledge.core.proxy.entry.answer_handler import AnswerHandler
from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.pending_requests import PendingRequest
from dewledge.core.proxy.entry.request_finish import RequestFinisher
from dewledge.core.proxy.entry.request_router import RequestRouter
from dewledge.core.proxy.entry.session_token import NO_FLOORS, SessionFloors, SessionTokenCodec
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.messages import (
    GroupStatusAnswer,
    StatementDone,
    StatementNotRun,
    StatementUnknown,
)
from dewledge.core.proxy.transaction_ids import gateway_of_transaction
from dewledge.errors import BadSessionToken, ErrorCode

AnswerMessage = StatementDone | StatementNotRun | StatementUnknown | GroupStatusAnswer


class Entry:
    """One proxy's entry. Every accepted request is answered exactly once.

    me: this proxy's name; messages to it go to its own gateway. zone: where it runs.
    """

    def __init__(
        self,
        me: str,
        zone: str,
        settings: EntrySettings,
        session_codec: SessionTokenCodec,
        random: Random,
    ) -> None:
        self._state = EntryState(me, zone, settings, random)
        self._codec = session_codec
        self._finisher = RequestFinisher(self._state, session_codec)
        self._router = RequestRouter(self._state, self._finisher)
        self._answers = AnswerHandler(self._state, self._finisher, self._router)
        self._serving = True
        self._leaving = False

    @property
    def in_flight(self) -> int:
        """Requests accepted and not yet answered."""
        return len(self._state.pending)

    def set_configuration(
        self,
        configuration: Configuration,
        policy: AccessPolicy,
        placement: GatewayPlacement,
        now: float,
    ) -> list[Effect]:
        """Takes over a configuration, with the policy and placement made from it."""
        state = self._state
        state.configuration = configuration
        state.policy = policy
        state.placement = placement
        for name, group in state.groups.items():
            group.set_databases(state.zones_of(name))
            self._router.release(group, now)
        return state.take_effects()

    def handle_call(self, request: CallerRequest, now: float) -> list[Effect]:
        """Accepts a request, or refuses it at once as not run."""
        if not self._is_refused(request, now):
            self._accept(request, now)
        return self._state.take_effects()

    def handle_caller_gone(self, request_id: int, now: float) -> list[Effect]:
        """Drops a request whose caller has gone: it is cancelled and not answered."""
        pending = self._state.pending.by_request_id(request_id)
        if pending is not None:
            self._finisher.forget(pending)
        return self._state.take_effects()

    def handle_peer_message(self, peer: str, message: AnswerMessage, now: float) -> list[Effect]:
        """Takes a gateway's answer."""
        match message:
            case StatementDone():
                self._answers.handle_done(peer, message, now)
            case StatementNotRun():
                self._answers.handle_not_run(peer, message, now)
            case StatementUnknown():
                self._answers.handle_unknown(peer, message, now)
            case GroupStatusAnswer():
                self._router.handle_status(peer, message, now)
        return self._state.take_effects()

    def handle_requests_unsent(
        self, peer: str, correlations: Sequence[int], now: float
    ) -> list[Effect]:
        """Requests to `peer` surely never left: they go elsewhere, and no other is touched."""
        self._answers.handle_requests_unsent(peer, correlations, now)
        return self._state.take_effects()

    def handle_peer_lost(self, peer: str, now: float) -> list[Effect]:
        """The link to `peer` broke; what was sent over it may have arrived."""
        self._answers.handle_peer_lost(peer, now)
        return self._state.take_effects()

    def set_serving(self, serving: bool, now: float) -> list[Effect]:
        """While not serving, new requests are refused with ISOLATED."""
        if serving != self._serving:
            self._state.log("entry_serving" if serving else "entry_isolated")
        self._serving = serving
        return self._state.take_effects()

    def leave(self, now: float) -> list[Effect]:
        """From now on new requests are refused with LEAVING; accepted ones are finished.

        Requests of transactions that are open count as accepted.
        """
        self._leaving = True
        return self._state.take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Does what is due."""
        item = self._state.timers.take_due(now)
        while item is not None:
            self._wake(item, now)
            item = self._state.timers.take_due(now)
        return self._state.take_effects()

    def next_wake(self) -> float | None:
        """Returns when `tick` is next due, or None."""
        return self._state.timers.next_due()

    def _wake(self, item: PendingRequest | EntryGroup, now: float) -> None:
        if isinstance(item, PendingRequest):
            self._router.wake(item, now)
        else:
            self._router.watch.wake(item, now)

    def _is_refused(self, request: CallerRequest, now: float) -> bool:
        """Answers a request that may not enter; tells whether it did."""
        state = self._state
        request_id = request.request_id
        if state.configuration.revision == EMPTY_CONFIGURATION.revision:
            message = "this proxy has no configuration yet"
            state.refuse(request_id, ErrorCode.NOT_READY, message, state.retry_after())
        elif not self._serving:
            message = "this proxy is cut off from the others"
            state.refuse(request_id, ErrorCode.ISOLATED, message, state.retry_after())
        elif self._leaving and request.transaction is None:
            message = "this proxy is leaving"
            state.refuse(request_id, ErrorCode.LEAVING, message, state.retry_after())
        elif state.configuration.group(request.group) is None:
            state.refuse(request_id, ErrorCode.UNKNOWN_GROUP, "there is no such group")
        elif not self._is_allowed(request):
            state.refuse(request_id, ErrorCode.FORBIDDEN, "no rule allows this request")
        elif not state.pending.has_room_for(request.caller, self._weight(request)):
            message = "too many requests are pending"
            state.refuse(request_id, ErrorCode.OVERLOADED, message, state.retry_after())
        elif request.deadline <= now:
            message = "the deadline has passed"
            state.refuse(request_id, ErrorCode.DEADLINE_EXCEEDED, message, state.retry_after())
        else:
            return False
        return True

    def _accept(self, request: CallerRequest, now: float) -> None:
        try:
            floors = self._open_session(request)
        except BadSessionToken as error:
            self._state.refuse(request.request_id, error.code, error.message)
            return
        gateway = None
        if request.transaction is not None:
            gateway = gateway_of_transaction(request.transaction)
            if gateway is None:
                code = ErrorCode.UNKNOWN_TRANSACTION
                self._state.refuse(request.request_id, code, "there is no such transaction")
                return
        pending = PendingRequest(
            request, floors, floors.floor(request.group), gateway, self._weight(request)
        )
        self._state.pending.add(pending)
        self._state.budget.note_request()
        self._router.dispatch(pending, now)

    def _open_session(self, request: CallerRequest) -> SessionFloors:
        if request.session is None:
            return NO_FLOORS
        return self._codec.open(request.session, request.caller)

    def _is_allowed(self, request: CallerRequest) -> bool:
        is_statement = request.operation is Operation.EXECUTE
        access = request.access if is_statement else Access.WRITE
        policy = self._state.policy
        return policy.may_use(request.caller, request.group, access, self._state.me)

    def _weight(self, request: CallerRequest) -> int:
        spec = self._state.configuration.caller(request.caller)
        return 1 if spec is None else max(1, spec.weight)
