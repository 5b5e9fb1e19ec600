"""Takes the rows of the product's own table: members, claims, and what is known of claims.

Relies on the store's order: rows of one read are taken together, members before claims, since
whoever judges a claim has to know which processes have rows beside it.
"""

from collections.abc import Callable

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import RegisteredProcesses
from dewledge.shell.pooler.failover.claim_keeper import ClaimKeeper
from dewledge.shell.pooler.failover.failover_driver import FailoverDriver
from dewledge.shell.pooler.tables.member_table import MemberTable


class CoordinationTable:
    """All methods belong to the loop's thread."""

    def __init__(
        self,
        members: MemberTable,
        members_changed: Callable[[], None],
        register: Callable[[], None],
        failover: FailoverDriver,
        claims: ClaimKeeper,
    ) -> None:
        """`register`: has the own row written if it is missing."""
        self._members = members
        self._members_changed = members_changed
        self._register = register
        self._failover = failover
        self._claims = claims

    def take_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Takes the whole table: processes that are not in it have gone."""
        self._take(rows, version, self._members.take_snapshot(rows))

    def take_rows(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Takes rows that changed."""
        self._take(rows, version, self._members.take_rows(rows))

    def _take(self, rows: tuple[StoreRow, ...], version: int, members_changed: bool) -> None:
        if members_changed:
            self._members_changed()
        self._register()
        names = frozenset(self._members.members)
        self._failover.take_registered(RegisteredProcesses(names, version))
        self._failover.take_rows(rows)
        self._claims.take_rows(rows)
