"""Selects the database to promote, among those that hold what the group needs.

A candidate must follow the newest term known of the group: one that does not may hold commits that
an earlier promotion rolled back, and lacks those made since. If none follows it, the group waits
for one, or for the old primary, up to LOST_TERM_TIMEOUT_SECONDS.

If the group has synchronous replicas, a candidate must also be proven to hold all acknowledged
commits (commit_proof.py). Without a proof, the group waits for its other databases.

Used by replacement.py in the phase choosing.
"""

from collections.abc import Sequence

import msgspec

from dewledge.core.pooler.failover.candidate_check import CandidateCheck
from dewledge.core.pooler.failover.candidates import (
    LOST_TERM_TIMEOUT_SECONDS,
    choose_candidate,
    eligible_databases,
    following_databases,
    possible_copies,
)
from dewledge.core.pooler.failover.claim_writing import last_order
from dewledge.core.pooler.failover.commit_proof import CommitProof, Copies
from dewledge.core.pooler.failover.final_catch_up import FinalCatchUp
from dewledge.core.pooler.failover.lease_release import STEP_DOWN_INTERVAL_SECONDS, LeaseRelease
from dewledge.core.pooler.failover.loss_watch import Loss
from dewledge.core.pooler.failover.messages import (
    FailoverEffect,
    LossCause,
    ReplicationStopped,
    StatusRead,
    StepDown,
)
from dewledge.core.pooler.failover.phases import PHASE_TIMEOUT_SECONDS, PhaseEnd
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation
from dewledge.core.pooler.failover.survey import StatusSurvey

STATUS_WAIT_SECONDS = 0.3
"""Seconds that the selection waits for the statuses of all databases. If the platform fences old
primaries and no database has reported a status after twice that time, one is selected without."""
CATCH_UP_TIMEOUT_SECONDS = 2.0
"""Seconds that the candidate has to catch up with a draining primary that still serves. Promoted at
once, it would lack the commits on their way to it, and they would be rolled back."""
PROMOTION_LEAD_SECONDS = 2.0
"""Seconds before a draining primary gets no more work at which a candidate that is behind is
promoted after all: the time that a promotion takes, with one repetition of the request."""


class Choice(msgspec.Struct, frozen=True):
    """Result of a step: effects, and the candidate or the end of the search, None for neither."""

    effects: list[FailoverEffect]
    candidate: str | None = None
    end: PhaseEnd | None = None


