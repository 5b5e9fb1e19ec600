"""Which group of this process a database belongs to, and what is learnt of its group.

Relies on the process's map of groups, which `directory` fills from the store's rows.
"""

from collections.abc import Mapping, Sequence

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.shared.positions import LogPosition
from dewledge.shell.pooler.tables.member_table import MemberTable


class KnownDatabases:
    """The databases of all groups, by id."""

    def __init__(self, groups: Mapping[str, Group]) -> None:
        """`groups`: by name; read at each call."""
        self._groups = groups

    def find(self, database_id: str) -> DatabaseRecord | None:
        """Returns a database by its id, None if no group has it."""
        for group in self._groups.values():
            record = group.view.databases.get(database_id)
            if record is not None:
                return record
        return None

    def group_of(self, database_id: str) -> Group | None:
        """Returns the group of a database, None if no group has it."""
        record = self.find(database_id)
        return None if record is None else self._groups[record.group]

    def take_proof(self, database_id: str, true_at: float, position: LogPosition) -> None:
        """Takes what a holder proved of a database's group; see Group.record_proof."""
        group = self.group_of(database_id)
        if group is not None:
            group.record_proof(true_at, position)

    def take_load(self, database_id: str, holder: str, report: LoadReport) -> None:
        """Takes a load report of the holder at this address; see Group.take_load."""
        group = self.group_of(database_id)
        if group is not None:
            group.record_load_report(database_id, holder, report)


class RouteFinder:
    """Finds through which processes a database is reached."""

    def __init__(self, databases: KnownDatabases, members: MemberTable) -> None:
        self._databases = databases
        self._members = members

    def find(self, database_id: str, caller: str) -> Sequence[str] | None:
        """Returns the addresses of the processes to go through, None for a direct connection."""
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
