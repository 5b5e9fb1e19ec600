"""One pooler process, put together: clients, databases, the store's tables, readiness, the end."""

import secrets
import socket
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import RegisteredProcesses
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLeases
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.members import Member
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.directory import Directory
from dewledge.shell.pooler.failover.claim_events import ClaimEvents
from dewledge.shell.pooler.failover.claim_keeper import ClaimKeeper
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.failover_driver import FailoverDriver
from dewledge.shell.pooler.failover.indirect_probes import IndirectProbes
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.observing.event_log import EventLog
from dewledge.shell.pooler.observing.pooler_metrics import CONTENT_TYPE as METRICS_TYPE
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.observing.process_gauges import add_process_gauges
from dewledge.shell.pooler.observing.stall_watch import StallWatch
from dewledge.shell.pooler.observing.wait_reporter import WaitReporter
from dewledge.shell.pooler.platform_adapter import PlatformAdapter
from dewledge.shell.pooler.quota_driver import QuotaDriver
from dewledge.shell.pooler.settings_file import SettingsFile
from dewledge.shell.pooler.tables.coordination_rows import TABLE
from dewledge.shell.pooler.tables.member_table import MemberTable
from dewledge.shell.pooler.tables.table_reading import (
    RIGHT_WAIT_SECONDS,
    URGENT_WAIT_SECONDS,
    TableReading,
)
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.http_messages import Exchange, HttpLimits, HttpResponse
from dewledge.shell.shared.http_server import HttpServer
from dewledge.shell.shared.sockets import listen_tcp

SWEEP_SECONDS = 0.25
TAKE_SHARE = 0.55
"""Of a planned stop's time; what is taken later might be cut by the end of the process."""
EXECUTOR_THREADS = 8
PLAIN = "text/plain"


