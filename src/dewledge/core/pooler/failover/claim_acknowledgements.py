"""Which processes know one claim, and when no process can use the old primary any more.

Adds to the lease's rule (primary_lease.py) when all leases on a replaced primary have ended; it
does not say who may use a primary now. Inputs: acknowledgements of processes and when they came,
the moment by which the claim stood in the store (steady clock, seconds), the registered processes.
Decision: whether the holder of the claim may order the promotion. Reason: a process uses the old
primary under a lease that the store or a quorum of the claim's voters confirmed. A process that
knows the claim uses that primary no more. One that does not answer was confirmed last before the
claim stood in the store, or before a majority of the voters knew it, so its lease has lapsed
LEASE_SECONDS after both.
"""

from collections.abc import Collection, Sequence

from dewledge.core.pooler.failover.messages import Claim, RegisteredProcesses
from dewledge.core.pooler.failover.primary_lease import LEASE_SECONDS


class ClaimAcknowledgements:
    """The acknowledgements of one claim."""

    def __init__(self, claim: Claim, written_at: float) -> None:
        """`written_at`: a time, steady clock, by which the claim surely stood in the store."""
        self.claim = claim
        self._written_at = written_at
        self._acknowledged_at: dict[str, float] = {}

    def add(self, process: str, now: float) -> None:
        """A process has acknowledged the claim."""
        self._acknowledged_at.setdefault(process, now)

    def missing(self, processes: Collection[str]) -> Sequence[str]:
        """Returns those of `names` that have not acknowledged the claim."""
        return sorted(name for name in processes if name not in self._acknowledged_at)

    def is_over(self, registered: RegisteredProcesses, now: float) -> bool:
        """Tells whether no process can still use the old primary."""
        if registered.version >= self.claim.fencing_token and not self.missing(registered.names):
            return True
        since = [self._written_at]
        for voters in self.claim.quorums:
            known_at = sorted(
                self._acknowledged_at[name] for name in voters if name in self._acknowledged_at
            )
            majority = len(voters) // 2 + 1
            if len(known_at) < majority:
                return False
            since.append(known_at[majority - 1])
        return now >= max(since) + LEASE_SECONDS


def is_majority(agreed: Collection[str], voters: Sequence[str]) -> bool:
    """Tells whether more than half of `voters` are in `agreed`; never for no voters."""
    return 2 * sum(name in agreed for name in voters) > len(voters)