class CandidateChoice:
    """Choice of the database to promote during one replacement."""

    def __init__(
        self,
        lease: PrimaryLease,
        loss: Loss,
        lost_since: float,
        survey: StatusSurvey,
        release: LeaseRelease,
    ) -> None:
        """`lost_since`: since when the group has had no usable primary (steady clock, seconds)."""
        self.last_check: CandidateCheck | None = None
        """Last check of the candidates, None before the first."""
        self._lease = lease
        self._loss = loss
        self._lost_since = lost_since
        self._survey = survey
        self._release = release
        self._proof = CommitProof()
        self._final_catch_up = FinalCatchUp()
        self._started_at = 0.0
        self._step_down_sent_at = LONG_AGO

    @property
    def _is_unfenced(self) -> bool:
        return self._lease.fencing is Fencing.PROCESSES

    def start(self, now: float) -> None:
        """Records the start of the phase."""
        self._started_at = now

    def on_status(self, event: StatusRead) -> None:
        """Applies a database's answer to a request for its status."""
        if event.status is not None:
            self._proof.observe(event.database, event.status)

    def on_replication_stopped(self, event: ReplicationStopped, now: float) -> None:
        """Applies a database's answer to a request to stop replication."""
        self._proof.add(event, now)

    def undo(self) -> Sequence[FailoverEffect]:
        """Returns the requests that undo those to stop replication, when nothing is promoted."""
        return self._proof.start_requests()

    def newest_term(self, situation: Situation) -> int:
        """Returns the newest term that this process, the store or a database knows of."""
        claim = self._lease.claim
        stored = 0 if claim is None else claim.term
        return max(situation.log.newest_term, stored, self._survey.newest_term)

    def step(self, situation: Situation) -> Choice:
        """Returns the next requests and, once it is selected, the candidate."""
        effects = self._request_statuses(situation)
        if not self._has_status_wait_ended(situation):
            return Choice(effects)
        names = self._eligible_databases(situation)
        if self._is_unfenced:
            effects += self._stop_unordered_leaders(names, situation.now)
            names = [name for name in names if self._survey.follows(name)]
        return self._select(names, effects, situation)

    def _select(
        self, names: Sequence[str], effects: list[FailoverEffect], situation: Situation
    ) -> Choice:
        ordered = self._previously_ordered
        if ordered is None:
            following = self._following(names, situation)
            if names and not following and not self._is_term_given_up(situation.now):
                return self._wait_for_old_primary(effects, situation)
            names = following or names
        chosen = ordered or choose_candidate(names, self._survey.statuses)
        if chosen is None or self._must_wait_for_any_status(chosen, situation.now):
            return self._wait(effects, situation)
        if self._must_wait_for_catch_up(chosen, situation):
            self._repeat_requests(situation.now)
            return Choice(effects)
        if not situation.log.synchronous_replicas or chosen == ordered:
            return Choice(effects, chosen)
        effects += self._end_acknowledgements(situation)
        proven = self._find_proven(names, situation)
        if proven is None:
            return self._wait_for_old_primary(effects, situation)
        return Choice(effects, proven)

    # Statuses.

    def _request_statuses(self, situation: Situation) -> list[FailoverEffect]:
        effects: list[FailoverEffect] = [*self._survey.requests(self._wanted(situation))]
        effects += self._release.claims_to_send(situation.registered, situation.now)
        return effects

    def _wanted(self, situation: Situation) -> Sequence[str]:
        names = self._eligible_databases(situation)
        return [*names, self._loss.replaced] if self._loss.is_planned else names

    def _has_status_wait_ended(self, situation: Situation) -> bool:
        missing = [name for name in self._wanted(situation) if name not in self._survey.statuses]
        return not missing or situation.now >= self._started_at + STATUS_WAIT_SECONDS

    def _must_wait_for_any_status(self, chosen: str, now: float) -> bool:
        """Returns whether `chosen` has reported no status, and still may."""
        is_known = chosen in self._survey.statuses
        return not is_known and now <= self._started_at + 2 * STATUS_WAIT_SECONDS

    def _must_wait_for_catch_up(self, chosen: str, situation: Situation) -> bool:
        """Returns whether a draining primary still serves and `chosen` has received less.

        A primary that answers is waited for until shortly before it gets no more work.
        """
        survey, primary = self._survey, self._loss.replaced
        still_serves = self._loss.is_planned and self._release.final_status is None
        if not still_serves or not survey.is_behind(chosen, primary):
            return False
        limit = self._started_at + CATCH_UP_TIMEOUT_SECONDS
        if primary not in survey.silent:
            limit = max(limit, situation.log.serves_until(primary) - PROMOTION_LEAD_SECONDS)
        return situation.now < limit

    def _repeat_requests(self, now: float) -> None:
        """Has the next step ask for all statuses again, at most once in an interval."""
        if self._survey.try_start_retry(now):
            self._survey.reset_asked()

    def _wait(self, effects: list[FailoverEffect], situation: Situation) -> Choice:
        has_timed_out = situation.now > self._started_at + PHASE_TIMEOUT_SECONDS
        return Choice(effects, end=PhaseEnd.NO_CANDIDATE if has_timed_out else None)

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

    # The newest term.

    def _following(self, names: Sequence[str], situation: Situation) -> Sequence[str]:
        """Returns those of `names` that follow the newest term known, and records the check."""
        statuses, newest = self._survey.statuses, self.newest_term(situation)
        following = following_databases(names, statuses, situation.log.observed_term, newest)
        self.last_check = CandidateCheck(dict(statuses), newest, tuple(following))
        return following

    def _is_term_given_up(self, now: float) -> bool:
        return now >= self._lost_since + LOST_TERM_TIMEOUT_SECONDS

    def _wait_for_old_primary(self, effects: list[FailoverEffect], situation: Situation) -> Choice:
        """Waits for another candidate, or for the old primary to answer as leader."""
        survey, replaced = self._survey, self._loss.replaced
        self._repeat_requests(situation.now)
        if self._loss.cause is LossCause.UNREACHABLE:
            effects += survey.requests([replaced])
            status = survey.statuses.get(replaced)
            newest = self.newest_term(situation)
            if status is not None and status.is_primary and status.term >= newest:
                return Choice(effects, end=PhaseEnd.RETURNED)
        return self._wait(effects, situation)

    # Synchronous replicas.

    def _end_acknowledgements(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns requests after which the old primary can acknowledge no more commits."""
        survey, release, now = self._survey, self._release, situation.now
        requests = release.step_down_requests(survey.next_term, situation.registered, now)
        if release.is_stepping_down:
            return requests
        if release.final_status is not None and not self._final_catch_up.has_ended(now):
            self._repeat_requests(now)
            return []
        copies = possible_copies(situation.view, self._loss.replaced, now)
        return self._proof.stop_requests(copies, survey.stop_term, now)

    def _find_proven(self, names: Sequence[str], situation: Situation) -> str | None:
        """Returns the proven candidate with the highest position, None for none.

        A draining replica is selected only if none of `names` is proven.
        """
        statuses, final = self._survey.statuses, self._release.final_status
        copies = possible_copies(situation.view, self._loss.replaced, situation.now)
        proof = self._proof.check(
            [*names, *self._draining_candidates(copies, situation)],
            Copies(copies, situation.log.synchronous_replicas or 0),
            statuses,
            None if final is None else final.received,
        )
        if self.last_check is not None:
            self.last_check = msgspec.structs.replace(self.last_check, proof=proof)
        eligible = [name for name in proof.proven if name in names]
        return choose_candidate(eligible or proof.proven, statuses)

    def _draining_candidates(self, copies: Sequence[str], situation: Situation) -> Sequence[str]:
        survey, databases = self._survey, situation.view.databases
        names = [
            name
            for name in copies
            if databases[name].draining and survey.follows(name) and name not in survey.refused
        ]
        observed, newest = situation.log.observed_term, self.newest_term(situation)
        return following_databases(names, survey.statuses, observed, newest)
