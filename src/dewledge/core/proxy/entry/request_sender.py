"""Sends requests to gateways, one attempt at a time, and holds them in between."""

import msgspec

from dewledge.core.proxy.calls import Operation
from dewledge.core.proxy.entry.pending_requests import PendingRequest, RequestState
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.messages import StatementRequest

_MARGIN_SHARE = 0.1
"""Ratio; of the time that is left, at most so much is kept for the answer's way back."""
_CANDIDATE_GATEWAYS = 2
"""Processes; the active gateway of a database and the one that stands in for it."""
_MOST_DOUBLINGS = 16
"""Doublings of the pause before a request is sent again; keeps 2 ** n a small number."""


class _Path(msgspec.Struct, frozen=True):
    """The way to a database through one gateway."""

    gateway: str
    database: str


class RequestSender:
    """Chooses gateways and keeps each request's one timer."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._avoid_until: dict[str, float] = {}
        self._blocked_until: dict[_Path, float] = {}

    def avoid_gateway(self, gateway: str, now: float) -> None:
        """Prefers other gateways to this one for a while."""
        self._avoid_until[gateway] = now + self._state.settings.gateway_avoid_time

    def note_alive(self, gateway: str) -> None:
        """Ends the avoiding of a gateway that answered."""
        self._avoid_until.pop(gateway, None)

    def send(self, pending: PendingRequest, database: str, confirm: bool, now: float) -> bool:
        """Sends the request to the database's gateway; returns False if it has none to use."""
        gateway = self._choose_gateway(pending, database, now)
        if gateway is None:
            return False
        pending.attempts += 1
        pending.confirm = confirm
        fallback = gateway != self._state.placement.active(database)
        self.send_to(pending, gateway, database, now, fallback)
        return True

    def send_by_other_path(self, pending: PendingRequest, now: float) -> bool:
        """Sends a request that its gateway could not serve through the next gateway.

        Returns False if that one is known to find no way to the database either.
        """
        database = pending.database
        until = now + self._state.settings.gateway_avoid_time
        self._blocked_until[_Path(pending.peer, database)] = until
        gateway = self._choose_gateway(pending, database, now)
        if gateway is None or self._is_blocked(gateway, database, now):
            return False
        self.send_to(pending, gateway, database, now, fallback=True)
        return True

    def send_to(
        self,
        pending: PendingRequest,
        gateway: str,
        database: str,
        now: float,
        fallback: bool = False,
    ) -> None:
        """Sends the request to this gateway, in place of any attempt before."""
        correlation = self._state.next_correlation()
        self._state.pending.attach(pending, correlation, gateway)
        pending.state = RequestState.IN_FLIGHT
        pending.database = database
        pending.sent_at = now
        group = self._state.group(pending.request.group, now)
        group.note_sent(pending)
        self._state.send(gateway, self._message(pending, now, fallback))
        self.set_timer(pending, self._attempt_end(pending, now))

    def hold(self, pending: PendingRequest, until: float) -> None:
        """Holds the request until a time, or its deadline."""
        pending.state = RequestState.HELD
        self.set_timer(pending, until)

    def back_off(self, pending: PendingRequest, now: float) -> None:
        """Holds the request for a random while, growing with each time (full jitter)."""
        settings = self._state.settings
        pending.backoffs += 1
        growth = 2.0 ** min(pending.backoffs, _MOST_DOUBLINGS)
        longest = min(settings.retry_backoff_limit, settings.retry_backoff * growth)
        until = now + longest * self._state.random.random()
        if pending.wait_until is not None and pending.wait_until > now:
            until = min(until, pending.wait_until)
        self.hold(pending, until)

    def set_timer(self, pending: PendingRequest, when: float) -> None:
        """Sets the request's timer, in place of any before, at the latest to its deadline."""
        self._state.timers.set(pending, min(when, pending.request.deadline))

    def extend_attempt(self, pending: PendingRequest, now: float) -> None:
        """Goes on waiting for the attempt in flight."""
        self.set_timer(pending, self._attempt_end(pending, now))

    def _choose_gateway(self, pending: PendingRequest, database: str, now: float) -> str | None:
        ranked = self._state.placement.ranked(database)[:_CANDIDATE_GATEWAYS]
        usable = [gateway for gateway in ranked if gateway not in pending.avoided_gateways]
        for gateway in usable:
            if not self._is_avoided(gateway, now) and not self._is_blocked(gateway, database, now):
                return gateway
        return usable[0] if usable else None

    def _is_blocked(self, gateway: str, database: str, now: float) -> bool:
        path = _Path(gateway, database)
        until = self._blocked_until.get(path)
        if until is None:
            return False
        if until > now:
            return True
        del self._blocked_until[path]
        return False

    def _is_avoided(self, gateway: str, now: float) -> bool:
        until = self._avoid_until.get(gateway)
        if until is None:
            return False
        if until > now:
            return True
        del self._avoid_until[gateway]
        return False

    def _attempt_end(self, pending: PendingRequest, now: float) -> float:
        """Reads time out early and go elsewhere; nothing else may be sent twice."""
        settings = self._state.settings
        if not pending.is_repeatable or pending.attempts >= settings.max_attempts:
            return pending.request.deadline
        return now + settings.read_attempt_timeout * 2.0 ** max(0, pending.attempts - 1)

    def _message(self, pending: PendingRequest, now: float, fallback: bool) -> StatementRequest:
        request = pending.request
        remaining = request.deadline - now
        margin = min(self._state.settings.answer_margin, remaining * _MARGIN_SHARE)
        carries_floor = pending.is_read or request.operation is Operation.BEGIN
        return StatementRequest(
            correlation=pending.correlation,
            caller=request.caller,
            group=request.group,
            database=pending.database,
            operation=request.operation,
            access=request.access,
            remaining=remaining - margin,
            statement=request.statement,
            floor=pending.floor if carries_floor else None,
            confirm=pending.confirm,
            idempotency_key=request.idempotency_key,
            transaction=request.transaction,
            fallback=fallback,
        )
