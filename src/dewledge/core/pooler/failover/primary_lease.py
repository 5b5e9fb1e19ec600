"""Lease of a process on a group's primary: whether the process may use a database as primary.

Without fencing by the platform, an old primary keeps serving after a promotion, so all processes
must stop using it first. Three rules ensure that:
- A process uses a primary only while its last confirmation is younger than LEASE_SECONDS. The store
  or a quorum of voters (quorum_confirmation.py) confirms that no newer claim exists.
- A claim names the only database that may be primary, or none. A process that knows the claim uses
  no other one, and discards answers that still arrive from others.
- The claim holder promotes a database only once every registered process has acknowledged the claim
  or all leases confirmed without it have expired (claim_acknowledgements.py).
The lease is checked before a statement is sent and again when its answer arrives: an answer without
a lease is discarded, so the duration of the statement does not matter.
"""

from enum import StrEnum

from dewledge.core.pooler.failover.messages import Claim

LEASE_SECONDS = 1.75
"""Seconds for which a confirmation is valid. Voters are asked for a new one after
CONFIRMATION_REFRESH_AGE_SECONDS (quorum_confirmation.py), twice if the first question is lost."""
LONG_AGO = -1e9
"""Seconds of the steady clock: a time before any event, the initial value of recorded times."""


class Fencing(StrEnum):
    """What prevents an old primary from serving statements after a promotion.

    PLATFORM: the platform demotes it at once and refuses fencing tokens lower than the highest one
    seen. PROCESSES: the platform does neither, so the processes have to stop using it first.
    """

    PLATFORM = "platform"
    PROCESSES = "processes"


class PrimaryLease:
    """Lease of this process on a group's primary."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.claim: Claim | None = None
        """Newest claim known to this process, None for none."""
        self.confirmed_at = LONG_AGO
        """Last time at which no newer claim than the known one existed (steady clock, seconds)."""
        self._proven_leader = ("", -1)

    @property
    def fencing_token(self) -> int:
        """Fencing token of the newest known claim, 0 without a claim."""
        return 0 if self.claim is None else self.claim.fencing_token

    def apply_claim(self, claim: Claim) -> bool:
        """Replaces the known claim if `claim` is newer; returns whether it is."""
        if claim.fencing_token <= self.fencing_token:
            return False
        self.claim = claim
        return True

    def confirm(self, at: float) -> None:
        """Renews the lease: at the time `at`, no newer claim than the known one existed."""
        self.confirmed_at = max(self.confirmed_at, at)

    def is_confirmed(self, now: float) -> bool:
        """Returns whether this process knows every claim that can have taken effect by `now`.

        Always True if the platform fences old primaries.
        """
        return self.fencing is Fencing.PLATFORM or now < self.confirmed_at + LEASE_SECONDS

    def is_banned(self, database_id: str) -> bool:
        """Returns whether the newest claim forbids a database as primary, whatever it reports."""
        claim = self.claim
        if self.fencing is Fencing.PLATFORM or claim is None:
            return False
        return not claim.allows(database_id)

    def record_leadership_proof(self, database_id: str, fencing_token: int) -> None:
        """Records that a database proved it leads, in answer to a statement sent under a claim."""
        self._proven_leader = (database_id, fencing_token)

    def is_leadership_proven(self, database_id: str) -> bool:
        """Returns whether a read may rely on an earlier proof that the database leads.

        The proof holds while this process has the lease, since no other database is promoted
        without a newer claim. The exception is a database that this claim replaces: it may step
        down at any time. Always False if the platform fences.
        """
        if self.fencing is Fencing.PLATFORM or self._proven_leader != (
            database_id,
            self.fencing_token,
        ):
            return False
        return self.claim is None or self.claim.replaced != database_id

    def allows(self, database_id: str, now: float) -> bool:
        """Returns whether this process may use a database as primary at `now`."""
        return self.is_confirmed(now) and not self.is_banned(database_id)


class PrimaryLeases:
    """Leases of this process on the primaries of all groups."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.by_group: dict[str, PrimaryLease] = {}
        self._confirmed_at = LONG_AGO

    def of(self, group: str) -> PrimaryLease:
        """Returns the lease on a group's primary; creates it on first use."""
        lease = self.by_group.get(group)
        if lease is None:
            lease = PrimaryLease(self.fencing)
            lease.confirm(self._confirmed_at)
            self.by_group[group] = lease
        return lease

    def confirm_all(self, at: float) -> None:
        """Renews all leases: at the time `at`, the store held no claim unknown to this process."""
        self._confirmed_at = max(self._confirmed_at, at)
        for lease in self.by_group.values():
            lease.confirm(at)
