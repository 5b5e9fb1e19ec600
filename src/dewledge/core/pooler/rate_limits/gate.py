"""Admits operations by their callers' rate limits, in the process that receives them.

A caller's limit holds over all processes together, so the gate requests a token from the process
that grants for the caller. The gate then admits the operation, holds it until its token is
available, or refuses it with a time to retry. An operation that cannot be served within its timeout
is refused at once. A process that reaches no grantor admits a small part of the limit by itself
(local_allowances.py).

Holds the operations that wait for an answer or a token. slot_voters.py chooses the grantor,
questions.py sends the messages, and token_wait.py decides how long an operation may be held.
"""

import itertools
import math
from collections.abc import Collection, Mapping

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, WaitUntil
from dewledge.core.pooler.rate_limits.admission import (
    AdmissionRequest,
    OnDecided,
    PendingAdmission,
    Refusal,
)
from dewledge.core.pooler.rate_limits.limits import TOKEN_LIFETIME_SECONDS, QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.local_allowances import LocalAllowances
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, TokenGrant
from dewledge.core.pooler.rate_limits.questions import Questions, SendQuestion
from dewledge.core.pooler.rate_limits.retry_times import DEFAULT_RETRY_MS
from dewledge.core.pooler.rate_limits.slot_voters import (
    SEARCH_INTERVAL_SECONDS,
    VOTE_INTERVAL_SECONDS,
    SlotVoters,
)
from dewledge.core.pooler.rate_limits.token_reservations import KeptToken
from dewledge.core.pooler.rate_limits.token_wait import (
    FIXED_HOLD_SECONDS,
    HoldTimes,
    hold_or_refuse,
)
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

QUESTION_RETRY_SECONDS = 0.09
"""Seconds after which an unanswered question is asked again: two round trips between regions."""
ANSWER_TIMEOUT_SECONDS = 0.2
"""Seconds after which an operation without a grantor's answer is decided locally. Two questions may
be lost. Without an answer it is not known when the operation could be served, so it is not held for
longer."""
TAKEOVER_SECONDS = 0.3
"""Seconds for finding the next grantor after the votes for a lost one have expired: two questions
and their answers. An operation waits that long if it can still be served."""
INITIAL_SEARCH_SECONDS = 0.8
"""Seconds for finding the first grantor after a process started and knows the members; waiting
serves more operations than refusing them."""
GRANTOR_RECHECK_SECONDS = 0.03
"""Seconds between two checks for a grantor while none is known: a third of the interval between two
questions for one."""
NUMBERS_PER_SECOND = 1_000_000
"""Numbers reserved for each second of the clock. The first number follows from the start time, so a
restarted process uses numbers above all earlier ones unless it took more operations a second."""


