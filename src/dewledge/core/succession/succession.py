"""The succession of one group's primary, as one process takes part in it.

A primary is replaced in these cases, each with its reason in the log:

- it says that it leaves (planned), or its entry has been gone for a while;
- it cannot be reached, and the processes asked cannot reach it either;
- no primary is known for a while.

A primary that any process reaches is never replaced for silence: a cut between it and this process
is not its death. Two processes may both believe that they should act; the conditional write of the
claim lets one through, and the platform refuses a token lower than one it has seen.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooling.group_view import GroupView
from dewledge.core.succession.candidates import choose, eligible
from dewledge.core.succession.evidence import ReachEvidence
from dewledge.core.succession.messages import (
    AnnounceLeader,
    AskWitnesses,
    Claim,
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
    StatusRead,
    SuccessionEffect,
    SuccessionEvent,
    TestReach,
    WitnessReported,
    WriteClaim,
)
from dewledge.core.succession.survey import StatusSurvey

CHECK_AGAIN_SECONDS = 0.4
ASK_AFTER_SECONDS = 0.1
"""A database that takes connections has done so by then; else the others are asked too."""
CLAIM_AGAIN_SECONDS = 0.3
ENTRY_GONE_SECONDS = 1.5
NONE_KNOWN_SECONDS = 2.5
STATUS_LIMIT_SECONDS = 0.3
CLAIM_LIMIT_SECONDS = 1.5
CATCH_UP_LIMIT_SECONDS = 2.0
"""A primary that leaves serves on: its successor is given so long to receive all it has."""
PROMOTE_AGAIN_SECONDS = 0.7
STANDING_AGAIN_SECONDS = 3.0
PROMOTION_LIMIT_SECONDS = 6.0
FOLLOW_LIMIT_SECONDS = 3.0
CLAIM_STEP_SECONDS = 0.08
OTHER_HOLDER_SECONDS = 0.5
"""The last holder acts first: turns between holders stay rare."""

_ACTING = frozenset({Phase.CHECKING, Phase.CLAIMING, Phase.CHOOSING, Phase.PROMOTING})


class GroupSuccession:
    """The state machine of one group. `handle` takes an event and returns effects."""

    def __init__(self, group: str, own_name: str, record: Callable[[PhaseChanged], None]) -> None:
        self._group = group
        self._own_name = own_name
        self._record = record
        self.phase = Phase.STEADY
        self.doubted: str | None = None
        self.reached_by: str | None = None
        self._cause = LossCause.UNREACHABLE
        self._replaced = ""
        self._since = 0.0
        self._phase_since = 0.0
        self._claim_at = 0.0
        self._claim: Claim | None = None
        self._standing_at = 0.0
        self._own_token = 0
        self._spent_token = 0
        """A token that the platform refused; the duty is taken again only under a later one."""
        self._evidence = ReachEvidence("")
        self._survey = StatusSurvey()
        self._candidate = ""
        self._promoted_at = 0.0
        self._none_since: float | None = None
        self._last_check = -1e9
        self._asks_witnesses = False

    def handle(
        self, event: SuccessionEvent, view: GroupView, members: Sequence[str], now: float
    ) -> Sequence[SuccessionEffect]:
        """Takes an event. `members`: the processes that judge the primary, in order of rank."""
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

    def _announce(self, event: StatusRead) -> Sequence[SuccessionEffect]:
        """The chosen database says that it leads: others learn it also without the store."""
        if self.phase is not Phase.PROMOTING or event.database != self._candidate:
            return []
        if event.status is None or not event.status.is_primary:
            return []
        return [AnnounceLeader(event.database)]

    def _see_claim(self, claim: Claim, now: float) -> None:
        if self._claim is not None and claim.token <= self._claim.token:
            return
        self._claim = claim
        if claim.holder == self._own_name:
            if self.phase in (Phase.CLAIMING, Phase.CHOOSING, Phase.PROMOTING):
                self._own_token = claim.token
            return
        if claim.replaced and self.phase in (
            Phase.CHECKING,
            Phase.CLAIMING,
            Phase.CHOOSING,
            Phase.PROMOTING,
        ):
            self._replaced = claim.replaced
            self._move(Phase.FOLLOWING, f"claimed_by_{claim.holder}", now)

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
            return self._claim_duty(view, now)
        if self.phase is Phase.CHOOSING:
            return self._choose(view, now)
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
        primary = view.primary
        if primary is None:
            if not view.databases:
                return []
            if self._none_since is None:
                self._none_since = now
            if now < self._none_since + NONE_KNOWN_SECONDS:
                return []
            self._begin(LossCause.NONE_KNOWN, "", now)
            self._start_claim(members, now)
            return []
        self._none_since = None
        if self.doubted == primary.id and now >= self._last_check + CHECK_AGAIN_SECONDS:
            return self._start_check(primary.id, now)
        if not primary.draining:
            return self._claim_standing(members, now)
        gone = primary.id in view.departed
        since = view.draining_since.get(primary.id, now)
        if gone and now < since + ENTRY_GONE_SECONDS:
            return []
        if not eligible(view, primary.id, frozenset()):
            return []
        cause = LossCause.ENTRY_GONE if gone else LossCause.DRAINING
        self._begin(cause, primary.id, now)
        self._start_claim(members, now)
        return []

    def _claim_standing(self, members: Sequence[str], now: float) -> Sequence[SuccessionEffect]:
        """Has one process hold the duty from the start, so that it may act without the store."""
        if self._claim is not None or now < self._standing_at or not members:
            return []
        self._standing_at = now + STANDING_AGAIN_SECONDS
        return [WriteClaim("", 0)] if members[0] == self._own_name else []

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
        if not evidence.is_missed or not evidence.is_confirmed(members, waited):
            return effects
        self.reached_by = None
        self._start_claim(members, now)
        return self._claim_duty(view, now)

    def _keep_reached(self, reaching: Sequence[str], now: float) -> Sequence[SuccessionEffect]:
        """Another process reaches the primary: it stays, and is reached through that one."""
        if self._evidence.is_missed:
            self.reached_by = self.reached_by if self.reached_by in reaching else reaching[0]
            self._move(Phase.STEADY, f"reached_by_{self.reached_by}", now)
        return []

    def _start_claim(self, members: Sequence[str], now: float) -> None:
        rank = list(members).index(self._own_name) if self._own_name in members else len(members)
        delay = CLAIM_STEP_SECONDS * rank
        if self._claim is not None and self._claim.holder != self._own_name:
            delay += OTHER_HOLDER_SECONDS if self._claim.holder in members else 0.0
        elif self._claim is not None:
            delay = 0.0
        self._claim_at = now + delay
        self._move(Phase.CLAIMING, self._cause, now)

    def _claim_duty(self, view: GroupView, now: float) -> Sequence[SuccessionEffect]:
        if self._own_token:
            self._move(Phase.CHOOSING, "claimed", now)
            return self._choose(view, now)
        if now < self._claim_at:
            return []
        self._claim_at = now + CLAIM_LIMIT_SECONDS
        write = WriteClaim(self._replaced, self._newest_token)
        if self._claim is None or self._claim.holder != self._own_name:
            return [write]
        if self._claim.token <= self._spent_token:
            return [write]
        # The last holder need not wait for the row, which tells the others to follow.
        self._own_token = self._claim.token
        self._move(Phase.CHOOSING, "held_before", now)
        return [write, *self._choose(view, now)]

    @property
    def _newest_token(self) -> int:
        return 0 if self._claim is None else self._claim.token

    def _choose(self, view: GroupView, now: float) -> Sequence[SuccessionEffect]:
        survey = self._survey
        names = eligible(view, self._replaced, survey.refused)
        wanted = [*names, self._replaced] if self._is_planned else names
        effects: list[SuccessionEffect] = [*survey.ask(wanted)]
        missing = [name for name in wanted if name not in survey.statuses]
        if missing and now < self._phase_since + STATUS_LIMIT_SECONDS:
            return effects
        chosen = choose(names, survey.statuses, {})
        if chosen is None or (chosen not in survey.statuses and not self._waited_for_status(now)):
            if now > self._phase_since + PROMOTION_LIMIT_SECONDS:
                self._move(Phase.STEADY, "no_candidate", now)
            return effects
        is_behind = self._is_planned and survey.is_behind(chosen, self._replaced)
        if is_behind and now < self._phase_since + CATCH_UP_LIMIT_SECONDS:
            if survey.is_time_to_ask_again(now):
                survey.forget_asked()
            return effects
        self._candidate = chosen
        self._promoted_at = now
        self._move(Phase.PROMOTING, "chosen", now)
        return [*effects, Promote(chosen, self._own_token)]

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
            self._promoted_at = now
            effects.append(Promote(self._candidate, self._own_token))
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
