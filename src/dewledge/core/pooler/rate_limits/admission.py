"""What asks for admission, and what it is told. The gate (gate.py) decides.

Owns the state of one operation that waits to be admitted. Relies on nothing but its caller: the
session asks (operation_admission.py), the gate holds, admits or refuses it.
"""

import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.rate_limits.kept_tokens import KeptToken


class Wish(msgspec.Struct, frozen=True):
    """An operation of `caller` that wants to begin.

    statement_timeout: seconds, for waiting and serving. kept: the token that an earlier refusal in
    its session left for this moment. keeps: whether tokens are kept and waited for; else it waits a
    fixed time. target_latency: seconds, in which its answer is in time.
    urgency: of its route, 0 is the highest.
    """

    caller: str
    statement_timeout: float
    kept: KeptToken | None = None
    keeps: bool = True
    target_latency: float = math.inf
    urgency: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """An operation is not admitted; come_back_ms: when it may be.

    kept: to be shown by the session that comes back; None where no token is kept.
    """

    come_back_ms: int
    cause: RefusalCause
    kept: KeptToken | None = None


Decided = Callable[[Refusal | None], None]
"""Called with None once the operation may begin, or with the refusal."""


class Application:
    """One operation that waits to be admitted. Times of the steady clock, in seconds."""

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

    def __init__(self, wish: Wish, now: float, number: int, on_decided: Decided) -> None:
        """`number`: of its key at the grantor; 0: no token is kept for it."""
        self.caller = wish.caller
        self.urgency = wish.urgency
        self.number = number
        self.max_wait = 0.0
        """For so many seconds it may be held and still be in time."""
        self.hold_until = now
        """It may be held for its token until then."""
        self.answer_deadline = now
        """A grantor has to have said something by then."""
        self.is_held = False
        """Whether it waits for the moment of its token now."""
        self.on_decided = on_decided
        self.is_over = False

    def set_max_wait(self, hold_until: float, max_wait: float) -> None:
        """It may wait for its token."""
        self.hold_until = hold_until
        self.max_wait = max_wait

    def set_answer_deadline(self, deadline: float) -> None:
        """A grantor has to have said something by then."""
        self.answer_deadline = deadline

    def hold(self) -> None:
        """It waits for the moment of its token from now on."""
        self.is_held = True

    def end_hold(self) -> None:
        """The moment of its token has come."""
        self.is_held = False

    def withdraw(self) -> None:
        """Who asked is gone."""
        self.is_over = True

    def decide(self, refusal: Refusal | None) -> None:
        """Tells the outcome, once."""
        if not self.is_over:
            self.is_over = True
            self.on_decided(refusal)


class Admission(Protocol):
    """Decides whether operations may begin."""

    def apply(self, wish: Wish, decided: Decided) -> Application:
        """Calls `decided` once. May decide before it returns."""

    def note_served(self, seconds: float) -> None:
        """Takes in how long an admitted operation took to its first answer."""


class AdmitsAll:
    """Where no caller has a limit."""

    def apply(self, wish: Wish, decided: Decided) -> Application:
        """Admits at once."""
        application = Application(wish, 0.0, 0, decided)
        application.decide(None)
        return application

    def note_served(self, seconds: float) -> None:
        """Nothing waits here, so nothing is learnt."""