class PoolerProcess:
    """Everything of one process. All methods but `leave` belong to the loop's thread."""

    def __init__(
        self,
        settings: PoolerSettings,
        platform: PlatformAdapter,
        settings_file: Path | None = None,
        client_listener: socket.socket | None = None,
    ) -> None:
        """Binds all addresses. Raises OSError if one cannot be bound.

        settings_file: read again when it changes or the process is told to.
        client_listener: listens at the clients' address already; bound here if there is none.
        """
        self._settings_file = SettingsFile(settings_file)
        self._settings = settings
        self._platform = platform
        self._loop = EventLoop()
        self._metrics = PoolerMetrics()
        self._log = EventLog(self._metrics)
        self._services = PoolServices(_LoopScheduler(self._loop), self._log.record)
        self._services.load_policy = settings.load.policy
        fencing = Fencing.PLATFORM if settings.promotions_fenced else Fencing.PROCESSES
        # Where processes fence, a row written before this start would pass for this process's word.
        start = secrets.token_hex(4) if fencing is Fencing.PROCESSES else ""
        own = Member(settings.peer_address, settings.zone, start)
        self._rights = PrimaryLeases(fencing)
        self._members = MemberTable(settings.name, own, platform.store)
        self._links = OutgoingLinks(
            self._loop, settings.name, self._log.record, settings.load.policy.silent_holders
        )
        self._channels = ChannelClient(self._loop, self._links)
        self._directory = Directory(
            self._loop,
            settings,
            platform,
            self._services,
            self._members,
            self._channels,
            self._rights,
        )
        self._clients = ClientListener(
            self._loop,
            client_listener or listen_tcp(settings.client_address)[0],
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
        self._executor = ThreadPoolExecutor(max_workers=EXECUTOR_THREADS)
        self._claim_events = ClaimEvents()
        failover = FailoverContext(
            self._loop,
            settings.name,
            self._services.groups,
            self._rights,
            platform.store,
            self._executor,
            self._claim_events,
        )
        self._succession = FailoverDriver(
            failover,
            platform.duties,
            platform.parse_status,
            lambda: self._members.addresses,
            self._log.record,
        )
        self._peers = PeerSocket(self._loop, settings.peer_address)
        self._quota = QuotaDriver(
            self._loop,
            settings.name,
            settings.quota.policy,
            self._services,
            self._members,
            self._peers,
            self._log,
        )
        self._directory.configuration_changed = self._quota.configuration_changed
        self._claims = ClaimKeeper(failover, self._members, self._peers)
        self._witnesses = IndirectProbes(
            self._loop,
            settings.name,
            self._peers,
            self._directory.find,
            self._directory.reach_limit,
            self._succession,
        )
        self._tables = TableReading(
            self._loop, settings, platform, self._links, self._members, self._executor, TABLE
        )
        self._tables.add(
            platform.configuration_table,
            self._directory.take_configuration_rows,
            self._directory.take_configuration_rows,
            URGENT_WAIT_SECONDS,
        )
        self._tables.add(
            platform.database_table,
            self._directory.take_database_snapshot,
            self._directory.take_database_rows,
        )
        self._add_coordination_table(fencing)
        self._lending = ChannelServer(
            self._loop,
            settings.peer_address,
            self._services,
            self._directory.group_of,
            self._tables.take_question,
        )
        add_process_gauges(
            self._metrics,
            self._services,
            self._clients,
            self._members,
            self._links,
            self._lending,
            lambda: self.is_ready,
        )
        self._services.suspect = self._succession.doubt
        self._directory.group_changed = self._succession.look_at
        self._leaving_since: float | None = None
        self._stall_watch = StallWatch(SWEEP_SECONDS)
        self._waits = WaitReporter(
            self._services.scheduler, self._services.groups, self._log.record
        )

    def run(self) -> None:
        """Serves until the process has left."""
        logger.bind(
            name=self._settings.name,
            zone=self._settings.zone,
            clients=self._settings.client_address,
            peers=self._settings.peer_address,
            store=self._settings.store_address,
        ).info("pooler_started")
        self._tables.start()
        self._peers.start()
        self._claims.start()
        self._quota.start()
        self._lending.start()
        self._succession.start(self._witnesses)
        self._clients.start()
        self._ready.start()
        self._metrics_server.start()
        self._waits.start()
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
        self._lending.leave()
        logger.bind(
            sessions=len(self._clients.connections), channels=self._lending.channel_count
        ).info("pooler_leaving")

    def _answer_ready(self, exchange: Exchange) -> None:
        status = 200 if self.is_ready else 503
        exchange.respond(HttpResponse(status, b"", PLAIN))

    def _answer_metrics(self, exchange: Exchange) -> None:
        exchange.respond(HttpResponse(200, self._metrics.render(), METRICS_TYPE))

    def reload(self) -> None:
        """Reads the settings file again. May be called from a signal handler."""
        self._loop.post(self._reload)

    def _reload(self) -> None:
        changed = self._settings_file.read(self._settings)
        if changed is not None:
            self._settings = changed
            self._platform.store.change_address(changed.store_address)

    def _add_coordination_table(self, fencing: Fencing) -> None:
        if fencing is Fencing.PLATFORM:
            self._tables.add(TABLE, self._coordination_snapshot, self._coordination_rows)
            return
        # The holder of a claim waits for all that have rows beside it, so it has to know these.
        self._claim_events.written.add(lambda: self._tables.read_soon(TABLE))
        self._tables.add(
            TABLE,
            self._coordination_snapshot,
            self._coordination_rows,
            RIGHT_WAIT_SECONDS,
            self._claims.store_confirmed,
        )

    def _coordination_snapshot(self, rows: tuple[StoreRow, ...], version: int) -> None:
        self._take_coordination(rows, version, self._members.take_snapshot(rows))

    def _coordination_rows(self, rows: tuple[StoreRow, ...], version: int) -> None:
        self._take_coordination(rows, version, self._members.take_rows(rows))

    def _take_coordination(
        self, rows: tuple[StoreRow, ...], version: int, members_changed: bool
    ) -> None:
        if members_changed:
            self._succession.members_changed()
            self._quota.members_changed()
            self._directory.share_connections()
            self._tables.members_changed()
        self._members.register_if_missing(self._executor, lambda: self._leaving_since is not None)
        names = frozenset(self._members.members)
        self._succession.take_registered(RegisteredProcesses(names, version))
        self._succession.take_rows(rows)
        self._claims.take_rows(rows)

    # Time.

    def _sweep(self) -> None:
        now = self._loop.now()
        stall = self._stall_watch.tick(now)
        if stall is not None:
            self._log.record(stall)
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
            elif since is not None:
                connection.session.end_if_denied()

    def _continue_leaving(self, elapsed: float) -> None:
        bound = self._settings.timings.stop_bound
        if elapsed > bound * TAKE_SHARE and not self._services.is_ending:
            self._services.is_ending = True
            self._clients.close()
        for connection in list(self._clients.connections):
            if elapsed > bound / 2:
                connection.session.end_transaction("planned_stop")
            connection.leave()
        is_done = not self._clients.connections and self._lending.at_rest
        if (elapsed > bound / 2 and is_done) or elapsed > bound * 0.9:
            self._finish()

    def _finish(self) -> None:
        self._succession.stop()
        self._waits.tell()
        logger.bind(unfinished=len(self._clients.connections)).info("pooler_stopped")
        self._tables.stop()
        self._clients.close()
        self._ready.close()
        self._metrics_server.close()
        self._claims.stop()
        self._peers.close()
        self._lending.close()
        self._links.close()
        self._loop.stop()


class _LoopScheduler:
    """The loop as the core's clock and timers."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self.now = loop.now
        self.call_later = loop.call_later
