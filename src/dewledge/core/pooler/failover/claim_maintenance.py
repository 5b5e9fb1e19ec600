"""Maintains the claim of a group whose primary is healthy; this claim replaces no primary.

If the platform fences old primaries, the first judge by rank writes a claim in advance, so that it
can replace the primary even while the store is down. Otherwise the claim lists the current judges
as voters. Sets of earlier voters stay in the claim until none of them can confirm an older claim,
so that two disjoint majorities never count at the same time.

After a change of the primary, the holder writes the new term into the claim: a process that starts
while the primary is silent then knows which databases have not followed it.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.claim_writing import maintenance_claim
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    FailoverEffect,
    SendClaim,
)
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation

CLAIM_WRITE_INTERVAL_SECONDS = 3.0
"""Seconds between writes of the claim by one process."""
STABLE_JUDGES_SECONDS = 1.0
"""Seconds without a change of the judges before the claim is written. If the platform does not
fence, each judge waits this much longer than the judge ranked before it."""
CLAIM_SEND_INTERVAL_SECONDS = 0.25
"""Seconds between sends of the claim to processes that have not acknowledged it."""
FIRST_TERM = 1
"""Version: the first term of a group, which a claim need not name."""


class ClaimMaintenance:
    """Writes and sends a group's claim while its primary is healthy."""

    def __init__(self, local_name: str, lease: PrimaryLease) -> None:
        self._local_name = local_name
        self._lease = lease
        self._next_write_at = LONG_AGO
        self._judges: tuple[str, ...] = ()
        self._judges_since = 0.0
        self._acknowledgements: ClaimAcknowledgements | None = None
        self._sent_at = LONG_AGO

    def on_acknowledgement(self, event: ClaimAcknowledged, now: float) -> None:
        """Records that a process acknowledged a claim."""
        if self._acknowledgements is not None:
            self._acknowledgements.apply(event, now)

    def maintain(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns the claim to write or send now, if any; called while the primary is healthy."""
        judges, now = situation.members, situation.now
        if tuple(judges) != self._judges:
            self._judges, self._judges_since = tuple(judges), now
        if not judges or now < self._next_write_at:
            return []
        if self._lacks_term(situation):
            return self._write(situation, False)
        if self._lease.fencing is Fencing.PLATFORM:
            if self._lease.claim is not None or judges[0] != self._local_name:
                return []
            if now < self._judges_since + STABLE_JUDGES_SECONDS:
                # A process that has just started knows no others, and would rank itself first.
                return []
            return self._write(situation, False)
        return self._maintain_voters(situation)

    def _lacks_term(self, situation: Situation) -> bool:
        """Returns whether the claim of this process names an older term than the newest one."""
        claim = self._lease.claim
        if claim is None or claim.holder != self._local_name:
            return False
        if not self._lease.is_confirmed(situation.now):
            return False
        return situation.log.newest_term > max(claim.term, FIRST_TERM)

    def _maintain_voters(self, situation: Situation) -> Sequence[FailoverEffect]:
        claim, judges, now = self._lease.claim, self._judges, situation.now
        if self._local_name not in judges or not self._lease.is_confirmed(now):
            return []
        rank = judges.index(self._local_name)
        if now < self._judges_since + STABLE_JUDGES_SECONDS * (1 + rank):
            return []
        if claim is None or set(claim.voters) != set(judges):
            return self._write(situation, False)
        has_earlier_voters = any(set(voters) != set(claim.voters) for voters in claim.quorums)
        if not has_earlier_voters and claim.restates is None:
            return []
        return self._drop_earlier_voters(claim, situation)

    def _drop_earlier_voters(self, claim: Claim, situation: Situation) -> Sequence[FailoverEffect]:
        """Writes the claim without earlier voters once none of them can confirm an older claim."""
        registered, now = situation.registered, situation.now
        current = self._acknowledgements
        if current is None or current.claim.fencing_token != claim.fencing_token:
            current = ClaimAcknowledgements(claim, now)
            current.add(self._local_name, now)
            self._acknowledgements = current
        if current.is_effective(registered, now):
            return self._write(situation, True)
        if now < self._sent_at + CLAIM_SEND_INTERVAL_SECONDS:
            return []
        self._sent_at = now
        missing = current.missing(registered.names)
        return [SendClaim(tuple(missing))]

    def _write(self, situation: Situation, drops_earlier_voters: bool) -> Sequence[FailoverEffect]:
        self._next_write_at = situation.now + CLAIM_WRITE_INTERVAL_SECONDS
        term = situation.log.newest_term
        return [maintenance_claim(self._lease, self._judges, drops_earlier_voters, term)]
