"""Requests for admission and their outcomes; the gate (gate.py) decides.

A session requests admission for an operation (operation_admission.py); the gate admits, holds or
refuses it.
"""

import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.rate_limits.token_reservations import KeptToken


class AdmissionRequest(msgspec.Struct, frozen=True):
    """A request to admit an operation of `caller`.

    statement_timeout: seconds, for waiting and serving together. kept: the token reserved by an
    earlier refusal in the session. keeps: whether a token may be reserved for the operation;
    otherwise it is held for FIXED_HOLD_SECONDS at most, whatever its timeout. target_latency:
    seconds within which its answer should arrive. urgency: of its route, 0 is the highest.
    """

    caller: str
    statement_timeout: float
    kept: KeptToken | None = None
    keeps: bool = True
    target_latency: float = math.inf
    urgency: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """An operation is not admitted.

    come_back_ms: milliseconds until the client should retry. kept: the reserved token that the
    session presents with the retry; None if no token is reserved.
    """

    come_back_ms: int
    cause: RefusalCause
    kept: KeptToken | None = None


OnDecided = Callable[[Refusal | None], None]
"""Called with None once the operation may begin, or with the refusal."""


class PendingAdmission:
    """An operation that waits to be admitted. Times are in seconds of the steady clock."""

    __slots__ = (
        "answer_deadline",
        "max_wait",
        "caller",
        "on_decided",
        "is_over",
        "is_held",
        "number",
        "hold_until",
        "urgency",
    )

    def __init__(
        self, request: AdmissionRequest, now: float, number: int, on_decided: OnDecided
    ) -> None:
        """`number`: of the operation in its key at the grantor; 0: no token is reserved for it."""
        self.caller = request.caller
        self.urgency = request.urgency
        self.number = number
        self.max_wait = 0.0
        """Seconds for which the operation can be held and still meet its latency target."""
        self.hold_until = now
        """Latest time for which the operation may be held for its token."""
        self.answer_deadline = now
        """Latest time for a grantor's answer."""
        self.is_held = False
        """Whether the operation waits until its token is available."""
        self.on_decided = on_decided
        self.is_over = False

    def set_hold_limits(self, hold_until: float, max_wait: float) -> None:
        """Sets how long the operation may be held."""
        self.hold_until = hold_until
        self.max_wait = max_wait

    def set_answer_deadline(self, deadline: float) -> None:
        """Sets the latest time for a grantor's answer."""
        self.answer_deadline = deadline

    def hold(self) -> None:
        """Marks the operation as waiting until its token is available."""
        self.is_held = True

    def end_hold(self) -> None:
        """Ends the wait: the token should be available now."""
        self.is_held = False

    def cancel(self) -> None:
        """Cancels the request, because the client has disconnected; the callback is not called."""
        self.is_over = True

    def decide(self, refusal: Refusal | None) -> None:
        """Calls the callback with the outcome, at most once and not after a cancellation."""
        if not self.is_over:
            self.is_over = True
            self.on_decided(refusal)


class Admission(Protocol):
    """Decides whether operations may begin."""

    def submit(self, request: AdmissionRequest, on_decided: OnDecided) -> PendingAdmission:
        """Requests admission; calls `decided` once, possibly before returning."""

    def record_served(self, seconds: float) -> None:
        """Records the time from an operation's admission to its first answer."""


class AdmitAll:
    """Admits every operation; used where no caller has a limit."""

    def submit(self, request: AdmissionRequest, on_decided: OnDecided) -> PendingAdmission:
        """Admits the operation at once."""
        application = PendingAdmission(request, 0.0, 0, on_decided)
        application.decide(None)
        return application

    def record_served(self, seconds: float) -> None:
        """Ignores the time, because no operation waits here."""
