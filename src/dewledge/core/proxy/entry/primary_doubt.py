"""Doubt of the database that claims to be primary, and what ends it."""

from enum import Enum, auto

import msgspec

from dewledge.core.proxy.entry.group_description import GroupDescription
from dewledge.core.shared.positions import LogPosition


class PrimaryClaim(msgspec.Struct, frozen=True):
    """A database that is believed to be primary in a term."""

    database: str
    term: int


class DoubtReason(Enum):
    """Why a claim is doubted."""

    REFUSED = auto()
    """Its gateway refused a request because it is not the primary or cannot be reached."""
    SILENT = auto()
    """Writes are not acknowledged, so it may be cut off from its group; reads need no doubt."""


class PrimaryDoubt:
    """Holds at most one doubted claim.

    A request refused by a false primary costs a hop. A write taken by a cut-off one ends as
    unknown; so after silence none is risked before a majority has received what the primary's log
    held since the doubt arose, which a cut-off primary never achieves.
    """

    def __init__(self) -> None:
        self._claim: PrimaryClaim | None = None
        self._reason = DoubtReason.REFUSED
        self._since = 0.0
        self._log_to_replicate: LogPosition | None = None

    def covers(self, claim: PrimaryClaim, is_read: bool) -> bool:
        """Tells whether a request to this primary had better wait."""
        if claim != self._claim:
            return False
        return self._reason is DoubtReason.REFUSED or not is_read

    def note(self, claim: PrimaryClaim, reason: DoubtReason, now: float) -> None:
        """Starts to doubt a claim, in place of any other."""
        self._claim = claim
        self._reason = reason
        self._since = now
        self._log_to_replicate = None

    def note_proof(self, by_write: bool) -> None:
        """Notes that the believed primary did a request; a read does not prove replication."""
        if by_write or self._reason is DoubtReason.REFUSED:
            self._claim = None

    def allows_trial(self, claim: PrimaryClaim, description: GroupDescription) -> bool:
        """Tells whether one request may be risked on a doubted claim."""
        if self._reason is DoubtReason.REFUSED:
            return True
        databases = description.databases
        claimed = databases[claim.database]
        if claimed.seen_at <= self._since:
            return False
        if self._log_to_replicate is None:
            self._log_to_replicate = claimed.received
            return False
        end = self._log_to_replicate
        holders = [
            item for item in databases.values() if item.term == claim.term and item.received >= end
        ]
        return 2 * len(holders) > len(databases)
