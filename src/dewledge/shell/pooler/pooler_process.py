"""Starts, periodically maintains and stops the components of a pooler process.

`composition` builds the components; `planned_stop` controls the steps of a shutdown.
"""

import socket
from pathlib import Path

from loguru import logger

from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.composition import (
    DatabaseAccess,
    Failover,
    PeerAccess,
    ProcessBase,
    build_quota,
    build_tables,
    subscribe_listeners,
)
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.observing.process_gauges import GaugeSources, add_process_gauges
from dewledge.shell.pooler.observing.stall_watch import StallWatch
from dewledge.shell.pooler.observing.status_pages import StatusPages
from dewledge.shell.pooler.observing.wait_reporter import WaitReporter
from dewledge.shell.pooler.planned_stop import PlannedStop
from dewledge.shell.pooler.platform_adapter import PlatformAdapter
from dewledge.shell.pooler.settings_file import CurrentSettings
from dewledge.shell.shared.sockets import listen_tcp

MAINTENANCE_INTERVAL_SECONDS = 0.25
"""Seconds between two runs of the periodic maintenance."""


class PoolerProcess:
    """Owns the components of a pooler process, from binding its addresses to a planned stop.

    Methods other than `leave` and `reload` must be called on the event loop's thread.
    """

    def __init__(
        self,
        settings: PoolerSettings,
        platform: PlatformAdapter,
        settings_file: Path | None = None,
        client_listener: socket.socket | None = None,
    ) -> None:
        """Binds all addresses. Raises OSError if one cannot be bound.

        settings_file: reloaded when it changes and by `reload`.
        client_listener: a socket already listening for clients; created here if None.
        """
        self._settings = CurrentSettings(
            settings, settings_file, platform.store, platform.promotions
        )
        base = ProcessBase(settings, platform)
        self._loop, self._services, self._log = base.loop, base.services, base.log
        self._readiness = base.readiness
        self._clients = self._build_clients(base, client_listener)
        self._pages = StatusPages(self._loop, settings, base.metrics, lambda: self.is_ready)
        self._peer_access = PeerAccess(base)
        access = DatabaseAccess(base, self._peer_access)
        self._failover = Failover(base, self._peer_access, access.connect_timeout)
        self._quota = build_quota(base, self._peer_access)
        self._tables = build_tables(base, self._peer_access, access.directory, self._failover)
        subscribe_listeners(
            base.notices, self._failover.driver, self._quota, access.holdings_updater, self._tables
        )
        self._channel_server = self._build_channel_server(base)
        self._stop = self._build_stop()
        self._add_gauges(base)
        self._stall_watch = StallWatch(MAINTENANCE_INTERVAL_SECONDS)
        groups = self._services.groups
        self._waits = WaitReporter(self._services.scheduler, groups, self._log.record)

    def _build_clients(self, base: ProcessBase, listener: socket.socket | None) -> ClientListener:
        return ClientListener(
            base.loop,
            listener or listen_tcp(base.settings.client_address)[0],
            base.services,
            base.platform.new_client_codec,
            base.settings.max_client_connections,
        )

    def _build_channel_server(self, base: ProcessBase) -> ChannelServer:
        return ChannelServer(
            base.loop,
            base.settings.peer_address,
            base.services,
            base.databases.group_of,
            self._tables.handle_request,
        )

    def _build_stop(self) -> PlannedStop:
        return PlannedStop(
            self._readiness,
            self._services,
            self._clients,
            self._channel_server,
            self._settings,
            self._finish,
        )

    def _add_gauges(self, base: ProcessBase) -> None:
        parts = GaugeSources(
            base.services,
            self._clients,
            self._peer_access.members,
            self._peer_access.links,
            self._channel_server,
            lambda: self.is_ready,
        )
        add_process_gauges(base.metrics, parts)

    def run(self) -> None:
        """Runs the event loop until a planned stop is complete."""
        settings = self._settings.current
        logger.bind(
            name=settings.name,
            zone=settings.zone,
            clients=settings.client_address,
            peers=settings.peer_address,
            store=settings.store_address,
        ).info("pooler_started")
        self._tables.start()
        self._peer_access.peers.start()
        self._failover.claims.start()
        self._quota.start()
        self._channel_server.start()
        self._failover.driver.start(self._failover.probes)
        self._clients.start()
        self._pages.start()
        self._waits.start()
        self._run_maintenance()
        self._loop.run()

    def leave(self) -> None:
        """Begins a planned stop. Safe to call from a signal handler."""
        self._loop.post(lambda: self._stop.begin(self._loop.now()))

    def reload(self) -> None:
        """Reloads the settings file. Safe to call from a signal handler."""
        self._loop.post(self._settings.reload)

    @property
    def client_address(self) -> str:
        """Address on which clients connect."""
        return self._clients.address

    @property
    def ready_address(self) -> str:
        """Address of the readiness endpoint."""
        return self._pages.ready_address

    @property
    def is_ready(self) -> bool:
        """Whether this process should receive new connections."""
        return self._readiness.is_ready

    # Periodic maintenance.

    def _run_maintenance(self) -> None:
        now = self._loop.now()
        stall = self._stall_watch.tick(now)
        if stall is not None:
            self._log.record(stall)
        self._end_idle_transactions(now)
        for group in self._services.groups.values():
            group.trim_connections()
        self._settings.reload_if_changed()
        self._stop.advance(now)
        self._loop.call_later(MAINTENANCE_INTERVAL_SECONDS, self._run_maintenance)

    def _end_idle_transactions(self, now: float) -> None:
        limit = self._services.routes.transaction_idle_timeout
        for connection in list(self._clients.connections):
            since = connection.session.idle_since()
            if since is not None and now - since > limit:
                connection.session.end_transaction("rested_too_long")
            elif since is not None:
                connection.session.end_transaction_if_unauthorized()

    def _finish(self) -> None:
        self._failover.driver.stop()
        self._waits.report()
        logger.bind(
            unfinished=len(self._clients.connections), sending=self._clients.sending_count
        ).info("pooler_stopped")
        self._tables.stop()
        self._clients.close()
        self._pages.close()
        self._failover.claims.stop()
        self._peer_access.peers.close()
        self._channel_server.close()
        self._peer_access.links.close()
        self._loop.stop()
