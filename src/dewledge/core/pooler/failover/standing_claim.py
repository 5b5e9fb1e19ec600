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
"""Seconds between two writes of this claim by one process."""
SETTLED_SECONDS = 1.0
"""Seconds for which the judges are the same before the claim is written. Later judges wait that
much longer each."""
SEND_STANDING_AGAIN_SECONDS = 0.25
"""Seconds between two sendings of the claim to processes that have not acknowledged it."""


class StandingClaim:
    """One process's part in keeping the standing claim of a group."""

    def __init__(self, own_name: str, lease: PrimaryLease) -> None:
        self._own_name = own_name
        self._lease = lease
        self._not_before = LONG_AGO
        self._members: tuple[str, ...] = ()
        self._members_since = 0.0
        self._acknowledgements: ClaimAcknowledgements | None = None
        self._sent_at = LONG_AGO

    def take(self, event: ClaimKnown, now: float) -> None:
        """A process acknowledged a claim."""
        known = self._acknowledgements
        if known is not None and event.fencing_token >= known.claim.fencing_token:
            known.take(event.process, now)

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
                # A process that has just started knows no other, and takes itself for the first.
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
        """Writes the claim once more when no earlier voter confirms an older one."""
        registered, now = situation.registered, situation.now
        known = self._acknowledgements
        if known is None or known.claim.fencing_token != claim.fencing_token:
            known = ClaimAcknowledgements(claim, now)
            known.take(self._own_name, now)
            self._acknowledgements = known
        if known.is_over(registered, now):
            return self._write(situation, True)
        if now < self._sent_at + SEND_STANDING_AGAIN_SECONDS:
            return []
        self._sent_at = now
        missing = known.missing(registered.names)
        return [SendClaim(tuple(missing))]

    def _write(self, situation: Situation, is_settled: bool) -> Sequence[FailoverEffect]:
        self._not_before = situation.now + STANDING_AGAIN_SECONDS
        return [standing_claim(self._lease, self._members, is_settled)]
