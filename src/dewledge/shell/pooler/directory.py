"""What the store's rows tell of routes and databases, kept as groups."""

import random
from collections.abc import Callable, Sequence

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.core.pooler.failover.reach_limit import ReachLimit
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.holders import Holding, holding_of, share_of_connections
from dewledge.core.pooler.statements.read_choice import ReadChoice
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ProtocolError
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.pooler.links.database_opener import DirectOpener, SharingOpener
from dewledge.shell.pooler.platform_adapter import PlatformAdapter
from dewledge.shell.pooler.tables.member_table import ASSUMED_MEMBERS, MemberTable
from dewledge.shell.shared.event_loop import EventLoop

DRAIN_MARGIN_SECONDS = 2.0


class Directory:
    """Routes and groups of one process. All methods belong to the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        settings: PoolerSettings,
        platform: PlatformAdapter,
        services: PoolServices,
        members: MemberTable,
        channels: ChannelClient,
        rights: PrimaryLeases,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._services = services
        self._place = Locality(settings.zone, settings.zones)
        self._members = members
        self._rights = rights
        self.reach_limit = ReachLimit()
        self._direct = DirectOpener(
            loop, settings.name, platform.new_database_codec, self.find, self.reach_limit
        )
        self._opener = SharingOpener(self._direct, channels, self._find_way)
        channels.proof_told = self._take_proof
        channels.load_told = self._take_load
        self.configuration_changed: Callable[[], None] = lambda: None
        """Called when another configuration is in force."""
        self.group_changed: Callable[[str], None] = lambda group: None
        """Called with the name of a group whose view has changed."""

    def take_configuration_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        """Takes rows of the operators' table."""
        for row in rows:
            if row.key == self._platform.configuration_key and not row.gone:
                self._take_configuration(row)

    def _take_configuration(self, row: StoreRow) -> None:
        try:
            table = self._platform.parse_configuration(row.value)
        except ProtocolError as error:
            logger.bind(error=error.message, revision=row.version).error("configuration_refused")
            return
        if table.version <= self._services.routes.version:
            return
        self._services.routes = table
        for name in table.groups:
            self._group(name)
        self.share_connections()
        self.configuration_changed()
        logger.bind(version=table.version, revision=row.version, routes=len(table.routes)).info(
            "configuration_taken"
        )
        self._services.wake_if_configured()

    def take_database_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Takes the whole table of databases: what is not in it has left."""
        present = {row.key for row in rows}
        for group in self._services.groups.values():
            for database_id in list(group.view.databases):
                if database_id not in present:
                    self._database_gone(group, database_id, version)
        self.take_database_rows(rows, version)

    def take_database_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        """Takes rows of databases that changed."""
        for row in rows:
            if row.gone:
                for group in self._services.groups.values():
                    self._database_gone(group, row.key, row.version)
            else:
                self._take_database(row)

    def _take_database(self, row: StoreRow) -> None:
        try:
            record = self._platform.parse_database(row.key, row.value, row.version)
        except ProtocolError as error:
            logger.bind(error=error.message, database=row.key).error("database_entry_refused")
            return
        group = self._group(record.group)
        group.change_view(group.view.with_record(record, self._loop.now()))
        self.group_changed(record.group)
        logger.bind(
            database=record.id,
            group=record.group,
            zone=record.zone,
            role=record.role,
            draining=record.draining,
            revision=row.version,
        ).info("database_known")
        self._services.wake_if_configured()

    def _database_gone(self, group: Group, database_id: str, revision: int) -> None:
        if database_id in group.view.databases:
            view = group.view.with_departure(database_id, revision, self._loop.now())
            group.change_view(view)
            logger.bind(database=database_id, revision=revision).info("database_entry_gone")

    def find(self, database_id: str) -> DatabaseRecord | None:
        """Returns a database by its id, None if no group has it."""
        for group in self._services.groups.values():
            record = group.view.databases.get(database_id)
            if record is not None:
                return record
        return None

    def group_of(self, database_id: str) -> Group | None:
        """Returns the group of a database, None if no group has it."""
        record = self.find(database_id)
        return None if record is None else self._group(record.group)

    def _take_proof(self, database_id: str, true_at: float, position: LogPosition) -> None:
        group = self.group_of(database_id)
        if group is not None:
            group.record_proof(true_at, position)

    def _take_load(self, database_id: str, holder: str, report: LoadReport) -> None:
        group = self.group_of(database_id)
        if group is not None:
            group.take_load(database_id, holder, report)

    def _find_way(self, database_id: str, caller: str) -> Sequence[str] | None:
        """Returns the addresses of the processes to go through, None for the direct way."""
        group = self.group_of(database_id)
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

    def _group(self, name: str) -> Group:
        group = self._services.groups.get(name)
        if group is None:
            is_told = self._services.load_policy.told_load
            choice = ReadChoice(self._loop.now, random.random) if is_told else None
            bound = max(self._settings.timings.drain_bound - DRAIN_MARGIN_SECONDS, 1.0)
            group = Group(
                name,
                self._place,
                self._opener,
                self._loop.now,
                bound,
                self._direct,
                self._rights.of(name),
                choice,
                self._services.load_policy.silent_databases,
                self._services.load_policy.fair_callers,
            )
            group.record = self._services.record
            self._services.groups[name] = group
        return group

    def share_connections(self) -> None:
        """Has each group find anew how this process reaches its databases."""
        for name in self._services.routes.groups:
            self._group(name).set_holdings(self._find_holding)

    def _find_holding(self, record: DatabaseRecord) -> Holding:
        policy = self._services.routes.groups.get(record.group)
        if policy is None:
            return Holding(1)
        if not self._members.is_known:
            return Holding(max(share_of_connections(policy.max_connections, ASSUMED_MEMBERS), 1))

        def distance(zone: str) -> int:
            return self._place.steps_between(zone, record.zone)

        name = self._settings.name
        return holding_of(name, record.id, policy.max_connections, self._members.members, distance)
