"""Judges by a group's view whether its primary is to be replaced, without any test of its address.

Inputs: the group's view (the store's table, as old as its last feed), the newest claim known, the
seconds since each was first so. Decision: the loss to act upon. The primary leaves and a successor
is there (draining); its entry has been gone for ENTRY_GONE_SECONDS (entry_gone); no primary has
been known for NONE_KNOWN_SECONDS (none_known); the newest claim has forbidden the primary for
UNFINISHED_SECONDS and brought no other (unfinished). Reason: these need no test of the primary.
One that merely does not answer is judged by reach_check.py.
"""

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.candidates import eligible_databases
from dewledge.core.pooler.failover.messages import LossCause
from dewledge.core.pooler.failover.primary_lease import PrimaryLease

REMOVED_ENTRY_TIMEOUT_SECONDS = 1.5
"""Seconds since the primary's entry left the store's table until it is replaced; one that returns
within them is kept."""
NO_PRIMARY_TIMEOUT_SECONDS = 2.5
"""Seconds without any known primary until one is chosen; longer than ENTRY_GONE_SECONDS."""
CLAIMED_LEADER_DELAY_SECONDS = 1.0
"""Seconds until the database that the newest claim names is tried as primary: it has said so itself
by then if it can."""
UNFINISHED_CLAIM_TIMEOUT_SECONDS = 3.0
"""Seconds that a claim may be without effect before its holder is taken for lost; as long as
FOLLOW_LIMIT_SECONDS of claim_turn.py."""


class Loss(msgspec.Struct, frozen=True):
    """Why a primary is to be replaced, and which; no name where none is known."""

    cause: LossCause
    replaced: str


class LossWatch:
    """Remembers since when the view has shown no primary, or one that the claim forbids."""

    def __init__(self, lease: PrimaryLease) -> None:
        self._lease = lease
        self._no_primary_since: float | None = None
        self._banned_since: float | None = None

    def find_loss(self, view: GroupView, now: float) -> Loss | None:
        """Returns the loss to act upon now, None for none."""
        primary = view.primary
        if primary is None:
            return self._find_missing_primary(view, now)
        self._no_primary_since = None
        if self._lease.is_banned(primary.id):
            return self._find_unfinished_claim(primary.id, now)
        self._banned_since = None
        if not primary.draining:
            return None
        gone = primary.id in view.departed
        since = view.draining_since.get(primary.id, now)
        if gone and now < since + REMOVED_ENTRY_TIMEOUT_SECONDS:
            return None
        if not eligible_databases(view, primary.id, frozenset()):
            return None
        return Loss(LossCause.ENTRY_GONE if gone else LossCause.DRAINING, primary.id)

    def leader_to_try(self, view: GroupView, now: float) -> str | None:
        """Returns the database that the newest claim names, once it is to be tried as primary."""
        claim = self._lease.claim
        if self._banned_since is None or now < self._banned_since + CLAIMED_LEADER_DELAY_SECONDS:
            return None
        if claim is None or claim.leader not in view.databases or claim.leader in view.claims:
            return None
        return claim.leader

    def _find_missing_primary(self, view: GroupView, now: float) -> Loss | None:
        if not view.databases:
            return None
        if self._no_primary_since is None:
            self._no_primary_since = now
        if now < self._no_primary_since + NO_PRIMARY_TIMEOUT_SECONDS:
            return None
        return Loss(LossCause.NONE_KNOWN, "")

    def _find_unfinished_claim(self, primary: str, now: float) -> Loss | None:
        """The newest claim does not allow the primary and has brought no other."""
        if self._banned_since is None:
            self._banned_since = now
        if now < self._banned_since + UNFINISHED_CLAIM_TIMEOUT_SECONDS:
            return None
        return Loss(LossCause.UNFINISHED, primary)
