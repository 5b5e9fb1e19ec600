"""The succession of one group's primary, as one process takes part in it.

A primary is replaced in these cases, each with its reason in the log:

- it says that it leaves (planned), or its entry has been gone for a while;
- it cannot be reached, and the processes asked cannot reach it either;
- no primary is known for a while;
- a claim bans it, and the holder of that claim is lost.

A primary that any process reaches is never replaced for silence: a cut between it and this process
is not its death. Two processes may both believe that they should act; the conditional write of the
claim lets one through (replacement.py tells what it does then, and the others follow it).
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.evidence import CHECK_LIMIT_SECONDS, ReachEvidence
from dewledge.core.pooler.failover.loss_watch import Loss, LossWatch
from dewledge.core.pooler.failover.messages import (
    AskIndirectProbes,
    Claim,
    ClaimKnown,
    ClaimRefused,
    ClaimSeen,
    LossCause,
    Phase,
    PhaseChanged,
    PrimaryDoubted,
    PromotionAnswered,
    ReachTested,
    RegisteredProcesses,
    StatusRead,
    SteppedDown,
    SuccessionEffect,
    SuccessionEvent,
    TestReach,
    TryLeader,
    WitnessReported,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.replacement import PrimaryReplacement
from dewledge.core.pooler.failover.situation import Situation, Step
from dewledge.core.pooler.failover.standing_claim import StandingClaim

CHECK_AGAIN_SECONDS = 0.4
ASK_AFTER_SECONDS = 0.1
"""A database that takes connections has done so by then; else the others are asked too."""
MOST_CHECK_LIMITS = 6
"""A check that so many times the usual limit has not decided is begun anew: answers were lost."""
CLAIM_AGAIN_SECONDS = 0.3
CLAIM_LIMIT_SECONDS = 1.5
FOLLOW_LIMIT_SECONDS = 3.0
CLAIM_STEP_SECONDS = 0.08
OTHER_HOLDER_SECONDS = 0.5
"""The last holder acts first: turns between holders stay rare."""

_REPLACING = frozenset({Phase.CHOOSING, Phase.RELEASING, Phase.PROMOTING})
_HOLDING = _REPLACING | {Phase.CLAIMING}
_ACTING = _HOLDING | {Phase.CHECKING}
_NO_LOSS = Loss(LossCause.UNREACHABLE, "")
NONE_REGISTERED = RegisteredProcesses()


class GroupFailover:
    """The state machine of one group. `handle` takes an event and returns effects."""

    def __init__(
        self,
        group: str,
        own_name: str,
        record: Callable[[PhaseChanged], None],
        right: PrimaryLease | None = None,
    ) -> None:
        """`right`: shared with those who use the primary; by default the platform fences."""
        self._group = group
        self._own_name = own_name
        self._record = record
        self._right = right or PrimaryLease(Fencing.PLATFORM)
        self._losses = LossWatch(self._right)
        self._standing = StandingClaim(own_name, self._right)
        self.phase = Phase.STEADY
        self.doubted: str | None = None
        self.reached_by: str | None = None
        self._loss = _NO_LOSS
        self._replacement = PrimaryReplacement(own_name, self._right, _NO_LOSS)
        self._evidence = ReachEvidence("")
        self._since = 0.0
        self._phase_since = 0.0
        self._claim_at = 0.0
        self._claim_seen_at = LONG_AGO
        self._spent_token = 0
        """A token that the platform refused; the duty is taken again only under a later one."""
        self._last_check = LONG_AGO
        self._asks_witnesses = False

    def handle(
        self,
        event: SuccessionEvent,
        view: GroupView,
        members: Sequence[str],
        now: float,
        registered: RegisteredProcesses = NONE_REGISTERED,
    ) -> Sequence[SuccessionEffect]:
        """Takes an event; for the others see Situation."""
        situation = Situation(view, members, registered, now)
        self._take(event, now)
        effects: list[SuccessionEffect] = []
        if isinstance(event, StatusRead) and self.phase is Phase.PROMOTING:
            effects += self._replacement.announce(event)
        if isinstance(event, PrimaryDoubted):
            effects += self._doubt(event.database, view, now)
        effects += self._advance(situation)
        return effects

    @property
    def _is_unfenced(self) -> bool:
        return self._right.fencing is Fencing.PROCESSES

    # Taking events.

    def _take(self, event: SuccessionEvent, now: float) -> None:
        if isinstance(event, ReachTested | WitnessReported):
            self._evidence.take(event)
        elif isinstance(event, StatusRead | SteppedDown):
            self._replacement.take(event, now)
        elif isinstance(event, ClaimSeen):
            self._see_claim(event.claim, now)
        elif isinstance(event, ClaimRefused) and self.phase is Phase.CLAIMING:
            self._claim_at = now + CLAIM_AGAIN_SECONDS
        elif isinstance(event, PromotionAnswered) and self.phase is Phase.PROMOTING:
            self._take_promotion(event, now)
        elif isinstance(event, ClaimKnown):
            self._replacement.take(event, now)
            self._standing.take(event, now)

    def _see_claim(self, claim: Claim, now: float) -> None:
        if not self._right.take_claim(claim):
            return
        self._claim_seen_at = now
        if claim.holder == self._own_name:
            if self.phase in _HOLDING:
                self._replacement.take_claim(claim, now)
            return
        is_ban = self.phase is Phase.STEADY and not claim.allows(claim.replaced)
        if claim.replaced and (self.phase in _ACTING or is_ban):
            self._loss = Loss(self._loss.cause, claim.replaced)
            self._move(Phase.FOLLOWING, f"claimed_by_{claim.holder}", now)
        elif self.phase in _HOLDING and self._is_unfenced:
            self._replacement.own_token = 0
            self._move(Phase.FOLLOWING, f"overtaken_by_{claim.holder}", now)

    def _take_promotion(self, event: PromotionAnswered, now: float) -> None:
        step = self._replacement.take_promotion(event)
        if step.reason == "token_refused":
            self._spent_token = self._replacement.own_token
            self._replacement.own_token = 0
        self._follow_step(step, now)

    # Advancing.

    def _advance(self, situation: Situation) -> Sequence[SuccessionEffect]:
        if self._is_over(situation.view):
            self.doubted = None
            self.reached_by = None
            self._move(Phase.STEADY, "new_primary", situation.now)
        if self.phase is Phase.STEADY:
            return self._watch(situation)
        if self.phase is Phase.CHECKING:
            return self._check(situation)
        if self.phase is Phase.CLAIMING:
            return self._claim_duty(situation)
        if self.phase in _REPLACING:
            return self._replace(situation)
        return self._follow(situation.now)

    def _is_over(self, view: GroupView) -> bool:
        """Tells whether the group has a primary that needs no replacement."""
        primary = view.primary
        if self.phase is Phase.STEADY or primary is None or primary.draining:
            return False
        if self._is_unfenced and self.phase in (Phase.RELEASING, Phase.PROMOTING):
            return self._replacement.is_done
        if self._right.is_banned(primary.id):
            return False
        is_another = primary.id != self._loss.replaced or self._replacement.is_planned
        return is_another or self._loss.cause is LossCause.UNFINISHED

    def _watch(self, situation: Situation) -> Sequence[SuccessionEffect]:
        view, now = situation.view, situation.now
        loss = self._losses.find(view, now)
        if loss is not None:
            self._begin(loss, now)
            self._start_claim(situation)
            return []
        primary = view.primary
        claimed = self._losses.claimed_leader(view, now)
        if claimed is not None:
            return [TryLeader(claimed)]
        if primary is None or primary.draining or self._right.is_banned(primary.id):
            return []
        if self.doubted == primary.id and now >= self._last_check + CHECK_AGAIN_SECONDS:
            return self._start_check(primary.id, now)
        return self._standing.keep(situation)

    def _begin(self, loss: Loss, now: float) -> None:
        self._loss = loss
        self._since = now
        self._evidence = ReachEvidence(loss.replaced)
        self._replacement = PrimaryReplacement(self._own_name, self._right, loss)

    # Checking.

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
        self._begin(Loss(LossCause.UNREACHABLE, database), now)
        self._move(Phase.CHECKING, "no_answer", now)
        return [TestReach(database)]

    def _check(self, situation: Situation) -> Sequence[SuccessionEffect]:
        evidence, now = self._evidence, situation.now
        if evidence.is_reached:
            self.doubted = None
            self.reached_by = None
            self._move(Phase.STEADY, "reachable", now)
            return []
        if evidence.is_missed:
            self.doubted = self._loss.replaced
        if evidence.reaching:
            return self._keep_reached(evidence.reaching, now)
        waited = now - self._phase_since
        effects: list[SuccessionEffect] = []
        if not self._asks_witnesses and (evidence.is_missed or waited >= ASK_AFTER_SECONDS):
            self._asks_witnesses = True
            effects.append(AskIndirectProbes(self._loss.replaced))
        is_confirmed = evidence.is_confirmed(situation.members, waited, not self._is_unfenced)
        if not evidence.is_missed or not is_confirmed:
            if waited >= CHECK_LIMIT_SECONDS * MOST_CHECK_LIMITS:
                self._move(Phase.STEADY, "not_confirmed", now)
            return effects
        self.reached_by = None
        self._start_claim(situation)
        return self._advance(situation)

    def _keep_reached(self, reaching: Sequence[str], now: float) -> Sequence[SuccessionEffect]:
        """Another process reaches the primary: it stays, and is reached through that one."""
        if self._evidence.is_missed:
            self.reached_by = self.reached_by if self.reached_by in reaching else reaching[0]
            self._move(Phase.STEADY, f"reached_by_{self.reached_by}", now)
        return []

    # Claiming.

    def _start_claim(self, situation: Situation) -> None:
        claim, members, now = self._right.claim, list(situation.members), situation.now
        if self._is_unfenced and claim is not None and self._is_at_work(claim, now):
            self._move(Phase.FOLLOWING, f"claimed_by_{claim.holder}", now)
            return
        rank = members.index(self._own_name) if self._own_name in members else len(members)
        delay = CLAIM_STEP_SECONDS * rank
        if claim is not None and claim.holder != self._own_name:
            delay += OTHER_HOLDER_SECONDS if claim.holder in members else 0.0
        elif claim is not None:
            delay = 0.0
        self._claim_at = now + delay
        self._move(Phase.CLAIMING, self._loss.cause, now)

    def _is_at_work(self, claim: Claim, now: float) -> bool:
        """Tells whether another process may be replacing the same primary just now."""
        if claim.holder == self._own_name or now >= self._claim_seen_at + FOLLOW_LIMIT_SECONDS:
            return False
        return bool(claim.replaced) and claim.replaced == self._loss.replaced

    def _claim_duty(self, situation: Situation) -> Sequence[SuccessionEffect]:
        now = situation.now
        if self._replacement.own_token:
            self._move(Phase.CHOOSING, "claimed", now)
            return self._replace(situation)
        if now < self._claim_at:
            return []
        self._claim_at = now + CLAIM_LIMIT_SECONDS
        write = self._replacement.claim(situation)
        claim = self._right.claim
        if self._is_unfenced or claim is None or claim.holder != self._own_name:
            return [write]
        if claim.token <= self._spent_token:
            return [write]
        # The last holder need not wait for the row, which tells the others to follow.
        self._replacement.own_token = claim.token
        self._move(Phase.CHOOSING, "held_before", now)
        return [write, *self._replace(situation)]

    # Replacing, or following who does.

    def _replace(self, situation: Situation) -> Sequence[SuccessionEffect]:
        effects: list[SuccessionEffect] = []
        while self.phase in _REPLACING:
            before = self.phase
            step = self._replacement.step(before, situation)
            effects += step.effects
            self._follow_step(step, situation.now)
            if self.phase is before or self.phase is Phase.PROMOTING:
                break
        return effects

    def _follow_step(self, step: Step, now: float) -> None:
        if step.phase is not None:
            self._move(step.phase, step.reason, now)

    def _follow(self, now: float) -> Sequence[SuccessionEffect]:
        if now >= self._phase_since + FOLLOW_LIMIT_SECONDS:
            self._move(Phase.STEADY, "holder_without_effect", now)
        return []

    def _move(self, phase: Phase, reason: str, now: float) -> None:
        if phase is self.phase:
            return
        self.phase = phase
        self._phase_since = now
        self._replacement.enter(now)
        self._record(
            PhaseChanged(
                group=self._group,
                database=self._replacement.candidate or self._loss.replaced,
                phase=phase,
                reason=str(reason),
                token=self._replacement.own_token,
                after_ms=int((now - self._since) * 1000),
            )
        )