class QuotaGate:
    """Admission control in this process."""

    def __init__(
        self,
        scheduler: Scheduler,
        process_name: str,
        policy: QuotaPolicy,
        send: SendQuestion,
        started_at: float,
    ) -> None:
        self._scheduler = scheduler
        self._limits: Mapping[str, RateLimit] = {}
        self._numbers = itertools.count(int(started_at * NUMBERS_PER_SECOND) + 1)
        """The operation numbers, unique under the process's name even after a restart."""
        self._hold_times = HoldTimes()
        self._allowances = LocalAllowances(process_name, policy)
        self._questions = Questions(scheduler, process_name, send)
        self._voters = SlotVoters(scheduler, process_name, self._questions, started_at)

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the callers' limits; without any, no other process is asked."""
        self._allowances.set_limits(limits)
        self._limits = limits
        if not limits:
            self._voters.clear()

    def set_members(self, members: Collection[str]) -> None:
        """Sets the processes that grant and vote."""
        names = frozenset(members)
        self._allowances.set_members(names)
        self._voters.set_members(names)

    def grantor_of(self, caller: str) -> str:
        """Returns the process that grants a caller's tokens to this one, or "" if none is known."""
        return self._voters.grantor_of(caller)

    def submit(self, request: AdmissionRequest, on_decided: OnDecided) -> PendingAdmission:
        """Requests admission of an operation; see `Admission`."""
        now = self._scheduler.now()
        pending = PendingAdmission(request, now, self._number_of(request), on_decided)
        if request.caller not in self._limits:
            pending.decide(None)
            return pending
        pending.set_hold_limits(
            now + self._hold_seconds(request),
            self._hold_times.max_wait_seconds(request.target_latency, request.statement_timeout),
        )
        self._set_answer_deadline(pending)
        self._ask(pending)
        return pending

    def record_served(self, seconds: float) -> None:
        """Records the time from an operation's token to its first answer."""
        self._hold_times.record_served(seconds)

    def tick(self) -> float:
        """Sends votes and replaces silent grantors; returns the seconds until the next call."""
        if not self._limits:
            return VOTE_INTERVAL_SECONDS
        now = self._scheduler.now()
        has_all_grantors = self._voters.tick(now)
        self._questions.forget_unanswered(now)
        return VOTE_INTERVAL_SECONDS if has_all_grantors else SEARCH_INTERVAL_SECONDS

    def handle_answer(self, answer: QuotaAnswer) -> None:
        """Handles a grantor's answer: applies its grants to the operations that asked."""
        asked = self._questions.match_answer(answer)
        if asked is None:
            return
        if asked.withdraws and self._voters.record_dropped(answer.slot, answer.sender):
            self.tick()
        if not self._voters.handle_answer(answer, asked):
            return
        grants = {grant.caller: grant for grant in answer.grants} if answer.grants_here else {}
        for pending in asked.applications:
            self._apply_grant(pending, grants.get(pending.caller), asked.sent_at)

    def _hold_seconds(self, request: AdmissionRequest) -> float:
        if not request.keeps:
            return FIXED_HOLD_SECONDS
        return self._hold_times.hold_seconds(request.statement_timeout)

    def _number_of(self, request: AdmissionRequest) -> int:
        """Returns the operation's number: that of its reservation, or a new one."""
        if not request.keeps:
            return 0
        return next(self._numbers) if request.kept is None else request.kept.number

    def _set_answer_deadline(self, pending: PendingAdmission) -> None:
        """Allows time for an answer, and for finding another grantor if this one is lost."""
        now = self._scheduler.now()
        voter = self._voters.voter(self._voters.slot_of(pending.caller))
        takeover_deadline = min(voter.vote_valid_until + TAKEOVER_SECONDS, pending.hold_until)
        search_deadline = voter.search_deadline(now, INITIAL_SEARCH_SECONDS)
        pending.set_answer_deadline(
            max(now + ANSWER_TIMEOUT_SECONDS, takeover_deadline, search_deadline)
        )

    def _ask(self, pending: PendingAdmission) -> None:
        """Asks the grantor, waits for one if none is known, or decides locally at the deadline."""
        if pending.is_over or pending.is_held:
            return
        now = self._scheduler.now()
        if now >= pending.answer_deadline:
            self._decide_locally(pending)
            return
        slot = self._voters.slot_of(pending.caller)
        if not self._voters.may_ask(slot, now):
            self._wait_for_grantor(pending)
            return
        number = self._questions.ask(slot, self._voters.voter(slot), (pending,))
        wait = min(QUESTION_RETRY_SECONDS, pending.answer_deadline - now)

        def unanswered() -> None:
            if self._questions.is_open(number):
                self._ask(pending)

        self._scheduler.call_later(wait, unanswered)

    def _apply_grant(
        self, pending: PendingAdmission, grant: TokenGrant | None, sent_at: float
    ) -> None:
        if grant is None:
            self._ask(pending)
        elif grant.count == 0:
            self._hold_or_refuse(pending, grant)
        elif (
            self._scheduler.now()
            <= sent_at + TOKEN_LIFETIME_SECONDS - grant.age_ms / MILLISECONDS_PER_SECOND
        ):
            pending.decide(None)
        else:
            self._ask(pending)

    def _hold_or_refuse(self, pending: PendingAdmission, grant: TokenGrant) -> None:
        """Holds the operation if it can still be served after its token, otherwise refuses it."""
        if pending.is_held or pending.is_over:
            return
        now = self._scheduler.now()
        token_delay = grant.come_back_ms / MILLISECONDS_PER_SECOND
        verdict = hold_or_refuse(now, pending.hold_until, token_delay, grant.refuses)
        if isinstance(verdict, WaitUntil):
            pending.hold()
            self._scheduler.call_later(verdict.at - now, lambda: self._redeem(pending))
        elif isinstance(verdict, Refuse):
            pending.decide(_refusal(pending, verdict, grant.is_kept, now))

    def _redeem(self, pending: PendingAdmission) -> None:
        """Asks the grantor again, now that the operation's token should be available."""
        pending.end_hold()
        self._set_answer_deadline(pending)
        self._ask(pending)

    def _wait_for_grantor(self, pending: PendingAdmission) -> None:
        """Admits the operation by the local allowance, or checks for a grantor again later."""
        if self._admit_locally(pending.caller):
            pending.decide(None)
            return
        now = self._scheduler.now()
        self._voters.voter(self._voters.slot_of(pending.caller)).record_waiting_operation(now)
        wait = min(pending.answer_deadline - now, GRANTOR_RECHECK_SECONDS)
        self._scheduler.call_later(wait, lambda: self._ask(pending))

    def _decide_locally(self, pending: PendingAdmission) -> None:
        """Admits the operation by the local allowance, or refuses it, without a grantor."""
        if self._admit_locally(pending.caller):
            pending.decide(None)
        else:
            pending.decide(Refusal(DEFAULT_RETRY_MS, RefusalCause.NO_GRANTOR))

    def _admit_locally(self, caller: str) -> bool:
        voter = self._voters.voter(self._voters.slot_of(caller))
        return self._allowances.admit(caller, self._scheduler.now(), voter.vote_valid_until)


def _refusal(pending: PendingAdmission, verdict: Refuse, is_reserved: bool, now: float) -> Refusal:
    reservation = None
    if is_reserved:
        retry_at = now + verdict.come_back_seconds
        reservation = KeptToken(pending.caller, pending.number, retry_at)
    retry_after_ms = math.ceil(verdict.come_back_seconds * MILLISECONDS_PER_SECOND)
    return Refusal(retry_after_ms, verdict.cause, reservation)
