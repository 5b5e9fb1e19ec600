"""The right of one process to use a group's primary as such.

A platform that checks fencing tokens takes the lead from the old primary in the moment of a
promotion. One that checks none leaves the old primary serving, so the processes themselves must
have stopped using it before. Three rules see to that:

- A process uses a primary only while it knows, from a word not older than LEASE_SECONDS, that no
  newer claim on the group exists. It counts the age from the sending of its question.
- A claim names the only database that may lead, or none. Who knows it uses no other, and gives
  up the answers that still come from others.
- The holder of a claim promotes only once each registered process knows the claim, or once
  LEASE_SECONDS have passed since nobody can get word any more that the claim does not exist.

The right is asked for twice: before a statement is sent, and when its answer comes. An answer that
comes without the right is passed on to nobody, so it does not matter how long the statement took.
"""

from enum import StrEnum

from dewledge.core.pooler.failover.messages import Claim

LEASE_SECONDS = 1.75
"""How long a word on the newest claim is good for."""
LONG_AGO = -1e9


class Fencing(StrEnum):
    """What keeps an old primary from serving on after a promotion.

    PLATFORM: the platform takes its lead at once, and refuses tokens lower than one it has seen.
    PROCESSES: nothing does but the processes in front of it.
    """

    PLATFORM = "platform"
    PROCESSES = "processes"


class PrimaryLease:
    """What one process knows of the claims on one group."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.claim: Claim | None = None
        """The newest claim known."""
        self.confirmed_at = LONG_AGO
        """At this time (steady clock, seconds) no claim existed that this process does not know."""
        self._proven = ("", -1)

    @property
    def fencing_token(self) -> int:
        """The token of the newest claim known, 0 for none."""
        return 0 if self.claim is None else self.claim.fencing_token

    def take_claim(self, claim: Claim) -> bool:
        """Takes a claim; returns whether it is news."""
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
        """A database has shown that it leads, in answer to what was sent under claim `token`."""
        self._proven = (database_id, fencing_token)

    def is_proven(self, database_id: str) -> bool:
        """Tells whether a database has shown that it leads under the newest claim.

        It leads on then while this process has the right to use it: without a newer claim nobody
        is promoted. So a read need not prove it again, unless it is to step down under this claim.
        """
        if self.fencing is Fencing.PLATFORM or self._proven != (database_id, self.fencing_token):
            return False
        return self.claim is None or self.claim.replaced != database_id

    def allows(self, database_id: str, now: float) -> bool:
        """Tells whether a database may be used as primary at `now`."""
        return self.is_confirmed(now) and not self.is_banned(database_id)


class PrimaryLeases:
    """The rights of one process, by group."""

    def __init__(self, fencing: Fencing) -> None:
        self.fencing = fencing
        self.by_group: dict[str, PrimaryLease] = {}
        self._confirmed_at = LONG_AGO

    def of(self, group: str) -> PrimaryLease:
        """Returns the right of a group."""
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
