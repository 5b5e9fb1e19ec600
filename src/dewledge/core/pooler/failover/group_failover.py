"""State machine by which a process takes part in the failover of a group's primary.

Applies events (test results, claims, statuses, ticks), returns effects, and changes phases by the
table in phases.py. loss_watch.py and reach_check.py decide whether the primary is lost,
replacement.py replaces it, and claim_maintenance.py keeps the claim while the primary is healthy.

Several processes may decide to replace the same primary. The store's conditional write accepts the
claim of one of them, and the others follow that claim.
"""

from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.candidate_check import CandidateCheck, candidates_checked
from dewledge.core.pooler.failover.claim_maintenance import ClaimMaintenance
from dewledge.core.pooler.failover.claim_restatement import ClaimRestatement
from dewledge.core.pooler.failover.claim_turn import CLAIM_HOLDER_TIMEOUT_SECONDS, ClaimTurn
from dewledge.core.pooler.failover.loss_watch import Loss, LossWatch
from dewledge.core.pooler.failover.messages import (
    CandidatesChecked,
    Claim,
    ClaimAcknowledged,
    ClaimReceived,
    ClaimRefused,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    LossCause,
    Phase,
    PhaseChanged,
    PrimarySuspected,
    PromotionAnswered,
    ReachTested,
    ReadStatus,
    RegisteredProcesses,
    ReplicationStopped,
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
from dewledge.core.pooler.failover.replication_restart import ReplicationRestart
from dewledge.core.pooler.failover.situation import GroupLog, Situation, Step

_NO_LOSS = Loss(LossCause.UNREACHABLE, "")
NO_REGISTERED_PROCESSES = RegisteredProcesses()
EMPTY_LOG = GroupLog()
_PRIMARY_USABLE = frozenset(
    {PhaseEnd.NEW_PRIMARY, PhaseEnd.REACHABLE, PhaseEnd.REACHED_BY_OTHER, PhaseEnd.RETURNED}
)
"""Ends of a phase with a primary that serves."""


class GroupFailover:
    """State machine of a group's failover: `handle` applies an event and returns effects."""

    def __init__(
        self,
        group: str,
        local_name: str,
        record: Callable[[PhaseChanged | CandidatesChecked], None],
        lease: PrimaryLease | None = None,
    ) -> None:
        """lease: shared with the code that uses the primary; the default assumes Fencing.PLATFORM.

        record: called with each change of phase, and with each new check of the candidates.
        """
        self._group = group
        self._local_name = local_name
        self._record = record
        self._lease = lease or PrimaryLease(Fencing.PLATFORM)
        self._loss_watch = LossWatch(self._lease)
        self._reach_check = ReachCheck()
        self._claim_turn = ClaimTurn(local_name, self._lease)
        self._claim_maintenance = ClaimMaintenance(local_name, self._lease)
        self._claim_restatement = ClaimRestatement(group, local_name, self._lease)
        self.phase = Phase.STEADY
        self._loss = _NO_LOSS
        self._replacement = PrimaryReplacement(local_name, self._lease, _NO_LOSS, 0.0)
        self._lost_since: float | None = None
        self.newest_term = 0
        """Newest term in a status of a database or in a report of another process, also in earlier
        failovers; 0 before the first."""
        self._last_check: CandidateCheck | None = None
        self._replication_restart = ReplicationRestart(local_name, self._lease, self._claim_turn)
        self._started_at = 0.0
        self._phase_started_at = 0.0

    @property
    def suspected(self) -> str | None:
        """Primary that this process cannot reach, None for none."""
        return self._reach_check.suspected

    @property
    def reached_by(self) -> str | None:
        """Process through which the suspected primary can be reached, None for none."""
        return self._reach_check.reached_by

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def handle(
        self,
        event: FailoverEvent,
        view: GroupView,
        members: Sequence[str],
        now: float,
        registered: RegisteredProcesses = NO_REGISTERED_PROCESSES,
        log: GroupLog = EMPTY_LOG,
    ) -> Sequence[FailoverEffect]:
        """Applies an event and returns the effects; the other parameters are those of Situation."""
        self._apply_event(event, now)
        newest_term = max(log.newest_term, self.newest_term)
        log = msgspec.structs.replace(log, newest_term=newest_term)
        situation = Situation(view, members, registered, now, log)
        effects: list[FailoverEffect] = []
        if isinstance(event, StatusRead) and self.phase is Phase.PROMOTING:
            effects += self._replacement.announce_if_leading(event)
        if isinstance(event, PrimarySuspected):
            effects += self._on_suspicion(event.database, situation)
        effects += self._advance(situation)
        return effects

    # Applying events.

    def _apply_event(self, event: FailoverEvent, now: float) -> None:
        if isinstance(event, IndirectProbeReported):
            self.newest_term = max(self.newest_term, event.term)
        if isinstance(event, ReachTested | IndirectProbeReported):
            self._reach_check.add_evidence(event)
        elif isinstance(event, StatusRead | SteppedDown | ReplicationStopped):
            if event.status is not None:
                self.newest_term = max(self.newest_term, event.status.term)
            self._replacement.on_answer(event, now)
        elif isinstance(event, ClaimReceived):
            self._on_claim(event.claim, now)
        elif isinstance(event, ClaimRefused) and self.phase is Phase.CLAIMING:
            self._claim_turn.record_refusal(now)
        elif isinstance(event, PromotionAnswered) and self.phase is Phase.PROMOTING:
            self._on_promotion_answer(event, now)
        elif isinstance(event, ClaimAcknowledged):
            self._replacement.on_answer(event, now)
            self._claim_maintenance.on_acknowledgement(event, now)

    def _on_claim(self, claim: Claim, now: float) -> None:
        if not self._lease.apply_claim(claim):
            return
        self._claim_turn.on_newer_claim(now)
        if claim.holder == self._local_name:
            if self.phase in HOLDING:
                self._replacement.on_claim_stored(claim, now)
            return
        is_ban = self.phase is Phase.STEADY and not claim.allows(claim.replaced)
        if claim.replaced and (self.phase in ACTING or is_ban):
            self._loss = Loss(self._loss.cause, claim.replaced)
            self._end_phase(PhaseEnd.CLAIMED_BY_OTHER, now, claim.holder)
        elif self.phase in HOLDING and self._is_unfenced:
            self._replacement.fencing_token = 0
            self._end_phase(PhaseEnd.OVERTAKEN_BY_OTHER, now, claim.holder)

    def _on_promotion_answer(self, event: PromotionAnswered, now: float) -> None:
        step = self._replacement.on_promotion_answer(event)
        if step.end is PhaseEnd.TOKEN_REFUSED:
            self._claim_turn.on_token_refused(self._replacement.fencing_token)
            self._replacement.fencing_token = 0
        self._apply_step(step, now)

    # Advancing.

    def _advance(self, situation: Situation) -> Sequence[FailoverEffect]:
        if self._is_unfenced and self._lease.needs_restatement and self.phase is not Phase.STEADY:
            undone = self._replacement.undo()
            self._end_phase(PhaseEnd.STORE_RESTORED, situation.now)
            return [*undone, *self._watch_primary(situation)]
        if self._is_finished(situation.view):
            term_request = self._request_term()
            self._reach_check.clear_suspicion()
            self._end_phase(PhaseEnd.NEW_PRIMARY, situation.now)
            return [*term_request, *self._watch_primary(situation)]
        if self.phase is Phase.STEADY:
            return self._watch_primary(situation)
        if self.phase is Phase.CHECKING:
            return self._continue_check(situation)
        if self.phase is Phase.CLAIMING:
            return self._continue_claim(situation)
        if self.phase in REPLACING:
            return self._continue_replacement(situation)
        return self._continue_following(situation.now)

    def _request_term(self) -> Sequence[FailoverEffect]:
        """Asks the database that this process promoted for its term, if no status has shown it."""
        if self.phase is not Phase.PROMOTING or self._replacement.is_new_primary_confirmed:
            return []
        return [ReadStatus(self._replacement.candidate)]

    def _is_finished(self, view: GroupView) -> bool:
        """Returns whether the failover can end, with a primary that needs no replacement."""
        primary = view.primary
        if self.phase is Phase.STEADY or primary is None or primary.draining:
            return False
        if self._is_unfenced and self.phase in (Phase.RELEASING, Phase.PROMOTING):
            return self._replacement.is_new_primary_confirmed
        if self._lease.is_banned(primary.id):
            return False
        is_another = primary.id != self._loss.replaced or self._replacement.is_planned
        return is_another or self._loss.cause is LossCause.UNFINISHED

    def _watch_primary(self, situation: Situation) -> Sequence[FailoverEffect]:
        view, now = situation.view, situation.now
        restated = self._claim_restatement.step(situation)
        if restated or not self._may_judge(situation):
            return restated
        loss = self._loss_watch.find_loss(view, now)
        if loss is not None:
            self._prepare_replacement(loss, now)
            self._start_claim(situation)
            return []
        primary = view.primary
        claimed = self._loss_watch.leader_to_try(view, now)
        if claimed is not None:
            return [TryLeader(claimed)]
        if primary is None or primary.draining or self._lease.is_banned(primary.id):
            return []
        if self.suspected == primary.id and self._reach_check.may_start(now):
            return self._start_check(primary.id, now)
        return self._claim_maintenance.maintain(situation)

    def _may_judge(self, situation: Situation) -> bool:
        """Returns whether this process knows enough to decide that the primary is lost."""
        if situation.log.synchronous_replicas is None or situation.log.may_be_copy:
            return False
        return not (self._is_unfenced and self._lease.needs_restatement)

    def _prepare_replacement(self, loss: Loss, now: float) -> None:
        self._loss = loss
        self._started_at = now
        if self._lost_since is None:
            self._lost_since = now
        lease, since = self._lease, self._lost_since
        self._replacement = PrimaryReplacement(self._local_name, lease, loss, since)

    # Checking.

    def _on_suspicion(self, database: str, situation: Situation) -> Sequence[FailoverEffect]:
        primary, now = situation.view.primary, situation.now
        if self.phase is not Phase.STEADY or primary is None or primary.id != database:
            return []
        if not self._may_judge(situation) or not self._reach_check.may_start(now):
            return []
        return self._start_check(database, now)

    def _start_check(self, database: str, now: float) -> Sequence[FailoverEffect]:
        effects = self._reach_check.start(database, now)
        self._prepare_replacement(Loss(LossCause.UNREACHABLE, database), now)
        self._end_phase(PhaseEnd.NO_ANSWER, now)
        return effects

    def _continue_check(self, situation: Situation) -> Sequence[FailoverEffect]:
        elapsed = situation.now - self._phase_started_at
        step = self._reach_check.evaluate(situation.members, elapsed, not self._is_unfenced)
        if step.end is PhaseEnd.LOST:
            self._start_claim(situation)
            return self._advance(situation)
        self._apply_step(step, situation.now)
        if step.end is PhaseEnd.REACHABLE:
            primary = self._loss.replaced
            return [*step.effects, *self._replication_restart.requests(primary, situation)]
        return step.effects

    # Claiming.

    def _start_claim(self, situation: Situation) -> None:
        now = situation.now
        is_synchronous = bool(situation.log.synchronous_replicas)
        holder = self._claim_turn.active_holder(self._loss.replaced, now, is_synchronous)
        if holder is not None:
            self._end_phase(PhaseEnd.CLAIMED_BY_OTHER, now, holder)
            return
        self._claim_turn.schedule_first_write(situation.members, now)
        self._end_phase(PhaseEnd.LOST, now, self._loss.cause)

    def _continue_claim(self, situation: Situation) -> Sequence[FailoverEffect]:
        now = situation.now
        if self._replacement.fencing_token:
            self._end_phase(PhaseEnd.CLAIMED, now)
            return self._continue_replacement(situation)
        if not self._claim_turn.may_write(now):
            return []
        self._claim_turn.record_write(now)
        write = self._replacement.first_claim(situation)
        usable_token = self._claim_turn.usable_fencing_token
        if not usable_token or situation.log.synchronous_replicas:
            # With synchronous replicas, the claim must be stored first: it keeps the other
            # processes from starting the replication that this one stops.
            return [write]
        # The last holder acts under its earlier claim at once, and still writes the row, so that
        # the other processes follow it.
        self._replacement.fencing_token = usable_token
        self._end_phase(PhaseEnd.HELD_BEFORE, now)
        return [write, *self._continue_replacement(situation)]

    # Replacing the primary, or following the process that replaces it.

    def _continue_replacement(self, situation: Situation) -> Sequence[FailoverEffect]:
        effects: list[FailoverEffect] = []
        while self.phase in REPLACING:
            before = self.phase
            step = self._replacement.step(before, situation)
            effects += step.effects
            self._record_check(situation)
            self._apply_step(step, situation.now)
            if self.phase is before or self.phase is Phase.PROMOTING:
                break
        return effects

    def _record_check(self, situation: Situation) -> None:
        check = self._replacement.last_check
        if check is None or check == self._last_check:
            return
        self._last_check = check
        self._record(
            candidates_checked(
                self._group,
                situation.log.synchronous_replicas or 0,
                check,
                int((situation.now - self._started_at) * 1000),
            )
        )

    def _apply_step(self, step: Step, now: float) -> None:
        if step.end is PhaseEnd.RETURNED:
            self._reach_check.clear_suspicion()
        if step.end is not None:
            self._end_phase(step.end, now, step.detail)

    def _continue_following(self, now: float) -> Sequence[FailoverEffect]:
        if now >= self._phase_started_at + CLAIM_HOLDER_TIMEOUT_SECONDS:
            self._end_phase(PhaseEnd.HOLDER_WITHOUT_EFFECT, now)
        return []

    def _end_phase(self, end: PhaseEnd, now: float, detail: str = "") -> None:
        transition = TRANSITIONS[end]
        self.phase = transition.next_phase
        if end in _PRIMARY_USABLE:
            self._lost_since = None
        self._phase_started_at = now
        self._replacement.start_phase(now)
        self._record(
            PhaseChanged(
                group=self._group,
                database=self._replacement.candidate or self._loss.replaced,
                phase=self.phase,
                reason=transition.reason + detail,
                token=self._replacement.fencing_token,
                after_ms=int((now - self._started_at) * 1000),
            )
        )
