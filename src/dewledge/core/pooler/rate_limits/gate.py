"""Whether an operation of a caller may begin: asked before any work, at the process that took it.

Inputs: the caller's limit (operations a second, of the configuration in force), the statement's
timeout and target latency (seconds), the grantor's answer (a token, or milliseconds until the
operation's own token; its age is one round trip). Decision: admit, hold until the token, or refuse
with the moment to come back. Reason: a caller's limit holds over all processes together, so a token
is asked for from the process that grants for the caller; a process that reaches none admits a part
of the limit of its own (local_allowance.py), and what could not be served in time is refused now.

Owns the operations that wait for an answer or a token. Relies on slot_voters.py for whom to ask,
questions.py for the messages, token_wait.py for how long an operation may be held.
"""

import itertools
import math
from collections.abc import Collection, Mapping

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, WaitUntil
from dewledge.core.pooler.rate_limits.admission import Application, Decided, Refusal, Wish
from dewledge.core.pooler.rate_limits.kept_tokens import KeptToken
from dewledge.core.pooler.rate_limits.limits import TOKEN_LIFETIME_SECONDS, QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.local_allowances import LocalAllowances
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, TokenGrant
from dewledge.core.pooler.rate_limits.questions import Questions, SendQuestion
from dewledge.core.pooler.rate_limits.return_times import DEFAULT_RETRY_MS
from dewledge.core.pooler.rate_limits.slot_voters import (
    SEARCH_SPACING_SECONDS,
    VOTE_INTERVAL_SECONDS,
    SlotVoters,
)
from dewledge.core.pooler.rate_limits.token_wait import (
    FIXED_HOLD_SECONDS,
    HoldTimes,
    hold_or_refuse,
)
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS

QUESTION_RETRY_SECONDS = 0.09
"""Seconds after which a question without an answer is asked once more: two round trips between
regions."""
ANSWER_TIMEOUT_SECONDS = 0.2
"""Seconds after which an operation is refused if no grantor says when its token comes: two
questions to one may be lost. Nothing is known then of when it could be served, so it is not held
for longer."""
TAKEOVER_SECONDS = 0.3
"""Seconds within which a candidate that takes over is found after the votes for the lost one have
lapsed: two questions and their answers. Until then an operation waits if it can still be served."""
INITIAL_SEARCH_SECONDS = 0.8
"""Seconds within which a process that has just started finds its first grantor after it knows the
members: waiting until then serves more operations than refusing."""
GRANTOR_RECHECK_SECONDS = 0.03
"""Seconds between two looks while no grantor is known: a third of what lies between two questions
for one."""
NUMBERS_PER_SECOND = 1_000_000
"""Numbers of operations for each second of the clock at the start: a process that starts anew
begins above all numbers of its earlier start unless that took more operations a second."""


