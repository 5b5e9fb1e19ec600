"""Whether an operation of a caller may begin: asked before any work, at the process that took it.

A caller without a limit is admitted at once. Else a token is asked for from the process that grants
for the caller; a process that reaches none admits a share of its own (local_allowance.py). What is
refused is told when to come back.
"""

import itertools
import math
from collections.abc import Callable, Collection, Mapping

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, WaitUntil
from dewledge.core.pooler.rate_limits.admission import Application, Decided, Refusal, Wish
from dewledge.core.pooler.rate_limits.former_votes import FormerVotes
from dewledge.core.pooler.rate_limits.grantor import VOTE_SECONDS
from dewledge.core.pooler.rate_limits.limits import TOKEN_SECONDS, QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.local_allowances import LocalAllowances
from dewledge.core.pooler.rate_limits.messages import (
    BEARS_MOST_MS,
    QuotaAnswer,
    QuotaQuestion,
    TokenGrant,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.slots import (
    Slot,
    candidates_after,
    candidates_of,
    is_voter,
    slot_count,
    slot_of,
    voting_slots,
)
from dewledge.core.pooler.rate_limits.token_patience import (
    FIXED_HOLD_SECONDS,
    KeptToken,
    TokenPatience,
    judge,
)
from dewledge.core.pooler.rate_limits.voter import Voter
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.shared.units import MILLISECONDS

VOTE_SPACING_SECONDS = 0.3
"""A third of a vote's time, so that two may be lost."""
SEARCH_SPACING_SECONDS = 0.1
"""Between two questions while no grantor is known: some round trips between regions."""
ASK_AGAIN_SECONDS = 0.09
"""A question without an answer is asked once more after this: two round trips between regions."""
UNANSWERED_SECONDS = 0.2
"""An operation is refused if no grantor says when its token comes: two questions to one may be
lost. Nothing is known then of when it could be served, so it is not held for longer."""
TAKE_OVER_SECONDS = 0.3
"""A candidate that takes over is found within this after the votes for the lost one have lapsed:
two questions and their answers. Until then an operation waits if it can still be served."""
FIRST_SEARCH_SECONDS = 0.8
"""A process that has just started finds its first grantor within this after it knows the members:
half a second among 59 that start at once, measured, so that waiting serves more than refusing."""
LOOK_AGAIN_SECONDS = 0.03
"""While no grantor is known: a third of what lies between two questions for one."""
COME_BACK_UNKNOWN_MS = 500
"""Told where no grantor is known: about the time in which one is found."""

SendQuestion = Callable[[str, QuotaQuestion], None]
"""Takes the name of the process to ask, and the question."""


class _Asked(msgspec.Struct, frozen=True):
    """A question under way: for whom, and when it was sent."""

    slot: Slot
    sent_at: float
    applications: tuple[Application, ...]
    withdraws: bool = False


def _want_of(application: Application) -> TokenWant:
    bears_ms = min(application.bears * MILLISECONDS, BEARS_MOST_MS)
    return TokenWant(
        application.caller,
        place=application.place,
        bears_ms=int(bears_ms),
        urgency=application.urgency,
    )


class QuotaGate:
    """The admission of one process."""

    def __init__(
        self,
        scheduler: Scheduler,
        own_name: str,
        policy: QuotaPolicy,
        send: SendQuestion,
        started_at: float,
    ) -> None:
        self._scheduler = scheduler
        self._own_name = own_name
        self._policy = policy
        self._send = send
        self._started_at = started_at
        self._members: frozenset[str] = frozenset({own_name})
        self._limits: Mapping[str, RateLimit] = {}
        self._voters: dict[Slot, Voter] = {}
        self._numbers = itertools.count(1)
        self._places = itertools.count(int(started_at * 1_000_000) + 1)
        """No number comes twice under one name, also after a restart."""
        self._patience = TokenPatience()
        self._asked: dict[int, _Asked] = {}
        self._own_shares = LocalAllowances(own_name, policy)
        self._is_divided_anew = False
        self._former = FormerVotes()
        """Its votes in an earlier division of callers into slots."""

    def set_limits(self, limits: Mapping[str, RateLimit]) -> None:
        """Sets the limits of callers; without any nothing is asked of other processes."""
        self._own_shares.set_limits(limits)
        self._limits = limits
        if not limits:
            self._voters = {}

    def set_members(self, members: Collection[str]) -> None:
        """Sets the processes among which callers are divided."""
        now = self._scheduler.now()
        before, self._members = self._members, frozenset(members)
        if self._members == before:
            return
        self._own_shares.set_members(self._members)
        count = slot_count(len(self._members))
        if any(slot.count != count for slot in self._voters):
            self._divide_anew()
        for slot, voter in self._voters.items():
            candidates = candidates_after(slot, voter.candidates, before, self._members)
            voter.change_candidates(candidates, now)

    def _divide_anew(self) -> None:
        """The slots are other ones now; votes in the old ones bind until they are dropped."""
        now = self._scheduler.now()
        self._is_divided_anew = True
        self._former.leave(self._voters, now)
        self._voters = {}
        self._drop_former(now)

    def _drop_former(self, now: float) -> None:
        for slot, name in self._former.to_be_dropped(now).items():
            self._withdraw(slot, name)

    def _take_dropped(self, answer: QuotaAnswer) -> None:
        if self._former.take_dropped(answer.slot, answer.sender):
            for voter in self._voters.values():
                voter.free()
            self.tick()

    def grantor_of(self, caller: str) -> str:
        """Returns who grants a caller's tokens to this process, empty where none is known."""
        voter = self._voters.get(slot_of(caller, slot_count(len(self._members))))
        if voter is None or not voter.knows_grantor(self._scheduler.now()):
            return ""
        return voter.candidate

    def apply(self, wish: Wish, decided: Decided) -> Application:
        """Decides at once, or when the grantor has answered; see Admission.apply."""
        now = self._scheduler.now()
        application = Application(wish, now, self._place_of(wish), decided)
        if wish.caller not in self._limits:
            application.decide(None)
            return application
        application.until = now + self._patience_of(wish)
        application.bears = self._patience.bears_seconds(
            wish.target_latency, wish.statement_timeout
        )
        self._search_until_answered(application)
        self._ask(application)
        return application

    def note_served(self, seconds: float) -> None:
        """Takes in how long an admitted operation took, from its token to its first answer."""
        self._patience.note_served(seconds)

    def _patience_of(self, wish: Wish) -> float:
        if not wish.keeps:
            return FIXED_HOLD_SECONDS
        return self._patience.hold_seconds(wish.statement_timeout)

    def _place_of(self, wish: Wish) -> int:
        """Returns the operation's number in the line: that kept for it, or a new one."""
        if not wish.keeps:
            return 0
        return next(self._places) if wish.kept is None else wish.kept.place

    def _search_until_answered(self, application: Application) -> None:
        """Gives it a moment to hear from a grantor, and the time in which another takes over."""
        now = self._scheduler.now()
        voter = self._voter(slot_of(application.caller, slot_count(len(self._members))))
        taken_over = min(voter.counted_until + TAKE_OVER_SECONDS, application.until)
        first = self._first_search_until(application.caller)
        application.answer_by = max(now + UNANSWERED_SECONDS, taken_over, first)

    def _first_search_until(self, caller: str) -> float:
        """Returns until when an operation waits for the first grantor that this process finds."""
        voter = self._voter(slot_of(caller, slot_count(len(self._members))))
        return voter.first_search_until(self._scheduler.now(), FIRST_SEARCH_SECONDS)

    def tick(self) -> float:
        """Votes, and leaves grantors that are gone; returns the seconds until the next time."""
        if not self._limits:
            return VOTE_SPACING_SECONDS
        now = self._scheduler.now()
        self._drop_former(now)
        for slot in voting_slots(self._own_name, slot_count(len(self._members))):
            self._voter(slot)
        watched = {slot: it for slot, it in self._voters.items() if it.is_watched(now)}
        for slot, voter in watched.items():
            self._watch(slot, voter, now)
        for number in [n for n, asked in self._asked.items() if asked.sent_at < now - 1.0]:
            del self._asked[number]
        knows_all = all(voter.knows_grantor(now) for voter in watched.values())
        return VOTE_SPACING_SECONDS if knows_all else SEARCH_SPACING_SECONDS

    def _watch(self, slot: Slot, voter: Voter, now: float) -> None:
        """Asks the candidate, with this process's vote if it has one; leaves a silent one."""
        for name in voter.look(now):
            self._put_probe(slot, name)
        for name in voter.withdrawing_from(now):
            self._withdraw(slot, name)
        if voter.is_due(now, VOTE_SPACING_SECONDS, SEARCH_SPACING_SECONDS):
            self._put_question(slot, ())

    def take_answer(self, answer: QuotaAnswer) -> None:
        """Takes an answer."""
        asked = self._asked.pop(answer.number, None)
        if asked is not None and asked.withdraws:
            self._take_dropped(answer)
        voter = self._voters.get(answer.slot)
        if asked is None or voter is None:
            return
        now = self._scheduler.now()
        voter.take_answer(answer, asked.sent_at, now)
        if asked.withdraws and voter.take_withdrawal(answer.sender):
            self._put_question(answer.slot, ())
        grants = {grant.caller: grant for grant in answer.grants} if answer.grants_here else {}
        for application in asked.applications:
            self._take_grant(application, grants.get(application.caller), asked.sent_at)

    def _take_grant(
        self, application: Application, grant: TokenGrant | None, sent_at: float
    ) -> None:
        if grant is None:
            self._ask(application)
        elif grant.count == 0:
            self._hold_or_refuse(application, grant)
        elif self._scheduler.now() <= sent_at + TOKEN_SECONDS - grant.age_ms / MILLISECONDS:
            application.decide(None)
        else:
            self._ask(application)

    def _hold_or_refuse(self, application: Application, grant: TokenGrant) -> None:
        """Has it wait for its token if it can be served after that, else refuses it at once."""
        if application.is_held or application.is_over:
            return
        now = self._scheduler.now()
        token_in = grant.come_back_ms / MILLISECONDS
        verdict = judge(now, application.until, token_in, grant.refuses)
        if isinstance(verdict, WaitUntil):
            application.is_held = True
            self._scheduler.call_later(verdict.at - now, lambda: self._claim(application))
        elif isinstance(verdict, Refuse):
            kept = None
            if grant.is_kept:
                return_at = now + verdict.come_back_seconds
                kept = KeptToken(application.caller, application.place, return_at)
            come_back_ms = math.ceil(verdict.come_back_seconds * MILLISECONDS)
            application.decide(Refusal(come_back_ms, verdict.cause, kept))

    def _claim(self, application: Application) -> None:
        """The moment of its token has come."""
        application.is_held = False
        self._search_until_answered(application)
        self._ask(application)

    def _ask(self, application: Application) -> None:
        if application.is_over or application.is_held:
            return
        now = self._scheduler.now()
        slot = slot_of(application.caller, slot_count(len(self._members)))
        if now >= application.answer_by:
            self._use_own_share(application)
            return
        voter = self._voter(slot)
        if not voter.knows_grantor(now) and not self._begins_to_ask(slot, voter, now):
            self._wait_for_grantor(application)
            return
        number = self._put_question(slot, (application,))
        wait = min(ASK_AGAIN_SECONDS, application.answer_by - now)

        def unanswered() -> None:
            if number in self._asked:
                self._ask(application)

        self._scheduler.call_later(wait, unanswered)

    def _begins_to_ask(self, slot: Slot, voter: Voter, now: float) -> bool:
        """Tells whether an operation asks a candidate of which nothing was heard lately."""
        if not voter.begin_to_ask(now):
            return False
        voter.want(now)
        for name in voter.look(now):
            self._put_probe(slot, name)
        return True

    def _put_question(self, slot: Slot, applications: tuple[Application, ...]) -> int:
        now = self._scheduler.now()
        voter = self._voter(slot)
        votes = voter.may_vote(now)
        if votes:
            voter.note_vote()
        voter.note_question(now)
        number = next(self._numbers)
        self._asked[number] = _Asked(slot, now, applications)
        wants = tuple(_want_of(each) for each in applications)
        question = QuotaQuestion(self._own_name, number, slot, votes, voter.heard_at, wants)
        self._send(voter.candidate, question)
        return number

    def _put_probe(self, slot: Slot, name: str) -> None:
        """Asks a candidate for an answer only: it may be reached again."""
        number = next(self._numbers)
        self._asked[number] = _Asked(slot, self._scheduler.now(), ())
        self._send(name, QuotaQuestion(self._own_name, number, slot, False, None))

    def _withdraw(self, slot: Slot, name: str) -> None:
        number = next(self._numbers)
        self._asked[number] = _Asked(slot, self._scheduler.now(), (), withdraws=True)
        question = QuotaQuestion(self._own_name, number, slot, False, None, withdraws=True)
        self._send(name, question)

    def _wait_for_grantor(self, application: Application) -> None:
        """Admits it by the own share, else looks again for a grantor while there is time."""
        if self._take_own(application.caller):
            application.decide(None)
            return
        slot = slot_of(application.caller, slot_count(len(self._members)))
        self._voter(slot).want(self._scheduler.now())
        left = application.answer_by - self._scheduler.now()
        self._scheduler.call_later(min(left, LOOK_AGAIN_SECONDS), lambda: self._ask(application))

    def _use_own_share(self, application: Application) -> None:
        """No grantor has answered in time: admits what this process may by itself, and no more."""
        if self._take_own(application.caller):
            application.decide(None)
        else:
            application.decide(Refusal(COME_BACK_UNKNOWN_MS, RefusalCause.NO_GRANTOR))

    def _take_own(self, caller: str) -> bool:
        now = self._scheduler.now()
        slot = slot_of(caller, slot_count(len(self._members)))
        return self._own_shares.take(caller, now, self._voter(slot).counted_until)

    def _voter(self, slot: Slot) -> Voter:
        voter = self._voters.get(slot)
        if voter is None:
            now = self._scheduler.now()
            candidates = candidates_of(slot, self._members)
            bound_until = max(self._started_at + VOTE_SECONDS, self._former.count_until)
            started_at = bound_until - VOTE_SECONDS
            has_vote = is_voter(self._own_name, slot)
            voter = Voter(candidates, started_at, now, has_vote, not self._is_divided_anew)
            self._voters[slot] = voter
        return voter
