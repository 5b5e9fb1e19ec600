"""Has the replicas of a reachable primary receive again after an abandoned replacement.

A process may end during a replacement, after it had the synchronous replicas stop replication. A
primary whose synchronous replicas receive nothing acknowledges no commit, so its statements get no
answer, and the processes check whether it is reachable.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_turn import ClaimTurn
from dewledge.core.pooler.failover.messages import StartReplication
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation

REPLACEMENT_SECONDS = 15.0
"""Seconds after its claim in which a process may still replace the primary: the phases choosing and
promoting, and what precedes them."""
RESTART_REPLICATION_INTERVAL_SECONDS = 2.0
"""Seconds between requests of one judge that the replicas of a reachable primary receive again."""


class ReplicationRestart:
    """Requests to the replicas of one group, made by its judges."""

    def __init__(self, local_name: str, lease: PrimaryLease, claim_turn: ClaimTurn) -> None:
        self._local_name = local_name
        self._lease = lease
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
        if not self._is_replacement_over(now):
            return []
        self._requested_at = now
        names = [name for name in sorted(view.databases) if name not in view.departed_since]
        return [StartReplication(name) for name in names if name != primary]

    def _is_replacement_over(self, now: float) -> bool:
        """Returns whether no process can be replacing the primary, by the newest claim known."""
        is_newest = self._lease.is_confirmed(now)
        return is_newest and now >= self._claim_turn.claim_learned_at + REPLACEMENT_SECONDS
