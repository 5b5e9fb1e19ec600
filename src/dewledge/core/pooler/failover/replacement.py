"""Replaces a lost primary under a claim: selects a candidate, ends the use of the old primary, and
promotes the candidate.

If the platform checks no fencing tokens, three conditions must hold before a promotion is ordered:
no process can still use the old primary; the store holds the order, so that the next claim holder
orders the same database; and no other process can hold a newer claim. candidate_choice.py selects
the candidate.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.candidate_check import CandidateCheck
from dewledge.core.pooler.failover.candidate_choice import CandidateChoice
from dewledge.core.pooler.failover.claim_writing import (
    order_claim,
    replacement_claim,
    withdrawal_claim,
)
from dewledge.core.pooler.failover.final_catch_up import FinalCatchUp
from dewledge.core.pooler.failover.lease_release import LeaseRelease
from dewledge.core.pooler.failover.loss_watch import Loss
from dewledge.core.pooler.failover.messages import (
    AnnounceLeader,
    Claim,
    ClaimAcknowledged,
    FailoverEffect,
    LossCause,
    Phase,
    Promote,
    PromotionAnswered,
    ReadStatus,
    ReplicationStopped,
    StatusRead,
    SteppedDown,
    WriteClaim,
)
from dewledge.core.pooler.failover.phases import PHASE_TIMEOUT_SECONDS, PhaseEnd
from dewledge.core.pooler.failover.primary_lease import (
    LEASE_SECONDS,
    LONG_AGO,
    Fencing,
    PrimaryLease,
)
from dewledge.core.pooler.failover.situation import Situation, Step
from dewledge.core.pooler.failover.survey import StatusSurvey

ORDER_WRITE_INTERVAL_SECONDS = 1.5
"""Seconds between writes of the order to the store: longer than the timeout of a call to it."""
PROMOTE_INTERVAL_SECONDS = 0.7
"""Seconds between promotion requests to the platform under the same fencing token."""


class PrimaryReplacement:
    """Replacement of a primary by this process, in three phases: choose, release, promote."""

    def __init__(self, local_name: str, lease: PrimaryLease, loss: Loss, lost_since: float) -> None:
        """`lost_since`: since when the group has had no usable primary (steady clock, seconds)."""
        self.candidate = ""
        self.fencing_token = 0
        """Fencing token of the claim under which this process acts, 0 before the store holds it."""
        self._lease = lease
        self._loss = loss
        self._survey = StatusSurvey()
        self._release = LeaseRelease(local_name, loss.replaced, self.is_planned, self._is_unfenced)
        self._phase_started_at = 0.0
        self._next_order_write_at = LONG_AGO
        self._promoted_at = LONG_AGO
        self._has_promoted = False
        self._choice = CandidateChoice(lease, loss, lost_since, self._survey, self._release)
        self._final_catch_up = FinalCatchUp()
        self._min_leader_term = 0
        """Lowest term in which the candidate can lead by this order."""
        self.is_new_primary_confirmed = False
        """Whether the promoted database reported that it leads."""

    @property
    def is_planned(self) -> bool:
        """Whether the old primary is draining and may still serve."""
        return self._loss.is_planned

    @property
    def last_check(self) -> CandidateCheck | None:
        """Last check of the candidates, None before the first."""
        return self._choice.last_check

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def on_claim_stored(self, claim: Claim, now: float) -> None:
        """Records that the store holds a claim of this process."""
        self.fencing_token = claim.fencing_token
        self._next_order_write_at = now
        self._release.on_claim_stored(claim, now)

    def on_answer(
        self, event: StatusRead | ReplicationStopped | ClaimAcknowledged | SteppedDown, now: float
    ) -> None:
        """Applies the answer of a database or the acknowledgement of a process."""
        if isinstance(event, StatusRead):
            self._survey.add(event)
            self._choice.on_status(event)
            return
        if not isinstance(event, ClaimAcknowledged):
            self._survey.add(StatusRead(event.database, event.status))
        if isinstance(event, ReplicationStopped):
            self._choice.on_replication_stopped(event, now)
            return
        self._release.on_answer(event, now)

    def undo(self) -> Sequence[FailoverEffect]:
        """Returns the requests that undo those of an abandoned choice."""
        return self._choice.undo()

    def start_phase(self, now: float) -> None:
        """Records the start of a phase."""
        self._phase_started_at = now
        self._choice.start(now)

    def first_claim(self, situation: Situation) -> WriteClaim:
        """Returns the first claim of the replacement, to be written before anything else."""
        replaced = self._loss.replaced
        term = self._choice.newest_term(situation)
        return replacement_claim(self._lease, situation.members, replaced, self.is_planned, term)

    def announce_if_leading(self, event: StatusRead) -> Sequence[FailoverEffect]:
        """Returns the announcement of the candidate as primary if it reports that it leads.

        Other processes then learn of the new primary even while the store is down.
        """
        if event.database != self.candidate or event.status is None:
            return []
        self.is_new_primary_confirmed = (
            event.status.is_primary and event.status.term >= self._min_leader_term
        )
        return [AnnounceLeader(event.database)] if self.is_new_primary_confirmed else []

    def on_promotion_answer(self, event: PromotionAnswered) -> Step:
        """Applies the platform's answer to a promotion request."""
        if event.database != self.candidate or not event.fenced:
            return Step()
        if self.fencing_token < self._lease.fencing_token:
            return Step((), PhaseEnd.TOKEN_TOO_OLD)
        if self._survey.refused:
            # The platform refused two databases, so another process probably holds a newer claim
            # that this one has not received yet.
            return Step((), PhaseEnd.TOKEN_REFUSED)
        self._survey.mark_refused(event.database)
        return Step((), PhaseEnd.CANDIDATE_REFUSED)

    def step(self, phase: Phase, situation: Situation) -> Step:
        """Returns the next effects in one of the three phases, and the end of the phase."""
        if phase is Phase.CHOOSING:
            return self._choose_candidate(situation)
        if phase is Phase.RELEASING:
            return self._release_old_primary(situation)
        return self._continue_promotion(situation)

    def _choose_candidate(self, situation: Situation) -> Step:
        choice = self._choice.step(situation)
        if choice.end is not None:
            return self._give_up(choice.effects, situation, choice.end)
        if choice.candidate is None:
            return Step(choice.effects)
        self.candidate = choice.candidate
        if self._is_unfenced:
            self._min_leader_term = self._survey.min_leader_term(self.candidate)
            return Step(choice.effects, PhaseEnd.CHOSEN_OLD_IN_USE)
        return Step([*choice.effects, *self._order_promotion(situation.now)], PhaseEnd.CHOSEN)

    # Releasing the old primary.

    def _release_old_primary(self, situation: Situation) -> Step:
        """Orders the promotion once no process can still use the old primary."""
        release, now = self._release, situation.now
        effects: list[FailoverEffect] = [
            *release.step_down_requests(self._survey.next_term, situation.registered, now)
        ]
        if not self._is_order_stored:
            effects += self._store_order(situation)
        effects += release.claims_to_send(situation.registered, now)
        is_released = self._is_order_stored and release.is_complete(situation.registered, now)
        if is_released and self._has_caught_up(effects, now):
            return Step([*effects, *self._order_promotion(now)], PhaseEnd.RELEASED)
        if now > self._phase_started_at + PHASE_TIMEOUT_SECONDS:
            return self._give_up(effects, situation, PhaseEnd.NOT_RELEASED)
        return Step(effects)

    @property
    def _is_order_stored(self) -> bool:
        """Whether the store holds the order under this process's claim."""
        claim = self._lease.claim
        if claim is None or claim.fencing_token != self.fencing_token:
            return False
        return claim.leader == self.candidate and claim.ordered == self.candidate

    def _store_order(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Writes the order to the store before the promotion, so that the next holder knows it."""
        if situation.now < self._next_order_write_at:
            return []
        self._next_order_write_at = situation.now + ORDER_WRITE_INTERVAL_SECONDS
        replaced = self._loss.replaced
        return [order_claim(self._lease, situation.members, replaced, self.candidate)]

    def _has_caught_up(self, effects: list[FailoverEffect], now: float) -> bool:
        """Returns whether the candidate has received the whole log of the old primary.

        Also true if the old primary did not step down, if the candidate's status is unknown, and
        after FINAL_CATCH_UP_TIMEOUT_SECONDS. May append a status request to `effects`.
        """
        final_status = self._release.final_status
        if final_status is None:
            return True
        has_ended = self._final_catch_up.has_ended(now)
        status = self._survey.statuses.get(self.candidate)
        if status is None or status.received >= final_status.received:
            return True
        if self._survey.try_start_retry(now):
            effects.append(ReadStatus(self.candidate))
        return has_ended

    # Promoting.

    def _order_promotion(self, now: float) -> Sequence[FailoverEffect]:
        """Returns the promotion request, or none if another process may hold a newer claim."""
        if not self._is_unfenced:
            self._promoted_at = now
            return [Promote(self.candidate, self.fencing_token)]
        if self._lease.fencing_token != self.fencing_token or not self._lease.is_confirmed(now):
            return []
        self._promoted_at = now
        self._has_promoted = True
        return [
            Promote(self.candidate, self.fencing_token, self._lease.confirmed_at + LEASE_SECONDS)
        ]

    def _continue_promotion(self, situation: Situation) -> Step:
        now = situation.now
        if now > self._phase_started_at + PHASE_TIMEOUT_SECONDS:
            return Step((), PhaseEnd.PROMOTION_WITHOUT_EFFECT)
        effects: list[FailoverEffect] = []
        if self._survey.try_start_retry(now):
            effects.append(ReadStatus(self.candidate))
        if now >= self._promoted_at + PROMOTE_INTERVAL_SECONDS:
            effects += self._order_promotion(now)
        return Step(effects)

    def _give_up(self, effects: list[FailoverEffect], situation: Situation, end: PhaseEnd) -> Step:
        """Ends the replacement; without an order, an unreachable old primary stays primary."""
        effects += self._choice.undo()
        old_primary = self._loss.replaced
        may_stay_primary = self._loss.cause is LossCause.UNREACHABLE and not self._has_promoted
        if self._is_unfenced and may_stay_primary and self.fencing_token:
            effects.append(withdrawal_claim(self._lease, situation.members, old_primary))
        return Step(effects, end)
