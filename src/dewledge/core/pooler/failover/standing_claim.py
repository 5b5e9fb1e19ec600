"""The claim of a group that replaces nothing: it names a holder, and the voters of today."""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.claim_writing import standing_claim
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimKnown,
    FailoverEffect,
    SendClaim,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation

STANDING_AGAIN_SECONDS = 3.0
SETTLED_SECONDS = 1.0
"""The processes are the same for so long before the voters are changed."""
SEND_AGAIN_SECONDS = 0.25


class StandingClaim:
    """One process's part in keeping the standing claim of a group."""

    def __init__(self, own_name: str, lease: PrimaryLease) -> None:
        self._own_name = own_name
        self._lease = lease
        self._not_before = LONG_AGO
        self._members: tuple[str, ...] = ()
        self._members_since = 0.0
        self._recall: ClaimAcknowledgements | None = None
        self._told_at = LONG_AGO

    def take(self, event: ClaimKnown, now: float) -> None:
        """A process told that it knows a claim."""
        recall = self._recall
        if recall is not None and event.fencing_token >= recall.claim.fencing_token:
            recall.take(event.process, now)

    def keep(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns what is to be done while the group is well."""
        members, now = situation.members, situation.now
        if tuple(members) != self._members:
            self._members, self._members_since = tuple(members), now
        if not members or now < self._not_before:
            return []
        if self._lease.fencing is Fencing.PLATFORM:
            if self._lease.claim is not None or members[0] != self._own_name:
                return []
            if now < self._members_since + SETTLED_SECONDS:
                # Who has just started knows nobody, and would claim what all others claim too.
                return []
            return self._write(situation, False)
        return self._keep_voters(situation)

    def _keep_voters(self, situation: Situation) -> Sequence[FailoverEffect]:
        claim, members, now = self._lease.claim, self._members, situation.now
        if self._own_name not in members or not self._lease.is_confirmed(now):
            return []
        rank = members.index(self._own_name)
        if now < self._members_since + SETTLED_SECONDS * (1 + rank):
            return []
        if claim is None or set(claim.voters) != set(members):
            return self._write(situation, False)
        if all(set(voters) == set(claim.voters) for voters in claim.quorums):
            return []
        return self._settle(claim, situation)

    def _settle(self, claim: Claim, situation: Situation) -> Sequence[FailoverEffect]:
        """Writes the claim once more when no earlier voter vouches for an older one."""
        registered, now = situation.registered, situation.now
        if self._recall is None or self._recall.claim.fencing_token != claim.fencing_token:
            self._recall = ClaimAcknowledgements(claim, now)
            self._recall.take(self._own_name, now)
        if self._recall.is_over(registered, now):
            return self._write(situation, True)
        if now < self._told_at + SEND_AGAIN_SECONDS:
            return []
        self._told_at = now
        missing = self._recall.missing(registered.names)
        return [SendClaim(tuple(missing))]

    def _write(self, situation: Situation, is_settled: bool) -> Sequence[FailoverEffect]:
        self._not_before = situation.now + STANDING_AGAIN_SECONDS
        return [standing_claim(self._lease, self._members, is_settled)]
