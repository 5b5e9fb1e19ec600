"""Takes the store's rows of the configuration and of databases, and keeps groups by them.

Owns what these rows say: the configuration in force (`services.routes`) and each group's view of
its databases. An unreadable row is logged and changes nothing. Relies on the platform's adapter to
read rows, and on `group_factory` for groups and for the shares of their connections.
"""

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.group_factory import ConnectionShares, GroupFactory
from dewledge.shell.pooler.notices import ProcessNotices
from dewledge.shell.pooler.platform_adapter import PlatformAdapter


class Directory:
    """Routes and groups of one process. All methods belong to the loop's thread."""

    def __init__(
        self,
        platform: PlatformAdapter,
        services: PoolServices,
        groups: GroupFactory,
        shares: ConnectionShares,
        notices: ProcessNotices,
    ) -> None:
        self._platform = platform
        self._services = services
        self._groups = groups
        self._shares = shares
        self._notices = notices
        self._now = services.scheduler.now

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
            self._groups.group(name)
        self._shares.share_anew()
        self._notices.configuration_changed.tell(table)
        logger.bind(version=table.version, revision=row.version, routes=len(table.routes)).info(
            "configuration_taken"
        )
        self._services.notify_if_configured()

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
        group = self._groups.group(record.group)
        group.change_view(group.view.with_record(record, self._now()))
        self._notices.group_changed.tell(record.group)
        logger.bind(
            database=record.id,
            group=record.group,
            zone=record.zone,
            role=record.role,
            draining=record.draining,
            revision=row.version,
        ).info("database_known")
        self._services.notify_if_configured()

    def _database_gone(self, group: Group, database_id: str, revision: int) -> None:
        if database_id in group.view.databases:
            view = group.view.with_departure(database_id, revision, self._now())
            group.change_view(view)
            logger.bind(database=database_id, revision=revision).info("database_entry_gone")
