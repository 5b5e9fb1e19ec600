"""One pooler process, put together: clients, databases, the store's tables, readiness, the end."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
from loguru import logger

from dewledge.core.coordination_store import CoordinationStore, DutyCalls, StoreRow
from dewledge.core.pooling.codec import ClientCodec, DatabaseCodec
from dewledge.core.pooling.connection_share import share_of_connections
from dewledge.core.pooling.group import Group, Place
from dewledge.core.pooling.group_view import DatabaseRecord
from dewledge.core.pooling.routes import RouteTable
from dewledge.core.pooling.services import PoolServices
from dewledge.core.pooling.statements import Reply
from dewledge.core.succession.messages import DatabaseStatus
from dewledge.errors import ProtocolError
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.event_loop import EventLoop
from dewledge.shell.http_messages import Exchange, HttpLimits, HttpResponse
from dewledge.shell.http_server import HttpServer
from dewledge.shell.pooling.client_listener import ClientListener
from dewledge.shell.pooling.coordination_rows import TABLE
from dewledge.shell.pooling.database_opener import DatabaseOpener
from dewledge.shell.pooling.event_log import EventLog
from dewledge.shell.pooling.member_table import MemberTable
from dewledge.shell.pooling.pooler_metrics import CONTENT_TYPE as METRICS_TYPE
from dewledge.shell.pooling.pooler_metrics import PoolerMetrics
from dewledge.shell.pooling.relay import RelayServer
from dewledge.shell.pooling.settings_file import SettingsFile
from dewledge.shell.pooling.succession_driver import SuccessionDriver
from dewledge.shell.pooling.table_watcher import TableWatcher
from dewledge.shell.pooling.witnesses import Witnesses

SWEEP_SECONDS = 0.25
DRAIN_MARGIN_SECONDS = 2.0
EXECUTOR_THREADS = 8
PLAIN = "text/plain"


class PlatformAdapter(msgspec.Struct, frozen=True):
    """What the adapter of a platform brings: codecs, tables, and readers of their rows."""

    store: CoordinationStore
    duties: DutyCalls | None
    parse_status: Callable[[Reply], DatabaseStatus | None]
    new_client_codec: Callable[[], ClientCodec]
    new_database_codec: Callable[[], DatabaseCodec]
    configuration_table: str
    configuration_key: str
    database_table: str
    parse_configuration: Callable[[bytes], RouteTable]
    parse_database: Callable[[str, bytes, int], DatabaseRecord]


class PoolerProcess:
    """Everything of one process. All methods but `leave` belong to the loop's thread."""

    def __init__(
        self,
        settings: PoolerSettings,
        platform: PlatformAdapter,
        settings_file: Path | None = None,
    ) -> None:
        """Binds all addresses. Raises OSError if one cannot be bound.

        settings_file: read again when it changes or the process is told to.
        """
        self._settings_file = SettingsFile(settings_file)
        self._settings = settings
        self._platform = platform
        self._loop = EventLoop()
        self._metrics = PoolerMetrics()
        self._log = EventLog(self._metrics)
        self._services = PoolServices(_LoopScheduler(self._loop), self._log.record)
        self._opener = DatabaseOpener(
            self._loop,
            settings.name,
            platform.new_database_codec,
            self._find_database,
            self._find_relay,
        )
        self._place = Place(settings.zone, settings.zones)
        self._clients = ClientListener(
            self._loop,
            settings.client_address,
            self._services,
            platform.new_client_codec,
            settings.max_client_connections,
        )
        self._ready = HttpServer(
            self._loop, settings.ready_address, HttpLimits(), self._answer_ready
        )
        self._metrics_server = HttpServer(
            self._loop, settings.metrics_address, HttpLimits(), self._answer_metrics
        )
        self._add_gauges()
        self._executor = ThreadPoolExecutor(max_workers=EXECUTOR_THREADS)
        self._members = MemberTable(settings.name, settings.peer_address, platform.store)
        self._succession = SuccessionDriver(
            self._loop,
            settings.name,
            self._services.groups,
            platform.store,
            platform.duties,
            platform.parse_status,
            self._executor,
            lambda: self._members.addresses,
            self._log.record,
        )
        self._witnesses = Witnesses(
            self._loop,
            settings.peer_address,
            settings.name,
            self._find_database,
            lambda record: self._succession.doubt(record.group, record.id),
            self._succession.take_answer,
            self._succession.take_leader,
        )
        self._relays = RelayServer(self._loop, settings.peer_address, self._find_database)
        self._services.suspect = self._succession.doubt
        self._watchers = [
            self._watch(platform.configuration_table, self._configuration_rows),
            self._watch(platform.database_table, self._database_rows, self._database_snapshot),
            self._watch(TABLE, self._coordination_rows),
        ]
        self._leaving_since: float | None = None

    def run(self) -> None:
        """Serves until the process has left."""
        logger.bind(
            name=self._settings.name,
            zone=self._settings.zone,
            clients=self._settings.client_address,
            peers=self._settings.peer_address,
            store=self._settings.store_address,
        ).info("pooler_started")
        for watcher in self._watchers:
            self._executor.submit(watcher.run)
        self._executor.submit(self._members.register, lambda: self._leaving_since is not None)
        self._witnesses.start()
        self._relays.start()
        self._succession.start(self._witnesses)
        self._clients.start()
        self._ready.start()
        self._metrics_server.start()
        self._sweep()
        self._loop.run()

    def leave(self) -> None:
        """Begins a planned stop. May be called from a signal handler."""
        self._loop.post(self._leave)

    @property
    def client_address(self) -> str:
        """Where clients connect."""
        return self._clients.address

    @property
    def ready_address(self) -> str:
        """Where readiness is asked for."""
        return self._ready.address

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        return self._leaving_since is None and self._services.is_configured

    def _leave(self) -> None:
        if self._leaving_since is not None:
            return
        self._leaving_since = self._loop.now()
        logger.bind(sessions=len(self._clients.connections)).info("pooler_leaving")

    def _answer_ready(self, exchange: Exchange) -> None:
        status = 200 if self.is_ready else 503
        exchange.respond(HttpResponse(status, b"", PLAIN))

    def _answer_metrics(self, exchange: Exchange) -> None:
        exchange.respond(HttpResponse(200, self._metrics.render(), METRICS_TYPE))

    def _add_gauges(self) -> None:
        groups = self._services.groups
        gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
            ("client_sessions", "Clients' sessions open.", self._count_sessions),
            (
                "database_connections",
                "Connections to databases.",
                lambda: sum(pool.size for group in groups.values() for pool in group.all_pools()),
            ),
            (
                "statements_waiting",
                "Statements that wait for a connection.",
                lambda: sum(
                    pool.waiting for group in groups.values() for pool in group.all_pools()
                ),
            ),
            ("members", "Processes that registered.", lambda: self._members.count),
            ("configuration_version", "In force.", lambda: self._services.routes.version),
            ("ready", "1 while new sessions are taken.", lambda: float(self.is_ready)),
        )
        for name, description, read in gauges:
            self._metrics.add_gauge(name, description, read)

    def _count_sessions(self) -> float:
        return len(self._clients.connections)

    def reload(self) -> None:
        """Reads the settings file again. May be called from a signal handler."""
        self._loop.post(self._reload)

    def _reload(self) -> None:
        changed = self._settings_file.read(self._settings)
        if changed is not None:
            self._settings = changed
            self._platform.store.change_address(changed.store_address)

    def _watch(
        self,
        table: str,
        changed: Callable[[tuple[StoreRow, ...], int], None],
        snapshot: Callable[[tuple[StoreRow, ...], int], None] | None = None,
    ) -> TableWatcher:
        return TableWatcher(
            self._platform.store, table, snapshot or changed, changed, self._loop.post
        )

    # What the store tells.

    def _configuration_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
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
        self._share_connections()
        logger.bind(version=table.version, revision=row.version, routes=len(table.routes)).info(
            "configuration_taken"
        )
        self._services.wake_if_configured()

    def _coordination_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
        if self._members.take_rows(rows):
            self._succession.members_changed()
            self._share_connections()
        self._succession.take_rows(rows)

    def _database_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        present = {row.key for row in rows}
        for group in self._services.groups.values():
            for database_id in list(group.view.databases):
                if database_id not in present:
                    self._database_gone(group, database_id, version)
        self._database_rows(rows, version)

    def _database_rows(self, rows: tuple[StoreRow, ...], _version: int) -> None:
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
        self._succession.look_at(record.group)
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

    def _find_database(self, database_id: str) -> DatabaseRecord | None:
        for group in self._services.groups.values():
            record = group.view.databases.get(database_id)
            if record is not None:
                return record
        return None

    def _find_relay(self, record: DatabaseRecord) -> str | None:
        return self._group(record.group).relay_to(record.id)

    def _group(self, name: str) -> Group:
        group = self._services.groups.get(name)
        if group is None:
            bound = max(self._settings.timings.drain_bound - DRAIN_MARGIN_SECONDS, 1.0)
            group = Group(name, self._place, self._opener, self._loop.now, bound)
            self._services.groups[name] = group
        return group

    def _share_connections(self) -> None:
        for name, policy in self._services.routes.groups.items():
            limit = share_of_connections(policy.max_connections, self._members.count)
            self._group(name).set_connection_limit(limit)

    # Time.

    def _sweep(self) -> None:
        now = self._loop.now()
        self._end_resting_transactions(now)
        for group in self._services.groups.values():
            group.trim_connections()
        if self._settings_file.has_changed():
            self._reload()
        if self._leaving_since is not None:
            self._continue_leaving(now - self._leaving_since)
        self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def _end_resting_transactions(self, now: float) -> None:
        limit = self._services.routes.transaction_idle_timeout
        for connection in list(self._clients.connections):
            since = connection.session.resting_since()
            if since is not None and now - since > limit:
                connection.session.end_transaction("rested_too_long")

    def _continue_leaving(self, elapsed: float) -> None:
        bound = self._settings.timings.stop_bound
        for connection in list(self._clients.connections):
            if elapsed > bound / 2:
                connection.session.end_transaction("planned_stop")
            connection.session.leave()
        if elapsed > bound / 2 and not self._clients.connections or elapsed > bound * 0.9:
            self._finish()

    def _finish(self) -> None:
        self._succession.stop()
        logger.bind(unfinished=len(self._clients.connections)).info("pooler_stopped")
        for watcher in self._watchers:
            watcher.stop()
        self._clients.close()
        self._ready.close()
        self._metrics_server.close()
        self._witnesses.close()
        self._relays.close()
        self._loop.stop()


class _LoopScheduler:
    """The loop as the core's clock and timers."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.now = loop.now
        self.call_later = loop.call_later
