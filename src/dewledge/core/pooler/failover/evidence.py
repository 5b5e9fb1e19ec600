"""Test results of a reachability check, from this process and from the other judges of the group.

Decides whether enough judges cannot reach a database, so that it counts as lost. Judges are the
processes that decide on the group's primary (candidates.py). Used by reach_check.py.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import IndirectProbeReported, ReachTested

MAJORITY_DECISION_SECONDS = 0.45
"""Seconds from the start of a check after which a majority of the judges is enough: two tests of at
most 0.3 s, the second started 0.1 s after the first, and a datagram each way."""
SOLE_DECISION_SECONDS = 2.5
"""Seconds after which the local test alone is enough, in case most judges died and cannot answer.
Only if the platform fences old primaries."""


class ReachEvidence:
    """Test results for one database, from this process and from other judges."""

    def __init__(self, database: str) -> None:
        self._database = database
        self._local_test: ReachTested | None = None
        self._probe_results: dict[str, bool] = {}

    def add(self, event: ReachTested | IndirectProbeReported) -> None:
        """Adds a test result; results for other databases are ignored."""
        if event.database != self._database:
            return
        if isinstance(event, ReachTested):
            self._local_test = event
        else:
            self._probe_results[event.process] = event.reachable

    @property
    def is_reachable_locally(self) -> bool:
        """Whether this process can reach the database."""
        return self._local_test is not None and self._local_test.reachable

    @property
    def is_unreachable_locally(self) -> bool:
        """Whether this process has tested the database and cannot reach it."""
        return self._local_test is not None and not self._local_test.reachable

    @property
    def reached_by(self) -> Sequence[str]:
        """Names of the other processes that can reach the database, sorted."""
        return sorted(name for name, reaches in self._probe_results.items() if reaches)

    def is_loss_confirmed(
        self, judges: Sequence[str], elapsed: float, may_decide_alone: bool = True
    ) -> bool:
        """Returns whether enough judges cannot reach the database.

        Counts this process among them, so the result is valid only if `is_unreachable_locally`.
        elapsed: seconds since the check began.
        may_decide_alone: whether the local test alone is enough after SOLE_DECISION_SECONDS.
        """
        unreachable_count = 1 + sum(not reaches for reaches in self._probe_results.values())
        if unreachable_count >= len(judges):
            return True
        if elapsed >= MAJORITY_DECISION_SECONDS and unreachable_count * 2 > len(judges):
            return True
        return may_decide_alone and elapsed >= SOLE_DECISION_SECONDS
