"""Admits a session's operations by the caller's rate limit.

An operation (a single statement or a transaction) is counted once, at its first statement for a
database. The module holds the request for admission that waits for a decision, and the rate-limit
tokens reserved for refused operations; core/pooler/rate_limits decides whether a token is free.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.events import OperationHeld, OperationNotAdmitted
from dewledge.core.pooler.load.ticket import Ticket
from dewledge.core.pooler.rate_limits.admission import AdmissionRequest, PendingAdmission, Refusal
from dewledge.core.pooler.rate_limits.token_reservations import TokenReservations
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.statements import Statement
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

MIN_LOGGED_WAIT_MS = 100
"""Milliseconds: shortest wait for a rate-limit token that is logged; longer than a network round
trip."""


class AdmissionDecision(msgspec.Struct, frozen=True):
    """Whether an operation is admitted. Times in seconds of the steady clock.

    refusal: None if the operation is admitted. arrived: when it requested admission.
    """

    refusal: Refusal | None
    arrived: float
    decided_at: float


class OperationAdmission:
    """Requests admission for the operations of a session, one at a time."""

    def __init__(self, session: str, services: PoolServices) -> None:
        self._session = session
        self._services = services
        self._application: PendingAdmission | None = None
        """Pending request for admission of an operation, None for none."""
        self._reserved_tokens = TokenReservations()
        """Rate-limit tokens reserved for operations of this session that were refused."""

    @property
    def is_waiting(self) -> bool:
        """Whether an operation waits for admission."""
        return self._application is not None

    def request(
        self,
        state: SessionState,
        route: Route,
        statement: Statement,
        on_decided: Callable[[AdmissionDecision], None],
    ) -> None:
        """Requests admission of an operation whose first statement is `statement`.

        on_decided: called with the decision, possibly before this method returns.
        """
        arrived = self._services.scheduler.now()
        outcome: list[Refusal | None] = []

        def receive(refusal: Refusal | None) -> None:
            outcome.append(refusal)
            if self._application is not None:
                self._application = None
                on_decided(self._decide(state, route, statement, refusal, arrived))

        application = self._services.admission.submit(
            self._admission_request(state, route), receive
        )
        if outcome:
            on_decided(self._decide(state, route, statement, outcome[0], arrived))
        else:
            self._application = application

    def withdraw(self) -> None:
        """Withdraws a pending request: the client has left."""
        if self._application is not None:
            self._application.cancel()
            self._application = None

    def record_served(self, admitted_at: float) -> None:
        """Records that an admitted operation's first statement was answered without a failure."""
        now = self._services.scheduler.now()
        self._services.admission.record_served(now - admitted_at)

    def _admission_request(self, state: SessionState, route: Route) -> AdmissionRequest:
        """Returns the request for admission, with a token reserved for this session if any."""
        reserved = self._reserved_tokens.redeem(state.caller, self._services.scheduler.now())
        policy = self._services.load_policy
        urgency = route.priority if policy.urgent_tokens else 0
        return AdmissionRequest(
            state.caller,
            route.statement_timeout,
            reserved,
            policy.kept_tokens,
            route.target_latency,
            urgency,
        )

    def _decide(
        self,
        state: SessionState,
        route: Route,
        statement: Statement,
        refusal: Refusal | None,
        arrived: float,
    ) -> AdmissionDecision:
        decision = AdmissionDecision(refusal, arrived, self._services.scheduler.now())
        waited_ms = int((decision.decided_at - arrived) * MILLISECONDS_PER_SECOND)
        if refusal is not None:
            self._store_reservation(state, route, refusal, arrived)
            self._record_refusal(state, route, statement, refusal, waited_ms)
        elif waited_ms >= MIN_LOGGED_WAIT_MS:
            event = OperationHeld(self._session, state.caller, statement.id, waited_ms)
            self._services.record(event)
        return decision

    def _store_reservation(
        self, state: SessionState, route: Route, refusal: Refusal, arrived: float
    ) -> None:
        if refusal.kept is not None:
            self._reserved_tokens.add(refusal.kept)
            state.ticket = Ticket(arrived, refusal.kept.return_at, route.priority)

    def _record_refusal(
        self,
        state: SessionState,
        route: Route,
        statement: Statement,
        refusal: Refusal,
        waited_ms: int,
    ) -> None:
        event = OperationNotAdmitted(
            self._session,
            state.caller,
            route.name,
            route.priority,
            statement.id,
            refusal.cause,
            refusal.come_back_ms,
            refusal.kept is not None,
            waited_ms,
        )
        self._services.record(event)
