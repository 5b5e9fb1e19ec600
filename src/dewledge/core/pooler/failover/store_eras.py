"""Eras of the store that this process knows; see `core/pooler/store_versions.py`.

A claim that was written in a former era may be missing from the store, or an older one may have
come back. Only a process that has read the store in that era can know the newest claim of it.
"""

from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.store_versions import era_of


class StoreEras:
    """The first and the newest era of the store that this process has seen or was told of."""

    def __init__(self) -> None:
        self.first: int | None = None
        """Era of the first table of claims that this process read, None before."""
        self.table = 0
        """Era of the table of claims as last read."""
        self.newest = 0
        """Newest era known; other processes may have told of it before this one reads the store."""
        self.settled = 0
        """Newest era in which all claims that existed before it have been written again."""
        self.known_since = 0.0
        """When this process learned of the newest era (steady clock, seconds)."""

    def record_table(self, era: int, now: float) -> None:
        """Records the era of a table of claims that this process read."""
        if self.first is None:
            self.first = era
        self.table = max(self.table, era)
        self.learn(era, now)

    def learn(self, era: int, now: float) -> None:
        """Records that the store has reached an era."""
        if era > self.newest:
            self.newest = era
            self.known_since = now

    def record_settled(self, era: int) -> None:
        """Records that all claims of former eras have been written again in an era."""
        self.settled = max(self.settled, era)

    @property
    def is_settled(self) -> bool:
        """Whether no claim of a former era can be missing any more."""
        return self.settled >= self.newest

    def is_witness_of(self, fencing_token: int) -> bool:
        """Returns whether this process has read the store in the era of a claim's token."""
        return self.first is None or self.first <= era_of(fencing_token)

    def is_former(self, claim: Claim | None) -> bool:
        """Returns whether a claim is older than the newest era; None is as old as the first."""
        token = 0 if claim is None else claim.fencing_token
        return era_of(token) < self.newest
