"""Replaces a lost primary under a claim: selects a candidate, ends the use of the old primary, and
promotes the candidate.

If the platform checks no fencing tokens, three conditions must hold before a promotion is ordered:
no process can still use the old primary; the store holds the order, so that the next claim holder
orders the same database; and no other process can hold a newer claim.

If the group has synchronous replicas, a candidate must be proven to hold all acknowledged commits
(commit_proof.py). Without a proof, the group waits for its other databases, without a primary.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.candidates import (
    choose_candidate,
    eligible_databases,
    possible_copies,
)
from dewledge.core.pooler.failover.claim_writing import (
    last_order,
    order_claim,
    replacement_claim,
    withdrawal_claim,
)
from dewledge.core.pooler.failover.commit_proof import CommitProof, Copies, ProofCheck
from dewledge.core.pooler.failover.lease_release import STEP_DOWN_INTERVAL_SECONDS, LeaseRelease
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
    StepDown,
    SteppedDown,
    WriteClaim,
)
from dewledge.core.pooler.failover.phases import PhaseEnd
from dewledge.core.pooler.failover.primary_lease import (
    LEASE_SECONDS,
    LONG_AGO,
    Fencing,
    PrimaryLease,
)
from dewledge.core.pooler.failover.situation import Situation, Step
from dewledge.core.pooler.failover.survey import StatusSurvey

STATUS_WAIT_SECONDS = 0.3
"""Seconds that the selection waits for the statuses of all databases. If the platform fences old
primaries and no database has reported a status after twice that time, one is selected without."""
CATCH_UP_TIMEOUT_SECONDS = 2.0
"""Seconds that the candidate has to catch up with a draining primary that still serves. Promoted at
once, it would lack the commits on their way to it, and they would be rolled back."""
FINAL_CATCH_UP_TIMEOUT_SECONDS = 0.6
"""Seconds that the candidate has to receive the last commits of a primary that stepped down; the
group has no primary in that time."""
ORDER_WRITE_INTERVAL_SECONDS = 1.5
"""Seconds between writes of the order to the store: longer than the timeout of a call to it."""
PROMOTE_INTERVAL_SECONDS = 0.7
"""Seconds between promotion requests to the platform under the same fencing token."""
PHASE_TIMEOUT_SECONDS = 6.0
"""Seconds that each of the phases choosing, releasing and promoting may last; then the replacement
is given up."""


class PrimaryReplacement:
    """Replacement of a primary by this process, in three phases: choose, release, promote."""

    def __init__(self, local_name: str, lease: PrimaryLease, loss: Loss) -> None:
        self.candidate = ""
        self.fencing_token = 0
        """Fencing token of the claim under which this process acts, 0 before the store holds it."""
        self._lease = lease
        self._loss = loss
        self._survey = StatusSurvey()
        self._proof = CommitProof()
        self.last_check: ProofCheck | None = None
        """Last check of the candidates, None if the group has no synchronous replicas."""
        self._release = LeaseRelease(local_name, loss.replaced, self.is_planned, self._is_unfenced)
        self._phase_started_at = 0.0
        self._next_order_write_at = LONG_AGO
        self._promoted_at = LONG_AGO
        self._has_promoted = False
        self._step_down_sent_at = LONG_AGO
        self._min_leader_term = 0
        """Lowest term in which the candidate can lead by this order."""
        self.is_new_primary_confirmed = False
        """Whether the promoted database reported that it leads."""
        self._stepped_down_at: float | None = None

    @property
    def is_planned(self) -> bool:
        """Whether the old primary is draining and may still serve."""
        return self._loss.cause in (LossCause.DRAINING, LossCause.ENTRY_GONE)

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
            return
        if not isinstance(event, ClaimAcknowledged):
            self._survey.add(StatusRead(event.database, event.status))
        if isinstance(event, ReplicationStopped):
            self._proof.add(event)
            return
        self._release.on_answer(event, now)

    def start_phase(self, now: float) -> None:
        """Records the start of a phase."""
        self._phase_started_at = now

    def first_claim(self, situation: Situation) -> WriteClaim:
        """Returns the first claim of the replacement, to be written before anything else."""
        replaced = self._loss.replaced
        return replacement_claim(self._lease, situation.members, replaced, self.is_planned)

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

    # Choosing.

    def _choose_candidate(self, situation: Situation) -> Step:
        survey, now = self._survey, situation.now
        names = self._eligible_databases(situation)
        wanted = [*names, self._loss.replaced] if self.is_planned else names
        effects: list[FailoverEffect] = [*survey.requests(wanted)]
        effects += self._release.claims_to_send(situation.registered, now)
        missing = [name for name in wanted if name not in survey.statuses]
        if missing and now < self._phase_started_at + STATUS_WAIT_SECONDS:
            return Step(effects)
        if self._is_unfenced:
            effects += self._stop_unordered_leaders(names, now)
            names = [name for name in names if survey.follows(name)]
        chosen = self._previously_ordered or choose_candidate(names, survey.statuses)
        if chosen is None or (
            chosen not in survey.statuses and not self._has_status_wait_ended(now)
        ):
            if now > self._phase_started_at + PHASE_TIMEOUT_SECONDS:
                return self._give_up(effects, situation, PhaseEnd.NO_CANDIDATE)
            return Step(effects)
        still_serves = self.is_planned and self._release.final_status is None
        is_behind = still_serves and survey.is_behind(chosen, self._loss.replaced)
        if is_behind and now < self._phase_started_at + CATCH_UP_TIMEOUT_SECONDS:
            if survey.try_start_retry(now):
                survey.reset_asked()
            return Step(effects)
        if situation.durability.synchronous_replicas and chosen != self._previously_ordered:
            effects += self._end_acknowledgements(situation)
            chosen = self._find_proven(names, situation)
            if chosen is None:
                return self._wait_for_proof(effects, situation)
        self.candidate = chosen
        if self._is_unfenced:
            self._min_leader_term = survey.min_leader_term(chosen)
            return Step(effects, PhaseEnd.CHOSEN_OLD_IN_USE)
        return Step([*effects, *self._order_promotion(now)], PhaseEnd.CHOSEN)

    def _eligible_databases(self, situation: Situation) -> Sequence[str]:
        """Returns the databases that may lead; after an unfinished claim, also the old primary."""
        is_unfinished = self._loss.cause is LossCause.UNFINISHED
        replaced = "" if is_unfinished else self._loss.replaced
        return eligible_databases(situation.view, replaced, self._survey.refused)

    @property
    def _previously_ordered(self) -> str | None:
        """Database whose promotion was ordered by an earlier claim holder, None for none.

        That database leads, or may start to at any time, so its promotion must be ordered again: it
        could take over unnoticed from any other database promoted now.
        """
        ordered = last_order(self._lease, self._loss.replaced)
        is_candidate = ordered in self._survey.statuses and ordered not in self._survey.refused
        return ordered if is_candidate and self._is_unfenced else None

    def _stop_unordered_leaders(self, names: Sequence[str], now: float) -> Sequence[FailoverEffect]:
        """Asks databases that lead without a promotion order to step down.

        Otherwise such a database would serve statements as soon as a claim names it leader, before
        its promotion.
        """
        ordered = self._previously_ordered
        unordered = [name for name in names if self._survey.leads(name) and name != ordered]
        if not unordered or now < self._step_down_sent_at + STEP_DOWN_INTERVAL_SECONDS:
            return []
        self._step_down_sent_at = now
        return [StepDown(name, self._survey.next_term) for name in unordered]

    # Proving that the candidate holds all acknowledged commits.

    def _end_acknowledgements(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns requests after which the old primary can acknowledge no more commits."""
        survey, release, now = self._survey, self._release, situation.now
        requests = release.step_down_requests(survey.next_term, situation.registered, now)
        if release.is_stepping_down:
            return requests
        if release.final_status is not None and not self._has_final_catch_up_ended(now):
            if survey.try_start_retry(now):
                survey.reset_asked()
            return []
        copies = possible_copies(situation.view, self._loss.replaced, now)
        return self._proof.stop_requests(copies, survey.stop_term, now)

    def _find_proven(self, names: Sequence[str], situation: Situation) -> str | None:
        """Returns the proven candidate with the highest position, None for none.

        A draining replica is selected only if none of `names` is proven.
        """
        survey, view = self._survey, situation.view
        copies = possible_copies(view, self._loss.replaced, situation.now)
        draining = [name for name in copies if view.databases[name].draining]
        others = [name for name in draining if survey.follows(name) and name not in survey.refused]
        final = self._release.final_status
        position = None if final is None else final.received
        departed = {
            name: situation.durability.proven_since(since)
            for name, since in view.departed_since.items()
        }
        check = self._proof.check(
            [*names, *others],
            Copies(copies, departed, situation.durability.synchronous_replicas or 0),
            survey.statuses,
            position,
        )
        self.last_check = check
        eligible = [name for name in check.proven if name in names]
        return choose_candidate(eligible or check.proven, survey.statuses)

    def _wait_for_proof(self, effects: list[FailoverEffect], situation: Situation) -> Step:
        if situation.now > self._phase_started_at + PHASE_TIMEOUT_SECONDS:
            effects += self._proof.start_requests()
            return self._give_up(effects, situation, PhaseEnd.NO_CANDIDATE)
        return Step(effects)

    def _has_final_catch_up_ended(self, now: float) -> bool:
        """Returns whether the last commits of a primary that stepped down have had their time."""
        if self._stepped_down_at is None:
            self._stepped_down_at = now
        return now >= self._stepped_down_at + FINAL_CATCH_UP_TIMEOUT_SECONDS

    def _has_status_wait_ended(self, now: float) -> bool:
        return now > self._phase_started_at + 2 * STATUS_WAIT_SECONDS

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
        has_ended = self._has_final_catch_up_ended(now)
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
        old_primary = self._loss.replaced
        may_stay_primary = self._loss.cause is LossCause.UNREACHABLE and not self._has_promoted
        if self._is_unfenced and may_stay_primary and self.fencing_token:
            effects.append(withdrawal_claim(self._lease, situation.members, old_primary))
        return Step(effects, end)
