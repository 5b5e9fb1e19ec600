"""Keeps the claim of a group whose primary is well: a claim that replaces nothing.

Inputs: the judges of the group and since when they are the same (seconds), the newest claim known,
acknowledgements of processes. Decision: when to write the claim, and to whom to send it. Reason:
where the platform fences, one process holds the claim from the start, so that it can act while the
store is down; where it does not, the claim names the voters of today. Sets of earlier voters stay
in the claim until a majority of each knows it, so that two disjoint majorities never count at
once.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.claim_writing import maintenance_claim
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimKnown,
    FailoverEffect,
    SendClaim,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation

CLAIM_WRITE_INTERVAL_SECONDS = 3.0
"""Seconds between two writes of this claim by one process."""
STABLE_JUDGES_SECONDS = 1.0
"""Seconds for which the judges are the same before the claim is written. Later judges wait that
much longer each."""
CLAIM_SEND_INTERVAL_SECONDS = 0.25
"""Seconds between two sendings of the claim to processes that have not acknowledged it."""


class ClaimMaintenance:
    """One process's part in keeping the standing claim of a group."""

    def __init__(self, local_name: str, lease: PrimaryLease) -> None:
        self._local_name = local_name
        self._lease = lease
        self._next_write_at = LONG_AGO
        self._judges: tuple[str, ...] = ()
        self._judges_since = 0.0
        self._acknowledgements: ClaimAcknowledgements | None = None
        self._sent_at = LONG_AGO

    def on_acknowledgement(self, event: ClaimKnown, now: float) -> None:
        """A process acknowledged a claim."""
        known = self._acknowledgements
        if known is not None and event.fencing_token >= known.claim.fencing_token:
            known.add(event.process, now)

    def maintain(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns what is to be done while the group is well."""
        members, now = situation.members, situation.now
        if tuple(members) != self._judges:
            self._judges, self._judges_since = tuple(members), now
        if not members or now < self._next_write_at:
            return []
        if self._lease.fencing is Fencing.PLATFORM:
            if self._lease.claim is not None or members[0] != self._local_name:
                return []
            if now < self._judges_since + STABLE_JUDGES_SECONDS:
                # A process that has just started knows no other, and takes itself for the first.
                return []
            return self._write(situation, False)
        return self._maintain_voters(situation)

    def _maintain_voters(self, situation: Situation) -> Sequence[FailoverEffect]:
        claim, members, now = self._lease.claim, self._judges, situation.now
        if self._local_name not in members or not self._lease.is_confirmed(now):
            return []
        rank = members.index(self._local_name)
        if now < self._judges_since + STABLE_JUDGES_SECONDS * (1 + rank):
            return []
        if claim is None or set(claim.voters) != set(members):
            return self._write(situation, False)
        if all(set(voters) == set(claim.voters) for voters in claim.quorums):
            return []
        return self._drop_earlier_voters(claim, situation)

    def _drop_earlier_voters(self, claim: Claim, situation: Situation) -> Sequence[FailoverEffect]:
        """Writes the claim once more when no earlier voter confirms an older one."""
        registered, now = situation.registered, situation.now
        known = self._acknowledgements
        if known is None or known.claim.fencing_token != claim.fencing_token:
            known = ClaimAcknowledgements(claim, now)
            known.add(self._local_name, now)
            self._acknowledgements = known
        if known.is_over(registered, now):
            return self._write(situation, True)
        if now < self._sent_at + CLAIM_SEND_INTERVAL_SECONDS:
            return []
        self._sent_at = now
        missing = known.missing(registered.names)
        return [SendClaim(tuple(missing))]

    def _write(self, situation: Situation, drops_earlier_voters: bool) -> Sequence[FailoverEffect]:
        self._next_write_at = situation.now + CLAIM_WRITE_INTERVAL_SECONDS
        return [maintenance_claim(self._lease, self._judges, drops_earlier_voters)]
