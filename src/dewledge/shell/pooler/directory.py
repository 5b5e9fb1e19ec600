"""Applies the store's configuration and database rows to the routes and groups of the process.

Sets the active configuration (`services.routes`) and each group's view of its databases. The
platform adapter parses the rows; a row that cannot be parsed is logged and ignored.
"""

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.group_factory import GroupFactory, HoldingsUpdater
from dewledge.shell.pooler.notices import ProcessNotices
from dewledge.shell.pooler.platform_adapter import PlatformAdapter
from dewledge.shell.pooler.tables.isolation import apply_each

MAX_REFUSED_ROWS = 1000
"""Rows whose refusal is remembered, so that it is logged once."""


class Directory:
    """Maintains the routes and groups of a process. Call only from the event loop's thread."""

    def __init__(
        self,
        platform: PlatformAdapter,
        services: PoolServices,
        groups: GroupFactory,
        holdings_updater: HoldingsUpdater,
        notices: ProcessNotices,
    ) -> None:
        self._platform = platform
        self._services = services
        self._groups = groups
        self._holdings_updater = holdings_updater
        self._notices = notices
        self._now = services.scheduler.now
        self._groups_of_databases: dict[str, str] = {}
        """Group of the last row that named a database, by the database's id."""
        self._rows_of_unknown_groups: dict[str, StoreRow] = {}
        """Databases' rows, by key, whose group no configuration has named so far."""
        self._refused: dict[str, str] = {}
        """Why a database's row is refused, by key."""

    def apply_configuration_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        """Applies rows of the configuration table: either changed rows or a whole snapshot."""
        apply_each(rows, self._apply_configuration)

    def _apply_configuration(self, row: StoreRow) -> None:
        if row.key != self._platform.configuration_key or row.gone:
            return
        try:
            table = self._platform.parse_configuration(row.value)
        except ProtocolError as error:
            logger.bind(error=error.message, revision=row.version).error("configuration_refused")
            return
        if table.version <= self._services.routes.version:
            return
        self._services.routes = table
        for name in table.groups:
            self._groups.get_or_create(name)
        apply_each(tuple(self._rows_of_unknown_groups.values()), self._apply_database)
        self._holdings_updater.update_holdings()
        self._notices.configuration_changed.notify(table)
        logger.bind(version=table.version, revision=row.version, routes=len(table.routes)).info(
            "configuration_taken"
        )
        self._services.notify_if_configured()

    def apply_database_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        """Applies the whole table of databases; databases without a row are set to draining."""
        present = {row.key for row in rows}
        for key in set(self._rows_of_unknown_groups) - present:
            del self._rows_of_unknown_groups[key]
        for group in self._services.groups.values():
            for database_id in list(group.view.databases):
                if database_id not in present:
                    self._remove_database(group, database_id, version)
        self.apply_database_rows(rows, version)

    def apply_database_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        """Applies changed or deleted rows of the database table."""
        apply_each(rows, self._apply_database)

    def _apply_database(self, row: StoreRow) -> None:
        if row.gone:
            self._rows_of_unknown_groups.pop(row.key, None)
        record = None if row.gone else self._parse_database(row)
        previous = self._services.groups.get(self._groups_of_databases.get(row.key, ""))
        if previous is not None and (record is None or previous.view.name != record.group):
            self._remove_database(previous, row.key, row.version)
        if record is not None:
            self._groups_of_databases[row.key] = record.group
            self._apply_record(record)

    def _parse_database(self, row: StoreRow) -> DatabaseRecord | None:
        """Returns the database that a row names, None if it names none that can be used."""
        self._rows_of_unknown_groups.pop(row.key, None)
        try:
            record = self._platform.parse_database(row.key, row.value, row.version)
        except ProtocolError as error:
            self._log_refusal(row, error.message)
            return None
        self._refused.pop(row.key, None)
        if record.group in self._services.groups:
            return record
        self._rows_of_unknown_groups[row.key] = row
        return None

    def _log_refusal(self, row: StoreRow, reason: str) -> None:
        """Logs once why a row is refused; the owner of the table may write it again and again."""
        if self._refused.get(row.key) == reason:
            return
        if len(self._refused) >= MAX_REFUSED_ROWS:
            self._refused.clear()
        self._refused[row.key] = reason
        logger.bind(error=reason, database=row.key, revision=row.version).error(
            "database_entry_refused"
        )

    def _apply_record(self, record: DatabaseRecord) -> None:
        group = self._groups.get_or_create(record.group)
        group.change_view(group.view.with_record(record, self._now()))
        self._notices.group_changed.notify(record.group)
        logger.bind(
            database=record.id,
            group=record.group,
            zone=record.zone,
            role=record.role,
            draining=record.draining,
            revision=record.revision,
        ).info("database_known")
        self._services.notify_if_configured()

    def _remove_database(self, group: Group, database_id: str, revision: int) -> None:
        if database_id in group.view.databases:
            view = group.view.with_departure(database_id, revision, self._now())
            group.change_view(view)
            logger.bind(database=database_id, revision=revision).info("database_entry_gone")