class QuotaGate:
    """The admission of one process."""

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
        """No number comes twice under one name, also after a restart."""
        self._hold_times = HoldTimes()
        self._allowances = LocalAllowances(process_name, policy)
        self._questions = Questions(scheduler, process_name, send)
        self._voters = SlotVoters(scheduler, process_name, self._questions, started_at)

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the limits of callers; without any nothing is asked of other processes."""
        self._allowances.set_limits(limits)
        self._limits = limits
        if not limits:
            self._voters.clear()

    def set_members(self, members: Collection[str]) -> None:
        """Sets the processes among which callers are divided."""
        names = frozenset(members)
        self._allowances.set_members(names)
        self._voters.set_members(names)

    def grantor_of(self, caller: str) -> str:
        """Returns who grants a caller's tokens to this process, empty where none is known."""
        return self._voters.grantor_of(caller)

    def apply(self, wish: Wish, decided: Decided) -> Application:
        """Decides at once, or when the grantor has answered; see Admission.apply."""
        now = self._scheduler.now()
        application = Application(wish, now, self._number_of(wish), decided)
        if wish.caller not in self._limits:
            application.decide(None)
            return application
        application.set_max_wait(
            now + self._hold_seconds(wish),
            self._hold_times.max_wait_seconds(wish.target_latency, wish.statement_timeout),
        )
        self._set_answer_deadline(application)
        self._ask(application)
        return application

    def note_served(self, seconds: float) -> None:
        """Takes in how long an admitted operation took, from its token to its first answer."""
        self._hold_times.record_served(seconds)

    def tick(self) -> float:
        """Votes, and leaves grantors that are gone; returns the seconds until the next time."""
        if not self._limits:
            return VOTE_INTERVAL_SECONDS
        now = self._scheduler.now()
        knows_all = self._voters.tick(now)
        self._questions.forget_unanswered(now)
        return VOTE_INTERVAL_SECONDS if knows_all else SEARCH_SPACING_SECONDS

    def take_answer(self, answer: QuotaAnswer) -> None:
        """Takes an answer."""
        asked = self._questions.match_answer(answer)
        if asked is None:
            return
        if asked.withdraws and self._voters.record_dropped(answer.slot, answer.sender):
            self.tick()
        if not self._voters.handle_answer(answer, asked):
            return
        grants = {grant.caller: grant for grant in answer.grants} if answer.grants_here else {}
        for application in asked.applications:
            self._apply_grant(application, grants.get(application.caller), asked.sent_at)

    def _hold_seconds(self, wish: Wish) -> float:
        if not wish.keeps:
            return FIXED_HOLD_SECONDS
        return self._hold_times.hold_seconds(wish.statement_timeout)

    def _number_of(self, wish: Wish) -> int:
        """Returns the operation's number in its key: that kept for it, or a new one."""
        if not wish.keeps:
            return 0
        return next(self._numbers) if wish.kept is None else wish.kept.number

    def _set_answer_deadline(self, application: Application) -> None:
        """Gives it a moment to hear from a grantor, and the time in which another takes over."""
        now = self._scheduler.now()
        voter = self._voters.voter(self._voters.slot_of(application.caller))
        taken_over = min(voter.vote_valid_until + TAKEOVER_SECONDS, application.hold_until)
        first = voter.search_deadline(now, INITIAL_SEARCH_SECONDS)
        application.set_answer_deadline(max(now + ANSWER_TIMEOUT_SECONDS, taken_over, first))

    def _ask(self, application: Application) -> None:
        """Asks the grantor; without one it looks again, or uses the local allowance in the end."""
        if application.is_over or application.is_held:
            return
        now = self._scheduler.now()
        if now >= application.answer_deadline:
            self._decide_locally(application)
            return
        slot = self._voters.slot_of(application.caller)
        if not self._voters.may_ask(slot, now):
            self._wait_for_grantor(application)
            return
        number = self._questions.ask(slot, self._voters.voter(slot), (application,))
        wait = min(QUESTION_RETRY_SECONDS, application.answer_deadline - now)

        def unanswered() -> None:
            if self._questions.is_open(number):
                self._ask(application)

        self._scheduler.call_later(wait, unanswered)

    def _apply_grant(
        self, application: Application, grant: TokenGrant | None, sent_at: float
    ) -> None:
        if grant is None:
            self._ask(application)
        elif grant.count == 0:
            self._hold_or_refuse(application, grant)
        elif (
            self._scheduler.now() <= sent_at + TOKEN_LIFETIME_SECONDS - grant.age_ms / MILLISECONDS
        ):
            application.decide(None)
        else:
            self._ask(application)

    def _hold_or_refuse(self, application: Application, grant: TokenGrant) -> None:
        """Has it wait for its token if it can be served after that, else refuses it at once."""
        if application.is_held or application.is_over:
            return
        now = self._scheduler.now()
        token_in = grant.come_back_ms / MILLISECONDS
        verdict = hold_or_refuse(now, application.hold_until, token_in, grant.refuses)
        if isinstance(verdict, WaitUntil):
            application.hold()
            self._scheduler.call_later(verdict.at - now, lambda: self._redeem(application))
        elif isinstance(verdict, Refuse):
            application.decide(_refusal(application, verdict, grant.is_kept, now))

    def _redeem(self, application: Application) -> None:
        """The moment of its token has come."""
        application.end_hold()
        self._set_answer_deadline(application)
        self._ask(application)

    def _wait_for_grantor(self, application: Application) -> None:
        """Admits it by the local allowance, else looks again for a grantor while there is time."""
        if self._admit_locally(application.caller):
            application.decide(None)
            return
        now = self._scheduler.now()
        self._voters.voter(self._voters.slot_of(application.caller)).record_waiting_operation(now)
        wait = min(application.answer_deadline - now, GRANTOR_RECHECK_SECONDS)
        self._scheduler.call_later(wait, lambda: self._ask(application))

    def _decide_locally(self, application: Application) -> None:
        """No grantor has answered in time: admits what this process may by itself, and no more."""
        if self._admit_locally(application.caller):
            application.decide(None)
        else:
            application.decide(Refusal(DEFAULT_RETRY_MS, RefusalCause.NO_GRANTOR))

    def _admit_locally(self, caller: str) -> bool:
        voter = self._voters.voter(self._voters.slot_of(caller))
        return self._allowances.admit(caller, self._scheduler.now(), voter.vote_valid_until)


def _refusal(application: Application, verdict: Refuse, is_kept: bool, now: float) -> Refusal:
    kept = None
    if is_kept:
        return_at = now + verdict.come_back_seconds
        kept = KeptToken(application.caller, application.number, return_at)
    come_back_ms = math.ceil(verdict.come_back_seconds * MILLISECONDS)
    return Refusal(come_back_ms, verdict.cause, kept)
