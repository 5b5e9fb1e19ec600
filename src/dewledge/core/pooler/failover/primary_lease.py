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
from dewledge.core.pooler.failover.store_eras import StoreEras
from dewledge.core.pooler.store_versions import combine, era_of

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

    def __init__(self, fencing: Fencing, eras: StoreEras | None = None) -> None:
        """eras: shared by the leases of a process; the default is a store without restores."""
        self.fencing = fencing
        self.eras = eras or StoreEras()
        self.claim: Claim | None = None
        """Newest claim known to this process, None for none."""
        self.copied_claim: Claim | None = None
        """Claim of a former era that the store holds, None for none. It may not be the newest."""
        self.overlooked_claim: Claim | None = None
        """Claim of a former era that is newer than the one that the known claim restates."""
        self.confirmed_era = 0
        """Newest era in which a majority of voters knew no newer claim than the known one."""
        self._row_version = 0
        self.confirmed_at = LONG_AGO
        """Last time at which no newer claim than the known one existed (steady clock, seconds)."""
        self._proven_leader = ("", -1)

    @property
    def fencing_token(self) -> int:
        """Fencing token of the newest known claim, 0 without a claim."""
        return 0 if self.claim is None else self.claim.fencing_token

    @property
    def needs_restatement(self) -> bool:
        """Whether the store was restored and no claim of its new era is known yet.

        A group without any claim is a new one once the era is settled.
        """
        is_new = self.claim is None and self.copied_claim is None and self.eras.is_settled
        return not is_new and self.eras.is_former(self.claim)

    @property
    def may_acknowledge(self) -> bool:
        """Whether this process may acknowledge the known claim to its holder.

        A claim of a former era can then no longer take effect, once a majority of its voters knows
        of the new era.
        """
        return self.fencing is Fencing.PLATFORM or not self.needs_restatement

    @property
    def expected_version(self) -> int:
        """Version that the claim's row in the store must have for the next write of it."""
        era = self.eras.newest
        known = (self._row_version, self.fencing_token, combine(era, 0))
        return max(version for version in known if era_of(version) == era)

    def record_row(self, version: int, claim: Claim) -> bool:
        """Records the claim's row in the store; returns whether the claim is of the row's era."""
        self._row_version = max(self._row_version, version)
        if era_of(claim.fencing_token) == era_of(version):
            return True
        self.copied_claim = claim
        return False

    def accepts(self, claim: Claim) -> bool:
        """Returns whether `claim` is newer than the known one.

        A claim that restates an older one than the known one does not count before it has taken
        effect: its writer did not know of the newer one.
        """
        if claim.fencing_token <= self.fencing_token:
            return False
        is_restated = claim.restates is not None and self.fencing is Fencing.PROCESSES
        if not is_restated or era_of(self.fencing_token) == era_of(claim.fencing_token):
            return True
        return self.fencing_token <= (claim.restates or 0)

    def apply_claim(self, claim: Claim) -> bool:
        """Replaces the known claim if `claim` is newer; returns whether it is."""
        if not self.accepts(claim):
            self._record_overlooked(claim)
            return False
        self.claim = claim
        self.overlooked_claim = None
        self.confirmed_era = 0
        return True

    def _record_overlooked(self, claim: Claim) -> None:
        known = self.claim
        if known is None or known.restates is None or claim.fencing_token <= known.restates:
            return
        if era_of(claim.fencing_token) < era_of(known.fencing_token):
            previous = self.overlooked_claim
            if previous is None or previous.fencing_token < claim.fencing_token:
                self.overlooked_claim = claim

    def confirm(self, at: float) -> None:
        """Renews the lease: at the time `at`, no newer claim than the known one existed."""
        self.confirmed_at = max(self.confirmed_at, at)

    def confirm_by_store(self, at: float) -> None:
        """Renews the lease: at the time `at`, the store held no newer claim.

        Has no effect before the store's era holds a claim: the newest one may be lost.
        """
        if not self.needs_restatement:
            self.confirm(at)

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
        self.eras = StoreEras()
        self.by_group: dict[str, PrimaryLease] = {}
        self._confirmed_at = LONG_AGO

    def of(self, group: str) -> PrimaryLease:
        """Returns the lease on a group's primary; creates it on first use."""
        lease = self.by_group.get(group)
        if lease is None:
            lease = PrimaryLease(self.fencing, self.eras)
            lease.confirm_by_store(self._confirmed_at)
            self.by_group[group] = lease
        return lease

    def confirm_all(self, at: float) -> None:
        """Renews all leases: at the time `at`, the store held no claim unknown to this process."""
        self._confirmed_at = max(self._confirmed_at, at)
        for lease in self.by_group.values():
            lease.confirm_by_store(at)
