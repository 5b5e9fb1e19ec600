"""The evidence of one check of a primary: the own test of its address, and the answers of others.

Inputs: results of tests since the check began. Decision: whether enough processes miss the
database to take it for lost. Used by reach_check.py only.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import IndirectProbeReported, ReachTested

MAJORITY_DECISION_SECONDS = 0.45
"""Seconds from the start of a check until a majority of the judges decides without the others: two
tests of 0.3 s at most, the second begun 0.1 s after the first, and a datagram each way."""
SOLE_DECISION_SECONDS = 2.5
"""Seconds until the own test decides alone, where the platform fences: no majority answers after
many processes died."""


class ReachEvidence:
    """The evidence on one database."""

    def __init__(self, database: str) -> None:
        self._database = database
        self._local_test: ReachTested | None = None
        self._probe_results: dict[str, bool] = {}

    def add(self, event: ReachTested | IndirectProbeReported) -> None:
        """Takes a test or an answer; one about another database is ignored."""
        if event.database != self._database:
            return
        if isinstance(event, ReachTested):
            self._local_test = event
        else:
            self._probe_results[event.process] = event.reachable

    @property
    def is_reached_locally(self) -> bool:
        """Whether this process reaches the database."""
        return self._local_test is not None and self._local_test.reachable

    @property
    def is_missed_locally(self) -> bool:
        """Whether this process has tried and does not reach it."""
        return self._local_test is not None and not self._local_test.reachable

    @property
    def reached_by(self) -> Sequence[str]:
        """The processes that reach it, by name."""
        return sorted(name for name, reaches in self._probe_results.items() if reaches)

    def is_loss_confirmed(
        self, judges: Sequence[str], elapsed: float, may_decide_alone: bool = True
    ) -> bool:
        """Tells whether enough processes miss the database. `waited`: since the check began.

        may_act_alone: whether the own test is enough after LONE_CHECK_LIMIT_SECONDS.
        """
        against = 1 + sum(not reaches for reaches in self._probe_results.values())
        if against >= len(judges):
            return True
        if elapsed >= MAJORITY_DECISION_SECONDS and against * 2 > len(judges):
            return True
        return may_decide_alone and elapsed >= SOLE_DECISION_SECONDS
