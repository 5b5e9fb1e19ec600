"""Decides whether a suspected primary is lost, from a local test and indirect probes.

A network failure between this process and the primary is no loss: a primary that any judge can
reach stays primary and is used through that judge. replacement.py replaces a lost primary.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.evidence import MAJORITY_DECISION_SECONDS, ReachEvidence
from dewledge.core.pooler.failover.messages import (
    AskIndirectProbes,
    FailoverEffect,
    IndirectProbeReported,
    ReachTested,
    TestReach,
)
from dewledge.core.pooler.failover.phases import PhaseEnd
from dewledge.core.pooler.failover.primary_lease import LONG_AGO
from dewledge.core.pooler.failover.situation import Step

CHECK_INTERVAL_SECONDS = 0.4
"""Seconds between the starts of two checks of a group's primary."""
INDIRECT_PROBE_DELAY_SECONDS = 0.1
"""Seconds without a result of the local test after which other judges are asked too."""
MAX_CHECK_DURATION_FACTOR = 6
"""Multiple of MAJORITY_DECISION_SECONDS after which an undecided check ends, because answers were
lost; a later suspicion starts a new check."""


class ReachCheck:
    """Checks of a group's primary by this process, at most one at a time."""

    def __init__(self) -> None:
        self.suspected: str | None = None
        """Primary that this process cannot reach; cleared when it is reached or replaced."""
        self.reached_by: str | None = None
        """Process through which the suspected primary can be reached."""
        self._database = ""
        self._evidence = ReachEvidence("")
        self._started_at = LONG_AGO
        self._has_requested_probes = False

    def may_start(self, now: float) -> bool:
        """Returns whether enough time has passed since the start of the last check."""
        return now >= self._started_at + CHECK_INTERVAL_SECONDS

    def start(self, database: str, now: float) -> Sequence[FailoverEffect]:
        """Starts a check; returns the local test to run."""
        self._database = database
        self._evidence = ReachEvidence(database)
        self._started_at = now
        self._has_requested_probes = False
        return [TestReach(database)]

    def add_evidence(self, event: ReachTested | IndirectProbeReported) -> None:
        """Adds the result of the local test or of an indirect probe."""
        self._evidence.add(event)

    def clear_suspicion(self) -> None:
        """Clears the suspicion: the group has a reachable primary."""
        self.suspected = None
        self.reached_by = None

    def evaluate(self, judges: Sequence[str], elapsed: float, may_decide_alone: bool) -> Step:
        """Returns the next effects of the check and, once it is decided, its result.

        elapsed: seconds since the check started.
        """
        evidence = self._evidence
        if evidence.is_reachable_locally:
            self.clear_suspicion()
            return Step((), PhaseEnd.REACHABLE)
        if evidence.is_unreachable_locally:
            self.suspected = self._database
        if evidence.reached_by:
            return self._end_reached_by_other(evidence.reached_by)
        is_confirmed = evidence.is_loss_confirmed(judges, elapsed, may_decide_alone)
        if evidence.is_unreachable_locally and is_confirmed:
            self.reached_by = None
            return Step((), PhaseEnd.LOST)
        effects = self._request_probes(elapsed)
        if elapsed >= MAJORITY_DECISION_SECONDS * MAX_CHECK_DURATION_FACTOR:
            return Step(effects, PhaseEnd.NOT_CONFIRMED)
        return Step(effects)

    def _end_reached_by_other(self, processes: Sequence[str]) -> Step:
        """Ends the check: the primary stays and is used through a process that can reach it."""
        if not self._evidence.is_unreachable_locally:
            return Step()
        reached_by = self.reached_by if self.reached_by in processes else processes[0]
        self.reached_by = reached_by
        return Step((), PhaseEnd.REACHED_BY_OTHER, reached_by or "")

    def _request_probes(self, elapsed: float) -> Sequence[FailoverEffect]:
        are_probes_due = (
            self._evidence.is_unreachable_locally or elapsed >= INDIRECT_PROBE_DELAY_SECONDS
        )
        if self._has_requested_probes or not are_probes_due:
            return []
        self._has_requested_probes = True
        return [AskIndirectProbes(self._database)]
