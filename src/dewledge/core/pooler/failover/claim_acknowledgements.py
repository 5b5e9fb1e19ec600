"""When the holder of a claim may promote: nobody may use the old primary any more.

Pure state of one claim. A process has the right to use the old primary from the store's word or
from the vouching of more than half of the claim's voters. Both are over once the process itself
knows the new claim. Of a process that does not answer they are over LEASE_SECONDS after the claim
was written, and after more than half of the voters knew it and so vouched for the old one no more.
"""

from collections.abc import Collection, Sequence

from dewledge.core.pooler.failover.messages import Claim, RegisteredProcesses
from dewledge.core.pooler.failover.primary_lease import LEASE_SECONDS


class ClaimAcknowledgements:
    """Collects which processes know a claim."""

    def __init__(self, claim: Claim, written_at: float) -> None:
        """`written_at`: a time, steady clock, by which the claim surely stood in the store."""
        self.claim = claim
        self._written_at = written_at
        self._knows: dict[str, float] = {}

    def take(self, name: str, now: float) -> None:
        """A process told that it knows the claim."""
        self._knows.setdefault(name, now)

    def missing(self, names: Collection[str]) -> Sequence[str]:
        """Returns those of `names` that have not told that they know the claim."""
        return sorted(name for name in names if name not in self._knows)

    def is_over(self, registered: RegisteredProcesses, now: float) -> bool:
        """Tells whether no process can still use the old primary."""
        if registered.version >= self.claim.fencing_token and not self.missing(registered.names):
            return True
        since = [self._written_at]
        for voters in self.claim.quorums:
            told = sorted(self._knows[name] for name in voters if name in self._knows)
            majority = len(voters) // 2 + 1
            if len(told) < majority:
                return False
            since.append(told[majority - 1])
        return now >= max(since) + LEASE_SECONDS


def is_majority(agreed: Collection[str], voters: Sequence[str]) -> bool:
    """Tells whether more than half of `voters` are in `agreed`; never for no voters."""
    return 2 * sum(name in agreed for name in voters) > len(voters)
