"""The failover of one group's primary, as one process takes part in it: the state machine.

Inputs: events (tests, answers, claims, statuses, ticks), the group and the processes as known now
(situation.py). Decision: effects, and the next phase by the table of phases.py. Owns the phase.

Whether the primary is lost is judged elsewhere: loss_watch.py by what the group's view shows
(the primary leaves, its entry is gone, no primary is known, the newest claim forbids it), and
reach_check.py by tests of its address. What is done about a lost one is replacement.py's, and what
is done while nothing is lost standing_claim.py's.

Two processes may both decide to replace a primary. The conditional write of the claim lets one
through, and the others follow it.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.claim_turn import FOLLOW_LIMIT_SECONDS, ClaimTurn
from dewledge.core.pooler.failover.loss_watch import Loss, LossWatch
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimKnown,
    ClaimRefused,
    ClaimSeen,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    LossCause,
    Phase,
    PhaseChanged,
    PrimaryDoubted,
    PromotionAnswered,
    ReachTested,
    RegisteredProcesses,
    StatusRead,
    SteppedDown,
    TryLeader,
)
from dewledge.core.pooler.failover.phases import (
    ACTING,
    HOLDING,
    REPLACING,
    TRANSITIONS,
    PhaseEnd,
)
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease
from dewledge.core.pooler.failover.reach_check import ReachCheck
from dewledge.core.pooler.failover.replacement import PrimaryReplacement
from dewledge.core.pooler.failover.situation import Situation, Step
from dewledge.core.pooler.failover.standing_claim import StandingClaim

_NO_LOSS = Loss(LossCause.UNREACHABLE, "")
NONE_REGISTERED = RegisteredProcesses()


class GroupFailover:
    """The state machine of one group. `handle` takes an event and returns effects."""

    def __init__(
        self,
        group: str,
        own_name: str,
        record: Callable[[PhaseChanged], None],
        lease: PrimaryLease | None = None,
    ) -> None:
        """`lease`: shared with those who use the primary; by default the platform fences."""
        self._group = group
        self._own_name = own_name
        self._record = record
        self._lease = lease or PrimaryLease(Fencing.PLATFORM)
        self._losses = LossWatch(self._lease)
        self._reach = ReachCheck()
        self._turn = ClaimTurn(own_name, self._lease)
        self._standing = StandingClaim(own_name, self._lease)
        self.phase = Phase.STEADY
        self._loss = _NO_LOSS
        self._replacement = PrimaryReplacement(own_name, self._lease, _NO_LOSS)
        self._began_at = 0.0
        self._phase_since = 0.0

    @property
    def doubted(self) -> str | None:
        """The primary that this process does not reach, None for none."""
        return self._reach.doubted

    @property
    def reached_by(self) -> str | None:
        """The process through which the doubted primary is reached, None for none."""
        return self._reach.reached_by

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def handle(
        self,
        event: FailoverEvent,
        view: GroupView,
        members: Sequence[str],
        now: float,
        registered: RegisteredProcesses = NONE_REGISTERED,
    ) -> Sequence[FailoverEffect]:
        """Takes an event; for the others see Situation."""
        situation = Situation(view, members, registered, now)
        self._take(event, now)
        effects: list[FailoverEffect] = []
        if isinstance(event, StatusRead) and self.phase is Phase.PROMOTING:
            effects += self._replacement.announce(event)
        if isinstance(event, PrimaryDoubted):
            effects += self._doubt(event.database, view, now)
        effects += self._advance(situation)
        return effects

    # Taking events.

    def _take(self, event: FailoverEvent, now: float) -> None:
        if isinstance(event, ReachTested | IndirectProbeReported):
            self._reach.take(event)
        elif isinstance(event, StatusRead | SteppedDown):
            self._replacement.take(event, now)
        elif isinstance(event, ClaimSeen):
            self._see_claim(event.claim, now)
        elif isinstance(event, ClaimRefused) and self.phase is Phase.CLAIMING:
            self._turn.note_refusal(now)
        elif isinstance(event, PromotionAnswered) and self.phase is Phase.PROMOTING:
            self._take_promotion(event, now)
        elif isinstance(event, ClaimKnown):
            self._replacement.take(event, now)
            self._standing.take(event, now)

    def _see_claim(self, claim: Claim, now: float) -> None:
        if not self._lease.take_claim(claim):
            return
        self._turn.see_claim(now)
        if claim.holder == self._own_name:
            if self.phase in HOLDING:
                self._replacement.take_claim(claim, now)
            return
        is_ban = self.phase is Phase.STEADY and not claim.allows(claim.replaced)
        if claim.replaced and (self.phase in ACTING or is_ban):
            self._loss = Loss(self._loss.cause, claim.replaced)
            self._end_phase(PhaseEnd.CLAIMED_BY_OTHER, now, claim.holder)
        elif self.phase in HOLDING and self._is_unfenced:
            self._replacement.fencing_token = 0
            self._end_phase(PhaseEnd.OVERTAKEN_BY_OTHER, now, claim.holder)

    def _take_promotion(self, event: PromotionAnswered, now: float) -> None:
        step = self._replacement.take_promotion(event)
        if step.end is PhaseEnd.TOKEN_REFUSED:
            self._turn.spend(self._replacement.fencing_token)
            self._replacement.fencing_token = 0
        self._follow_step(step, now)

    # Advancing.

    def _advance(self, situation: Situation) -> Sequence[FailoverEffect]:
        if self._is_over(situation.view):
            self._reach.forget()
            self._end_phase(PhaseEnd.NEW_PRIMARY, situation.now)
        if self.phase is Phase.STEADY:
            return self._watch(situation)
        if self.phase is Phase.CHECKING:
            return self._check(situation)
        if self.phase is Phase.CLAIMING:
            return self._claim(situation)
        if self.phase in REPLACING:
            return self._replace(situation)
        return self._follow(situation.now)

    def _is_over(self, view: GroupView) -> bool:
        """Tells whether the group has a primary that needs no replacement."""
        primary = view.primary
        if self.phase is Phase.STEADY or primary is None or primary.draining:
            return False
        if self._is_unfenced and self.phase in (Phase.RELEASING, Phase.PROMOTING):
            return self._replacement.is_done
        if self._lease.is_banned(primary.id):
            return False
        is_another = primary.id != self._loss.replaced or self._replacement.is_planned
        return is_another or self._loss.cause is LossCause.UNFINISHED

    def _watch(self, situation: Situation) -> Sequence[FailoverEffect]:
        view, now = situation.view, situation.now
        loss = self._losses.find(view, now)
        if loss is not None:
            self._begin(loss, now)
            self._begin_claim(situation)
            return []
        primary = view.primary
        claimed = self._losses.claimed_leader(view, now)
        if claimed is not None:
            return [TryLeader(claimed)]
        if primary is None or primary.draining or self._lease.is_banned(primary.id):
            return []
        if self.doubted == primary.id and self._reach.is_due(now):
            return self._begin_check(primary.id, now)
        return self._standing.keep(situation)

    def _begin(self, loss: Loss, now: float) -> None:
        self._loss = loss
        self._began_at = now
        self._replacement = PrimaryReplacement(self._own_name, self._lease, loss)

    # Checking.

    def _doubt(self, database: str, view: GroupView, now: float) -> Sequence[FailoverEffect]:
        primary = view.primary
        if self.phase is not Phase.STEADY or primary is None or primary.id != database:
            return []
        if not self._reach.is_due(now):
            return []
        return self._begin_check(database, now)

    def _begin_check(self, database: str, now: float) -> Sequence[FailoverEffect]:
        effects = self._reach.begin(database, now)
        self._begin(Loss(LossCause.UNREACHABLE, database), now)
        self._end_phase(PhaseEnd.NO_ANSWER, now)
        return effects

    def _check(self, situation: Situation) -> Sequence[FailoverEffect]:
        waited = situation.now - self._phase_since
        step = self._reach.judge(situation.members, waited, not self._is_unfenced)
        if step.end is PhaseEnd.LOST:
            self._begin_claim(situation)
            return self._advance(situation)
        self._follow_step(step, situation.now)
        return step.effects

    # Claiming.

    def _begin_claim(self, situation: Situation) -> None:
        now = situation.now
        holder = self._turn.holder_at_work(self._loss.replaced, now)
        if holder is not None:
            self._end_phase(PhaseEnd.CLAIMED_BY_OTHER, now, holder)
            return
        self._turn.begin(situation.members, now)
        self._end_phase(PhaseEnd.LOST, now, self._loss.cause)

    def _claim(self, situation: Situation) -> Sequence[FailoverEffect]:
        now = situation.now
        if self._replacement.fencing_token:
            self._end_phase(PhaseEnd.CLAIMED, now)
            return self._replace(situation)
        if not self._turn.is_due(now):
            return []
        self._turn.note_write(now)
        write = self._replacement.claim(situation)
        held = self._turn.held_fencing_token
        if not held:
            return [write]
        # The last holder need not wait for the row, which tells the others to follow.
        self._replacement.fencing_token = held
        self._end_phase(PhaseEnd.HELD_BEFORE, now)
        return [write, *self._replace(situation)]

    # Replacing, or following the process that does.

    def _replace(self, situation: Situation) -> Sequence[FailoverEffect]:
        effects: list[FailoverEffect] = []
        while self.phase in REPLACING:
            before = self.phase
            step = self._replacement.step(before, situation)
            effects += step.effects
            self._follow_step(step, situation.now)
            if self.phase is before or self.phase is Phase.PROMOTING:
                break
        return effects

    def _follow_step(self, step: Step, now: float) -> None:
        if step.end is not None:
            self._end_phase(step.end, now, step.detail)

    def _follow(self, now: float) -> Sequence[FailoverEffect]:
        if now >= self._phase_since + FOLLOW_LIMIT_SECONDS:
            self._end_phase(PhaseEnd.HOLDER_WITHOUT_EFFECT, now)
        return []

    def _end_phase(self, end: PhaseEnd, now: float, detail: str = "") -> None:
        transition = TRANSITIONS[end]
        self.phase = transition.next_phase
        self._phase_since = now
        self._replacement.enter(now)
        self._record(
            PhaseChanged(
                group=self._group,
                database=self._replacement.candidate or self._loss.replaced,
                phase=self.phase,
                reason=transition.reason + detail,
                token=self._replacement.fencing_token,
                after_ms=int((now - self._began_at) * 1000),
            )
        )
