"""Applies rows of the coordination table: members, claims and acknowledgements of claims.

The rows of one read are applied together, members before claims, because evaluating a claim
requires the set of processes that are registered at the same table version.
"""

from collections.abc import Callable

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import RegisteredProcesses
from dewledge.shell.pooler.failover.claim_keeper import ClaimKeeper
from dewledge.shell.pooler.failover.failover_driver import FailoverDriver
from dewledge.shell.pooler.tables.isolation import run_each
from dewledge.shell.pooler.tables.member_table import MemberTable


class CoordinationTable:
    """Passes table rows to the components that use them. Call only from the event loop's thread."""

    def __init__(
        self,
        members: MemberTable,
        members_changed: Callable[[], None],
        register: Callable[[], None],
        failover: FailoverDriver,
        claims: ClaimKeeper,
    ) -> None:
        """`register`: writes this process's row to the table if it is missing."""
        self._members = members
        self._members_changed = members_changed
        self._register = register
        self._failover = failover
        self._claims = claims

    def apply_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Applies the whole table; other processes without a row in it are removed."""
        self._apply(rows, version, self._members.apply_snapshot(rows))

    def apply_rows(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Applies changed or deleted rows of the table."""
        self._apply(rows, version, self._members.apply_rows(rows))

    def _apply(self, rows: tuple[StoreRow, ...], version: int, members_changed: bool) -> None:
        names = frozenset(self._members.members)
        registered = RegisteredProcesses(names, version)
        run_each(
            (
                *((self._members_changed,) if members_changed else ()),
                self._register,
                lambda: self._failover.update_registered(registered),
                lambda: self._failover.apply_rows(rows),
                lambda: self._claims.apply_rows(rows),
            )
        )
