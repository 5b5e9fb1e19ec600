"""Detects from a group's view, without a connection test, that its primary has to be replaced.

The causes are: the primary is draining and a successor is available (draining); its entry has been
missing for REMOVED_ENTRY_TIMEOUT_SECONDS (entry_gone); no primary has been known for
NO_PRIMARY_TIMEOUT_SECONDS (none_known); the newest claim has forbidden the primary for
UNFINISHED_CLAIM_TIMEOUT_SECONDS without leading to another primary (unfinished). reach_check.py
handles a primary that does not answer.
"""

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.candidates import eligible_databases
from dewledge.core.pooler.failover.messages import LossCause
from dewledge.core.pooler.failover.primary_lease import PrimaryLease

REMOVED_ENTRY_TIMEOUT_SECONDS = 1.5
"""Seconds from the removal of the primary's entry from the store's table to its replacement. If the
entry returns in that time, the primary stays."""
NO_PRIMARY_TIMEOUT_SECONDS = 2.5
"""Seconds without a known primary before one is selected; longer than
REMOVED_ENTRY_TIMEOUT_SECONDS."""
CLAIMED_LEADER_DELAY_SECONDS = 1.0
"""Seconds before the database that the newest claim names is tried as primary: a database that can
report its role has done so in that time."""
UNFINISHED_CLAIM_TIMEOUT_SECONDS = 3.0
"""Seconds that a claim may have no effect before its holder is considered lost; the same as
CLAIM_HOLDER_TIMEOUT_SECONDS of claim_turn.py."""


class Loss(msgspec.Struct, frozen=True):
    """Why a primary has to be replaced. `replaced`: its name, empty if no primary is known."""

    cause: LossCause
    replaced: str

    @property
    def is_planned(self) -> bool:
        """Whether the primary is draining and may still serve."""
        return self.cause in (LossCause.DRAINING, LossCause.ENTRY_GONE)


class LossWatch:
    """Tracks since when a group has had no primary, or a primary that the newest claim forbids."""

    def __init__(self, lease: PrimaryLease) -> None:
        self._lease = lease
        self._no_primary_since: float | None = None
        self._banned_since: float | None = None

    def find_loss(self, view: GroupView, now: float) -> Loss | None:
        """Returns the loss that requires a replacement now, None for none."""
        primary = view.primary
        if primary is None:
            return self._find_missing_primary(view, now)
        self._no_primary_since = None
        if self._lease.is_banned(primary.id):
            return self._find_unfinished_claim(primary.id, now)
        self._banned_since = None
        if not primary.draining:
            return None
        is_entry_removed = primary.id in view.departed_since
        since = view.draining_since.get(primary.id, now)
        if is_entry_removed and now < since + REMOVED_ENTRY_TIMEOUT_SECONDS:
            return None
        if not eligible_databases(view, primary.id, frozenset()):
            return None
        return Loss(LossCause.ENTRY_GONE if is_entry_removed else LossCause.DRAINING, primary.id)

    def leader_to_try(self, view: GroupView, now: float) -> str | None:
        """Returns the leader named by the newest claim once it should be tried as primary, or None.

        None while the claim allows the current primary, and if the named database already calls
        itself primary.
        """
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
        """Returns the loss if the newest claim has forbidden the primary for too long."""
        if self._banned_since is None:
            self._banned_since = now
        if now < self._banned_since + UNFINISHED_CLAIM_TIMEOUT_SECONDS:
            return None
        return Loss(LossCause.UNFINISHED, primary)
