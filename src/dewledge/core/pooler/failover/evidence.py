"""What speaks for and against a primary being lost: the own test, and what others say."""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import IndirectProbeReported, ReachTested

CHECK_LIMIT_SECONDS = 0.45
"""IndirectProbes answer within this; then the majority of all processes must have said no."""
LONE_CHECK_LIMIT_SECONDS = 2.5
"""Without a majority, as after many processes died, it takes this long."""


class ReachEvidence:
    """The evidence on one database."""

    def __init__(self, database: str) -> None:
        self._database = database
        self._own: ReachTested | None = None
        self._probes: dict[str, bool] = {}

    def take(self, event: ReachTested | IndirectProbeReported) -> None:
        """Takes a test or a report; one on another database is passed over."""
        if event.database != self._database:
            return
        if isinstance(event, ReachTested):
            self._own = event
        else:
            self._probes[event.witness] = event.reachable

    @property
    def is_reached(self) -> bool:
        """Whether this process reaches the database."""
        return self._own is not None and self._own.reachable

    @property
    def is_missed(self) -> bool:
        """Whether this process has tried and does not reach it."""
        return self._own is not None and not self._own.reachable

    @property
    def reaching(self) -> Sequence[str]:
        """The processes that reach it, by name."""
        return sorted(name for name, reaches in self._probes.items() if reaches)

    def is_confirmed(
        self, members: Sequence[str], waited: float, may_act_alone: bool = True
    ) -> bool:
        """Tells whether enough processes miss the database. `waited`: since the check began.

        may_act_alone: whether it is enough, after a while, that nobody has told anything else.
        """
        against = 1 + sum(not reaches for reaches in self._probes.values())
        if against >= len(members):
            return True
        if waited >= CHECK_LIMIT_SECONDS and against * 2 > len(members):
            return True
        return may_act_alone and waited >= LONE_CHECK_LIMIT_SECONDS
