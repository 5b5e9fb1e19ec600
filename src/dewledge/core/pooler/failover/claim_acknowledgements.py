"""Tracks which processes acknowledged a claim, and when no process can hold a lease without it.

A process uses a primary only under a lease, which the store or a quorum of voters confirms
(primary_lease.py). A process that acknowledged the claim uses no primary that the claim forbids. A
process that did not acknowledge it can renew its lease only until the store holds the claim and a
majority of each earlier set of voters knows it; LEASE_SECONDS later, that lease has expired.
"""

from collections.abc import Collection, Sequence

from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    RegisteredProcesses,
)
from dewledge.core.pooler.failover.primary_lease import LEASE_SECONDS
from dewledge.core.pooler.store_versions import era_of


class ClaimAcknowledgements:
    """Acknowledgements of a claim, with the time of each."""

    def __init__(self, claim: Claim, written_at: float) -> None:
        """written_at: a time by which the store certainly held the claim (steady clock)."""
        self.claim = claim
        self._written_at = written_at
        self._acknowledged_at: dict[str, float] = {}

    def add(self, process: str, now: float) -> None:
        """Records that a process acknowledged the claim."""
        self._acknowledged_at.setdefault(process, now)

    def apply(self, event: ClaimAcknowledged, now: float) -> None:
        """Records an acknowledgement of this claim, or of a later one of the same holder.

        A higher token of another holder is no acknowledgement: that claim may allow another
        database.
        """
        token = self.claim.fencing_token
        is_later = event.fencing_token > token and event.holder == self.claim.holder
        if is_later or event.fencing_token == token:
            self.add(event.process, now)

    def missing(self, processes: Collection[str]) -> Sequence[str]:
        """Returns those of `processes` that have not acknowledged the claim."""
        return sorted(name for name in processes if name not in self._acknowledged_at)

    def is_effective(self, registered: RegisteredProcesses, now: float) -> bool:
        """Returns whether no process can hold a lease without knowing the claim.

        From then on, no process uses a primary that the claim forbids. The list of registered
        processes counts only if it is complete.
        """
        if self._is_complete(registered) and not self.missing(registered.names):
            return True
        last_confirmations = [self._written_at]
        for voters in self.claim.quorums:
            acknowledged_at = sorted(
                self._acknowledged_at[name] for name in voters if name in self._acknowledged_at
            )
            majority = len(voters) // 2 + 1
            if len(acknowledged_at) < majority:
                return False
            last_confirmations.append(acknowledged_at[majority - 1])
        return now >= max(last_confirmations) + LEASE_SECONDS

    def _is_complete(self, registered: RegisteredProcesses) -> bool:
        """Returns whether a list of processes names all that can hold a lease.

        A list that is older than the claim may lack one. After a restore of the store, rows are
        missing until leases that were confirmed without them have expired.
        """
        token, version = self.claim.fencing_token, registered.version
        if self.claim.restates is not None or era_of(version) != era_of(token):
            return False
        return version >= token


def is_majority(agreed: Collection[str], voters: Sequence[str]) -> bool:
    """Returns whether more than half of `voters` are in `agreed`; False without voters."""
    return 2 * sum(name in agreed for name in voters) > len(voters)
