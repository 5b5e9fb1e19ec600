"""Has the replicas of a reachable primary receive again after an abandoned replacement.

A process may end during a replacement, after it had the synchronous replicas stop replication. A
primary whose synchronous replicas receive nothing acknowledges no commit, so its statements get no
answer, and the processes check whether it is reachable.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_turn import ClaimTurn
from dewledge.core.pooler.failover.messages import StartReplication
from dewledge.core.pooler.failover.primary_lease import LONG_AGO
from dewledge.core.pooler.failover.situation import Situation

RESTART_REPLICATION_INTERVAL_SECONDS = 2.0
"""Seconds between requests of one judge that the replicas of a reachable primary receive again."""


class ReplicationRestart:
    """Requests to the replicas of one group, made by its judges."""

    def __init__(self, local_name: str, claim_turn: ClaimTurn) -> None:
        self._local_name = local_name
        self._claim_turn = claim_turn
        self._requested_at = LONG_AGO

    def requests(self, primary: str, situation: Situation) -> Sequence[StartReplication]:
        """Returns the requests to make now that `primary` has proved to be reachable."""
        view, now = situation.view, situation.now
        is_judge = self._local_name in situation.members
        if not situation.log.synchronous_replicas or not is_judge:
            return []
        if now < self._requested_at + RESTART_REPLICATION_INTERVAL_SECONDS:
            return []
        if self._claim_turn.active_holder(primary, now, True) is not None:
            return []
        self._requested_at = now
        names = [name for name in sorted(view.databases) if name not in view.departed_since]
        return [StartReplication(name) for name in names if name != primary]
