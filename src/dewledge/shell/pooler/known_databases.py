"""Finds databases by id in all groups, and the processes through which a database is reached.

The groups come from the process's map of groups, which `directory` fills from the store's rows.
"""

from collections.abc import Mapping, Sequence

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.shared.positions import LogPosition
from dewledge.shell.pooler.tables.member_table import MemberTable


class KnownDatabases:
    """Index of the databases of all groups by id."""

    def __init__(self, groups: Mapping[str, Group]) -> None:
        """`groups`: by name; a live mapping that is searched on each call."""
        self._groups = groups

    def find(self, database_id: str) -> DatabaseRecord | None:
        """Returns the record of a database, None if no group contains it."""
        for group in self._groups.values():
            record = group.view.databases.get(database_id)
            if record is not None:
                return record
        return None

    def group_of(self, database_id: str) -> Group | None:
        """Returns the group of a database, None if no group contains it."""
        record = self.find(database_id)
        return None if record is None else self._groups[record.group]

    def record_proof(self, database_id: str, true_at: float, position: LogPosition) -> None:
        """Passes a commit position reported by a holder to the group; see Group.record_proof."""
        group = self.group_of(database_id)
        if group is not None:
            group.record_proof(true_at, position)

    def record_load_report(self, database_id: str, holder: str, report: LoadReport) -> None:
        """Passes a connection holder's load report to the group; see Group.record_load_report."""
        group = self.group_of(database_id)
        if group is not None:
            group.record_load_report(database_id, holder, report)


class RouteFinder:
    """Finds the processes through which a database is reached."""

    def __init__(self, databases: KnownDatabases, members: MemberTable) -> None:
        self._databases = databases
        self._members = members

    def find(self, database_id: str, caller: str) -> Sequence[str] | None:
        """Returns the addresses of the processes to connect through, None to connect directly."""
        group = self._databases.group_of(database_id)
        if group is None:
            return None
        relay = group.relay_to(database_id)
        if relay is not None:
            return [relay]
        holding = group.holding(database_id)
        if holding.is_direct:
            return None
        return [
            self._members.members[name].peer_address
            for name in holding.holders_for(caller)
            if name in self._members.members
        ]
