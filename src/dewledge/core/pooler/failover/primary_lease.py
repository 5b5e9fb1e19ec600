"""The lease of one process on a group's primary: the rule that says who may use it now.

Inputs: the newest claim known; the moment of the last confirmation that no newer claim exists
(steady clock, seconds; the age counts from the sending of the question). Decision: whether this
process may use a database as primary. What one statement does with the answer is in
core/pooler/statements/primary_lease_use.py; no other module answers the question.

Reason: a platform that checks fencing tokens takes the lead from the old primary in the moment of a
promotion. Where none are checked the old primary goes on serving, so the processes themselves must
have stopped using it before. Three rules see to that:

- A process uses a primary only while its last confirmation is younger than LEASE_SECONDS. The store
  gives one (no newer claim is in its table), or a quorum of the claim's voters does
  (quorum_confirmation.py).
- A claim names the only database that may be primary, or none. A process that knows the claim uses
  no other, and discards answers that still come from others.
- The holder of a claim promotes only once each registered process has acknowledged the claim, or
  once every lease that was confirmed without the claim has lapsed (claim_acknowledgements.py).

The lease is checked twice: before a statement is sent, and when its answer comes. An answer that
comes without a lease is passed on to nobody, so it does not matter how long the statement took.
"""

from enum import StrEnum

from dewledge.core.pooler.failover.messages import Claim

LEASE_SECONDS = 1.75
"""Seconds for which a confirmation is good. Covers the age of a follower's confirmation in peace
(0.9 s of waiting at the store, 0.1 s on the way), the pause until voters are asked (1.25 s) and two
tries to ask them."""
LONG_AGO = -1e9
"""Seconds of the steady clock: before anything that happened. A mark, no measure."""


class Fencing(StrEnum):
    """What keeps an old primary from serving on after a promotion.

    PLATFORM: the platform takes its lead at once, and refuses fencing tokens lower than one it has
    seen. PROCESSES: the platform does not; the processes in front of it stop using it.
    """

    PLATFORM = "platform"
    PROCESSES = "processes"


class PrimaryLease:
    """The lease of one process on one group's primary."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.claim: Claim | None = None
        """The newest claim known."""
        self.confirmed_at = LONG_AGO
        """At this time (steady clock, seconds) no claim existed that this process does not know."""
        self._proven_leader = ("", -1)

    @property
    def fencing_token(self) -> int:
        """Of the newest claim known, 0 for none."""
        return 0 if self.claim is None else self.claim.fencing_token

    def take_claim(self, claim: Claim) -> bool:
        """Takes a claim; returns whether it is newer than the one known."""
        if claim.fencing_token <= self.fencing_token:
            return False
        self.claim = claim
        return True

    def confirm(self, at: float) -> None:
        """At `at` no claim existed that is not known here."""
        self.confirmed_at = max(self.confirmed_at, at)

    def is_confirmed(self, now: float) -> bool:
        """Tells whether no claim unknown here can have taken effect by `now`."""
        return self.fencing is Fencing.PLATFORM or now < self.confirmed_at + LEASE_SECONDS

    def is_banned(self, database_id: str) -> bool:
        """Tells whether a database must not be used as primary, whatever it says of itself."""
        claim = self.claim
        if self.fencing is Fencing.PLATFORM or claim is None:
            return False
        return not claim.allows(database_id)

    def prove(self, database_id: str, fencing_token: int) -> None:
        """A database has shown that it leads, in answer to a statement sent under a claim."""
        self._proven_leader = (database_id, fencing_token)

    def is_proven(self, database_id: str) -> bool:
        """Tells whether a database has shown that it leads under the newest claim.

        It leads then for as long as this process holds the lease: without a newer claim no other
        is promoted. So a read need not prove it again, unless it is to step down under this claim.
        """
        if self.fencing is Fencing.PLATFORM or self._proven_leader != (
            database_id,
            self.fencing_token,
        ):
            return False
        return self.claim is None or self.claim.replaced != database_id

    def allows(self, database_id: str, now: float) -> bool:
        """Tells whether this process may use a database as primary at `now`."""
        return self.is_confirmed(now) and not self.is_banned(database_id)


class PrimaryLeases:
    """The leases of one process, by group."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.by_group: dict[str, PrimaryLease] = {}
        self._confirmed_at = LONG_AGO

    def of(self, group: str) -> PrimaryLease:
        """Returns the lease on a group's primary."""
        lease = self.by_group.get(group)
        if lease is None:
            lease = PrimaryLease(self.fencing)
            lease.confirm(self._confirmed_at)
            self.by_group[group] = lease
        return lease

    def confirm_all(self, at: float) -> None:
        """At `at` the store held no claim on any group that is not known here."""
        self._confirmed_at = max(self._confirmed_at, at)
        for lease in self.by_group.values():
            lease.confirm(at)
