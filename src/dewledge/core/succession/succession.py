"""The succession of one group's primary, as one process takes part in it.

A primary is replaced in these cases, each with its reason in the log:

- it says that it leaves (planned), or its entry has been gone for a while;
- it cannot be reached, and the processes asked cannot reach it either;
- no primary is known for a while.

A primary that any process reaches is never replaced for silence: a cut between it and this process
is not its death. Two processes may both believe that they should act; the conditional write of the
claim lets one through. Where the platform checks tokens it refuses one lower than it has seen;
else nobody may use the old primary any more before the new one is promoted (lead_release).
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooling.group_view import GroupView
from dewledge.core.succession.candidates import choose, eligible
from dewledge.core.succession.claim_writing import next_claim
from dewledge.core.succession.evidence import CHECK_LIMIT_SECONDS, ReachEvidence
from dewledge.core.succession.lead_release import LeadRelease
from dewledge.core.succession.lead_right import RIGHT_SECONDS, Fencing, LeadRight
from dewledge.core.succession.loss_watch import LossWatch
from dewledge.core.succession.messages import (
    AnnounceLeader,
    AskWitnesses,
    Claim,
    ClaimKnown,
    ClaimRefused,
    ClaimSeen,
    LossCause,
    Phase,
    PhaseChanged,
    PrimaryDoubted,
    Promote,
    PromotionAnswered,
    ReachTested,
    ReadStatus,
    RegisteredProcesses,
    StatusRead,
    SteppedDown,
    SuccessionEffect,
    SuccessionEvent,
    TestReach,
    WitnessReported,
)
from dewledge.core.succession.standing_claim import StandingClaim
from dewledge.core.succession.survey import StatusSurvey

CHECK_AGAIN_SECONDS = 0.4
ASK_AFTER_SECONDS = 0.1
"""A database that takes connections has done so by then; else the others are asked too."""
MOST_CHECK_LIMITS = 6
"""A check that so many times the usual limit has not decided is begun anew: answers were lost."""
CLAIM_AGAIN_SECONDS = 0.3
STATUS_LIMIT_SECONDS = 0.3
CLAIM_LIMIT_SECONDS = 1.5
CATCH_UP_LIMIT_SECONDS = 2.0
"""A primary that leaves serves on: its successor is given so long to receive all it has."""
LAST_RECEIVED_LIMIT_SECONDS = 0.6
"""One that has stepped down serves nobody: its successor is given so long for the last commits."""
PROMOTE_AGAIN_SECONDS = 0.7
PROMOTION_LIMIT_SECONDS = 6.0
FOLLOW_LIMIT_SECONDS = 3.0
CLAIM_STEP_SECONDS = 0.08
OTHER_HOLDER_SECONDS = 0.5
"""The last holder acts first: turns between holders stay rare."""

_ACTING = frozenset(
    {Phase.CHECKING, Phase.CLAIMING, Phase.CHOOSING, Phase.RELEASING, Phase.PROMOTING}
)
_HOLDING = _ACTING - {Phase.CHECKING}


NONE_REGISTERED = RegisteredProcesses()


class GroupSuccession:
    """The state machine of one group. `handle` takes an event and returns effects."""

    def __init__(
        self,
        group: str,
        own_name: str,
        record: Callable[[PhaseChanged], None],
        right: LeadRight | None = None,
    ) -> None:
        """`right`: shared with those who use the primary; by default the platform fences."""
        self._group = group
        self._own_name = own_name
        self._record = record
        self._right = right or LeadRight(Fencing.PLATFORM)
        self._losses = LossWatch(self._right)
        self._standing = StandingClaim(own_name, self._right)
        self._release = LeadRelease(own_name, "", False)
        self.phase = Phase.STEADY
        self.doubted: str | None = None
        self.reached_by: str | None = None
        self._cause = LossCause.UNREACHABLE
        self._replaced = ""
        self._since = 0.0
        self._phase_since = 0.0
        self._claim_at = 0.0
        self._own_token = 0
        self._spent_token = 0
        """A token that the platform refused; the duty is taken again only under a later one."""
        self._evidence = ReachEvidence("")
        self._survey = StatusSurvey()
        self._candidate = ""
        self._promoted_at = 0.0
        self._has_promoted = False
        self._ban_at = 0.0
        self._claim_seen_at = -1e9
        self._stepped_down_at: float | None = None
        self._last_check = -1e9
        self._asks_witnesses = False
        self._registered = NONE_REGISTERED

    def handle(
        self,
        event: SuccessionEvent,
        view: GroupView,
        members: Sequence[str],
        now: float,
        registered: RegisteredProcesses = NONE_REGISTERED,
    ) -> Sequence[SuccessionEffect]:
        """Takes an event. `members`: the processes that judge the primary, in order of rank.

        registered: all processes, which may use the primary.
        """
        self._registered = registered
        self._take(event, now)
        effects: list[SuccessionEffect] = []
        if isinstance(event, StatusRead):
            effects += self._announce(event)
        if isinstance(event, PrimaryDoubted):
            effects += self._doubt(event.database, view, now)
        effects += self._advance(view, members, now)
        return effects

    def _take(self, event: SuccessionEvent, now: float) -> None:
        if isinstance(event, ReachTested | WitnessReported):
            self._evidence.take(event)
        elif isinstance(event, StatusRead):
            self._survey.take(event)
        elif isinstance(event, ClaimSeen):
            self._see_claim(event.claim, now)
        elif isinstance(event, ClaimRefused) and self.phase is Phase.CLAIMING:
            self._claim_at = now + CLAIM_AGAIN_SECONDS
        elif isinstance(event, PromotionAnswered):
            self._take_promotion(event, now)
        elif isinstance(event, ClaimKnown):
            self._release.take(event, now)
            self._standing.take(event, now)
        elif isinstance(event, SteppedDown):
            self._release.take(event, now)

    def _announce(self, event: StatusRead) -> Sequence[SuccessionEffect]:
        """The chosen database says that it leads: others learn it also without the store."""
        if self.phase is not Phase.PROMOTING or event.database != self._candidate:
            return []
        if event.status is None or not event.status.is_primary:
            return []
        return [AnnounceLeader(event.database)]

    def _see_claim(self, claim: Claim, now: float) -> None:
        if not self._right.take_claim(claim):
            return
        self._claim_seen_at = now
        if claim.holder == self._own_name:
            if self.phase in _HOLDING:
                self._own_token = claim.token
                self._claim_at = now
                self._release.take_claim(claim, now)
            return
        is_ban = self.phase is Phase.STEADY and claim.replaced in claim.banned
        if claim.replaced and (self.phase in _ACTING or is_ban):
            self._replaced = claim.replaced
            self._move(Phase.FOLLOWING, f"claimed_by_{claim.holder}", now)
        elif self.phase in _HOLDING and self._is_unfenced:
            self._own_token = 0
            self._move(Phase.FOLLOWING, f"overtaken_by_{claim.holder}", now)

    def _take_promotion(self, event: PromotionAnswered, now: float) -> None:
        if self.phase is not Phase.PROMOTING or event.database != self._candidate:
            return
        if event.fenced and self._own_token < self._newest_token:
            self._move(Phase.FOLLOWING, "token_too_old", now)
        elif event.fenced and self._survey.refused:
            # Two databases refused: more likely another holds a later token, unknown here.
            self._spent_token = self._own_token
            self._own_token = 0
            self._move(Phase.FOLLOWING, "token_refused", now)
        elif event.fenced:
            self._survey.refuse(event.database)
            self._move(Phase.CHOOSING, "candidate_refused", now)

    def _doubt(self, database: str, view: GroupView, now: float) -> Sequence[SuccessionEffect]:
        primary = view.primary
        if self.phase is not Phase.STEADY or primary is None or primary.id != database:
            return []
        if now < self._last_check + CHECK_AGAIN_SECONDS:
            return []
        return self._start_check(database, now)

    def _start_check(self, database: str, now: float) -> Sequence[SuccessionEffect]:
        self._last_check = now
        self._asks_witnesses = False
        self._begin(LossCause.UNREACHABLE, database, now)
        self._move(Phase.CHECKING, "no_answer", now)
        return [TestReach(database)]

    def _begin(self, cause: LossCause, replaced: str, now: float) -> None:
        self._cause = cause
        self._replaced = replaced
        self._since = now
        self._evidence = ReachEvidence(replaced)
        self._survey = StatusSurvey()
        self._own_token = 0
        self._candidate = ""
        self._has_promoted = False
        self._stepped_down_at = None
        self._release = LeadRelease(self._own_name, replaced, self._is_planned)

    def _advance(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        if self._is_over(view):
            self.doubted = None
            self.reached_by = None
            self._move(Phase.STEADY, "new_primary", now)
        if self.phase is Phase.STEADY:
            return self._watch(view, members, now)
        if self.phase is Phase.CHECKING:
            return self._check(view, members, now)
        if self.phase is Phase.CLAIMING:
            return self._claim_duty(view, members, now)
        if self.phase is Phase.CHOOSING:
            return self._choose(view, members, now)
        if self.phase is Phase.RELEASING:
            return self._release_old(view, members, now)
        if self.phase is Phase.PROMOTING:
            return self._promote_again(view, now)
        return self._follow(view, now)

    def _is_over(self, view: GroupView) -> bool:
        if self.phase is Phase.STEADY:
            return False
        primary = view.primary
        if primary is None:
            return False
        if primary.id != self._replaced and not primary.draining:
            return True
        still_leaving = primary.draining
        return self._is_planned and not still_leaving

    def _watch(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        loss = self._losses.find(view, now)
        if loss is not None:
            self._begin(loss.cause, loss.replaced, now)
            self._start_claim(members, now)
            return []
        primary = view.primary
        if primary is None or primary.draining or self._right.is_banned(primary.id):
            return []
        if self.doubted == primary.id and now >= self._last_check + CHECK_AGAIN_SECONDS:
            return self._start_check(primary.id, now)
        return self._standing.keep(view, members, self._registered, now)

    def _check(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        evidence = self._evidence
        if evidence.is_reached:
            self.doubted = None
            self.reached_by = None
            self._move(Phase.STEADY, "reachable", now)
            return []
        if evidence.is_missed:
            self.doubted = self._replaced
        if evidence.reaching:
            return self._keep_reached(evidence.reaching, now)
        waited = now - self._phase_since
        effects: list[SuccessionEffect] = []
        if not self._asks_witnesses and (evidence.is_missed or waited >= ASK_AFTER_SECONDS):
            self._asks_witnesses = True
            effects.append(AskWitnesses(self._replaced))
        may_act_alone = not self._is_unfenced
        if not evidence.is_missed or not evidence.is_confirmed(members, waited, may_act_alone):
            if waited >= CHECK_LIMIT_SECONDS * MOST_CHECK_LIMITS:
                self._move(Phase.STEADY, "not_confirmed", now)
            return effects
        self.reached_by = None
        self._start_claim(members, now)
        return self._claim_duty(view, members, now)

    def _keep_reached(self, reaching: Sequence[str], now: float) -> Sequence[SuccessionEffect]:
        """Another process reaches the primary: it stays, and is reached through that one."""
        if self._evidence.is_missed:
            self.reached_by = self.reached_by if self.reached_by in reaching else reaching[0]
            self._move(Phase.STEADY, f"reached_by_{self.reached_by}", now)
        return []

    def _start_claim(self, members: Sequence[str], now: float) -> None:
        claim = self._right.claim
        if self._is_unfenced and claim is not None and self._is_at_work(claim, now):
            self._move(Phase.FOLLOWING, f"claimed_by_{claim.holder}", now)
            return
        rank = list(members).index(self._own_name) if self._own_name in members else len(members)
        delay = CLAIM_STEP_SECONDS * rank
        if claim is not None and claim.holder != self._own_name:
            delay += OTHER_HOLDER_SECONDS if claim.holder in members else 0.0
        elif claim is not None:
            delay = 0.0
        self._claim_at = now + delay
        self._move(Phase.CLAIMING, self._cause, now)

    def _is_at_work(self, claim: Claim, now: float) -> bool:
        """Tells whether another process may be replacing the same primary just now."""
        if claim.holder == self._own_name or now >= self._claim_seen_at + FOLLOW_LIMIT_SECONDS:
            return False
        return bool(claim.replaced) and claim.replaced == self._replaced

    def _claim_duty(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        if self._own_token:
            self._move(Phase.CHOOSING, "claimed", now)
            return self._choose(view, members, now)
        if now < self._claim_at:
            return []
        self._claim_at = now + CLAIM_LIMIT_SECONDS
        write = next_claim(self._right, view, members, self._replaced, self._to_ban(view))
        claim = self._right.claim
        if self._is_unfenced or claim is None or claim.holder != self._own_name:
            return [write]
        if claim.token <= self._spent_token:
            return [write]
        # The last holder need not wait for the row, which tells the others to follow.
        self._own_token = claim.token
        self._move(Phase.CHOOSING, "held_before", now)
        return [write, *self._choose(view, members, now)]

    def _to_ban(self, view: GroupView) -> Sequence[str]:
        """The databases that the claim must ban; none while the old primary can step down."""
        if not self._release.must_ban:
            return ()
        return (self._replaced,) if self._replaced else sorted(view.claims)

    @property
    def _is_unfenced(self) -> bool:
        return self._right.fencing is Fencing.PROCESSES

    @property
    def _newest_token(self) -> int:
        return self._right.token

    def _choose(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        survey = self._survey
        names = self._eligible(view)
        wanted = [*names, self._replaced] if self._is_planned else names
        effects: list[SuccessionEffect] = [*survey.ask(wanted)]
        effects += self._release.tell(self._registered, now)
        missing = [name for name in wanted if name not in survey.statuses]
        if missing and now < self._phase_since + STATUS_LIMIT_SECONDS:
            return effects
        chosen = self._ordered_before(names) or choose(names, survey.statuses, {})
        if chosen is None or (chosen not in survey.statuses and not self._waited_for_status(now)):
            if now > self._phase_since + PROMOTION_LIMIT_SECONDS:
                effects += self._give_up(view, members, "no_candidate", now)
            return effects
        is_behind = self._is_planned and survey.is_behind(chosen, self._replaced)
        if is_behind and now < self._phase_since + CATCH_UP_LIMIT_SECONDS:
            if survey.is_time_to_ask_again(now):
                survey.forget_asked()
            return effects
        self._candidate = chosen
        if self._is_unfenced:
            self._claim_at = now
            self._ban_at = now
            self._move(Phase.RELEASING, "chosen", now)
            return [*effects, *self._release_old(view, members, now)]
        return [*effects, *self._promote("chosen", now)]

    def _eligible(self, view: GroupView) -> Sequence[str]:
        names = eligible(view, self._replaced, self._survey.refused)
        return [name for name in names if not self._right.is_banned(name)]

    def _ordered_before(self, names: Sequence[str]) -> str | None:
        """A database that an earlier holder has ordered to lead, and may lead at any moment.

        Another one beside it would be replaced by it without anybody knowing.
        """
        claim = self._right.claim
        if claim is None or claim.ordered not in names:
            return None
        return claim.ordered if claim.ordered in self._survey.statuses else None

    def _release_old(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        """Nobody may use the old primary any more when the new one is promoted."""
        release = self._release
        effects: list[SuccessionEffect] = [*release.step_down(self._survey.next_term, now)]
        if release.must_ban and not release.is_banned and release.stepped_down is None:
            effects += self._ban(view, members, now)
        elif not self._is_order_noted:
            effects += self._note_order(view, members, now)
        effects += release.tell(self._registered, now)
        is_over = self._is_order_noted and release.is_over(self._registered, now)
        if is_over and self._has_received_all(effects, now):
            return [*effects, *self._promote("released", now)]
        if now > self._phase_since + PROMOTION_LIMIT_SECONDS:
            effects += self._give_up(view, members, "not_released", now)
        return effects

    def _ban(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        if now < self._ban_at:
            return []
        self._ban_at = now + CLAIM_LIMIT_SECONDS
        return [next_claim(self._right, view, members, self._replaced, self._to_ban(view))]

    @property
    def _is_order_noted(self) -> bool:
        """Whether the store holds which database is to be promoted, under the own claim."""
        claim = self._right.claim
        if claim is None or claim.token != self._own_token:
            return False
        return claim.ordered == self._candidate

    def _note_order(
        self, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        """Has the store hold the order before it is given: the next holder must know of it."""
        if now < self._claim_at:
            return []
        self._claim_at = now + CLAIM_LIMIT_SECONDS
        claim = self._right.claim
        before = () if claim is None or not claim.ordered else (claim.ordered,)
        banned = [*self._to_ban(view), *(name for name in before if name != self._candidate)]
        return [
            next_claim(self._right, view, members, self._replaced, banned, ordered=self._candidate)
        ]

    def _has_received_all(self, effects: list[SuccessionEffect], now: float) -> bool:
        """Tells whether the candidate has what the old primary held when it stepped down."""
        held = self._release.stepped_down
        if held is None:
            return True
        if self._stepped_down_at is None:
            self._stepped_down_at = now
        status = self._survey.statuses.get(self._candidate)
        if status is None or status.received >= held.received:
            return True
        if self._survey.is_time_to_ask_again(now):
            effects.append(ReadStatus(self._candidate))
        return now >= self._stepped_down_at + LAST_RECEIVED_LIMIT_SECONDS

    def _give_up(
        self, view: GroupView, members: Sequence[str], reason: str, now: float
    ) -> Sequence[SuccessionEffect]:
        """Ends the succession; the ban ends too, since nobody was promoted."""
        self._move(Phase.STEADY, reason, now)
        if not self._is_unfenced or self._has_promoted or not self._own_token:
            return []
        return [next_claim(self._right, view, members, "", freed=[self._replaced])]

    def _promote(self, reason: str, now: float) -> Sequence[SuccessionEffect]:
        self._move(Phase.PROMOTING, reason, now)
        return self._order(now)

    def _order(self, now: float) -> Sequence[SuccessionEffect]:
        """Orders the promotion, unless another process may hold a newer claim by now."""
        if not self._is_unfenced:
            self._promoted_at = now
            return [Promote(self._candidate, self._own_token)]
        if self._right.token != self._own_token or not self._right.is_confirmed(now):
            return []
        self._promoted_at = now
        self._has_promoted = True
        not_after = self._right.confirmed_at + RIGHT_SECONDS
        return [Promote(self._candidate, self._own_token, not_after)]

    @property
    def _is_planned(self) -> bool:
        return self._cause in (LossCause.DRAINING, LossCause.ENTRY_GONE)

    def _waited_for_status(self, now: float) -> bool:
        return now > self._phase_since + 2 * STATUS_LIMIT_SECONDS

    def _promote_again(self, view: GroupView, now: float) -> Sequence[SuccessionEffect]:
        if now > self._phase_since + PROMOTION_LIMIT_SECONDS:
            self._move(Phase.STEADY, "promotion_without_effect", now)
            return []
        effects: list[SuccessionEffect] = []
        if self._survey.is_time_to_ask_again(now):
            effects.append(ReadStatus(self._candidate))
        if now >= self._promoted_at + PROMOTE_AGAIN_SECONDS:
            effects += self._order(now)
        return effects

    def _follow(self, view: GroupView, now: float) -> Sequence[SuccessionEffect]:
        if now < self._phase_since + FOLLOW_LIMIT_SECONDS:
            return []
        self._move(Phase.STEADY, "holder_without_effect", now)
        return []

    def _move(self, phase: Phase, reason: str, now: float) -> None:
        if phase is self.phase:
            return
        self.phase = phase
        self._phase_since = now
        self._record(
            PhaseChanged(
                group=self._group,
                database=self._candidate or self._replaced,
                phase=phase,
                reason=str(reason),
                token=self._own_token,
                after_ms=int((now - self._since) * 1000),
            )
        )
