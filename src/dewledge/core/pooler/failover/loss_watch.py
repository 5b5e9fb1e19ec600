"""Finds in the view of a healthy group a reason to replace its primary without any doubt of it."""

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.candidates import eligible
from dewledge.core.pooler.failover.messages import LossCause
from dewledge.core.pooler.failover.primary_lease import PrimaryLease

ENTRY_GONE_SECONDS = 1.5
NONE_KNOWN_SECONDS = 2.5
CLAIMED_LEADER_SECONDS = 1.0
"""The database that leads by the newest claim has told so itself by then."""
UNFINISHED_SECONDS = 3.0
"""A claim has had an effect by then, or its holder is lost."""


class Loss(msgspec.Struct, frozen=True):
    """Why a primary is to be replaced, and which; no name where none is known."""

    cause: LossCause
    replaced: str


class LossWatch:
    """Remembers since when something has been amiss."""

    def __init__(self, lease: PrimaryLease) -> None:
        self._lease = lease
        self._none_since: float | None = None
        self._banned_since: float | None = None

    def find(self, view: GroupView, now: float) -> Loss | None:
        """Returns the loss to act upon now, if there is one."""
        primary = view.primary
        if primary is None:
            return self._find_none_known(view, now)
        self._none_since = None
        if self._lease.is_banned(primary.id):
            return self._find_unfinished(primary.id, now)
        self._banned_since = None
        if not primary.draining:
            return None
        gone = primary.id in view.departed
        since = view.draining_since.get(primary.id, now)
        if gone and now < since + ENTRY_GONE_SECONDS:
            return None
        if not eligible(view, primary.id, frozenset()):
            return None
        return Loss(LossCause.ENTRY_GONE if gone else LossCause.DRAINING, primary.id)

    def claimed_leader(self, view: GroupView, now: float) -> str | None:
        """Returns the database to take for the primary: by the newest claim it is, for a while."""
        claim = self._lease.claim
        if self._banned_since is None or now < self._banned_since + CLAIMED_LEADER_SECONDS:
            return None
        if claim is None or claim.leader not in view.databases or claim.leader in view.claims:
            return None
        return claim.leader

    def _find_none_known(self, view: GroupView, now: float) -> Loss | None:
        if not view.databases:
            return None
        if self._none_since is None:
            self._none_since = now
        if now < self._none_since + NONE_KNOWN_SECONDS:
            return None
        return Loss(LossCause.NONE_KNOWN, "")

    def _find_unfinished(self, primary: str, now: float) -> Loss | None:
        """The newest claim does not allow the primary and has brought no other."""
        if self._banned_since is None:
            self._banned_since = now
        if now < self._banned_since + UNFINISHED_SECONDS:
            return None
        return Loss(LossCause.UNFINISHED, primary)
