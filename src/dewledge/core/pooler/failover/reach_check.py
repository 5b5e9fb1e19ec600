"""Judges whether a doubted primary is lost: nobody answers at its address.

Inputs: the own test of the address and the answers of the processes asked (indirect probes), all of
the check under way; the processes that judge this group; seconds since the check began. Decision:
the primary is reachable, is reached by another process, is lost, or is not decided yet. Reason: a
cut between this process and the primary is no loss, so a primary that any process reaches is kept,
and is used through that process. What is done about a lost primary is replacement.py's.
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
"""Seconds between the beginnings of two checks of one group."""
INDIRECT_PROBE_DELAY_SECONDS = 0.1
"""Seconds without a result of the own test after which others are asked too."""
MAX_CHECK_DURATION_FACTOR = 6
"""Multiple of CHECK_LIMIT_SECONDS; a check that has not decided within so many times
CHECK_LIMIT_SECONDS is given up, and begun anew at the next doubt: answers were lost, as days of
tests/unfenced showed."""


class ReachCheck:
    """The checks of one group's primary by one process, one after the other."""

    def __init__(self) -> None:
        self.suspected: str | None = None
        """The primary that this process does not reach, until a check or a new one ends that."""
        self.reached_by: str | None = None
        """The process through which the doubted primary is reached."""
        self._database = ""
        self._evidence = ReachEvidence("")
        self._started_at = LONG_AGO
        self._has_requested_probes = False

    def may_start(self, now: float) -> bool:
        """Tells whether the last check began long enough ago for another one."""
        return now >= self._started_at + CHECK_INTERVAL_SECONDS

    def start(self, database: str, now: float) -> Sequence[FailoverEffect]:
        """Begins a check."""
        self._database = database
        self._evidence = ReachEvidence(database)
        self._started_at = now
        self._has_requested_probes = False
        return [TestReach(database)]

    def add_evidence(self, event: ReachTested | IndirectProbeReported) -> None:
        """Takes a test or an answer."""
        self._evidence.add(event)

    def clear_suspicion(self) -> None:
        """The group has a primary without doubt."""
        self.suspected = None
        self.reached_by = None

    def evaluate(self, judges: Sequence[str], elapsed: float, may_decide_alone: bool) -> Step:
        """Returns what the check has come to. `waited`: seconds since it began."""
        evidence = self._evidence
        if evidence.is_reached_locally:
            self.clear_suspicion()
            return Step((), PhaseEnd.REACHABLE)
        if evidence.is_missed_locally:
            self.suspected = self._database
        if evidence.reached_by:
            return self._end_reached_by_other(evidence.reached_by)
        is_confirmed = evidence.is_loss_confirmed(judges, elapsed, may_decide_alone)
        if evidence.is_missed_locally and is_confirmed:
            self.reached_by = None
            return Step((), PhaseEnd.LOST)
        effects = self._request_probes(elapsed)
        if elapsed >= MAJORITY_DECISION_SECONDS * MAX_CHECK_DURATION_FACTOR:
            return Step(effects, PhaseEnd.NOT_CONFIRMED)
        return Step(effects)

    def _end_reached_by_other(self, processes: Sequence[str]) -> Step:
        """Another process reaches the primary: it stays, and is reached through that one."""
        if not self._evidence.is_missed_locally:
            return Step()
        reached_by = self.reached_by if self.reached_by in processes else processes[0]
        self.reached_by = reached_by
        return Step((), PhaseEnd.REACHED_BY_OTHER, reached_by or "")

    def _request_probes(self, elapsed: float) -> Sequence[FailoverEffect]:
        is_time = self._evidence.is_missed_locally or elapsed >= INDIRECT_PROBE_DELAY_SECONDS
        if self._has_requested_probes or not is_time:
            return []
        self._has_requested_probes = True
        return [AskIndirectProbes(self._database)]
