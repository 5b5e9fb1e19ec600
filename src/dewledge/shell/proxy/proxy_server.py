"""One whole proxy: binds its addresses, runs its loop, and stops as planned."""

import threading
import time
from functools import partial
from random import Random

from loguru import logger

from dewledge.adapters.http_database import HttpDatabaseDriver
from dewledge.adapters.http_platform import (
    HttpMachineList,
    HttpObjectStore,
    HttpTableService,
    PlatformClient,
)
from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.messages import PROTOCOL_VERSION, Hello
from dewledge.core.proxy.ports import DatabaseDriver
from dewledge.settings import ProxySettings
from dewledge.shell.proxy.core_settings import core_settings, deadline_bounds, http_limits
from dewledge.shell.proxy.database_workers import DatabaseWorkers
from dewledge.shell.proxy.datagrams import DatagramSocket
from dewledge.shell.proxy.http_edge import HttpEdge
from dewledge.shell.proxy.peer_links import PeerLinks
from dewledge.shell.proxy.proxy_driver import ProxyDriver
from dewledge.shell.proxy.stop_rule import StopProgress, may_finish
from dewledge.shell.proxy.store_calls import StoreCalls
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.http_server import HttpServer

STOP_CHECK_SECONDS = 0.02
FAREWELL_SECONDS = 0.5
"""How long callers get to read their last answers and hang up."""

INCARNATIONS_PER_SECOND = 1000


class ProxyServer:
    """A proxy from start to end. `run` blocks; `start` runs it on a thread of its own.

    caller_address, peer_address, gossip_address: as bound, with the real ports.
    loop: where everything happens; of use from outside for measuring only.
    """

    def __init__(self, settings: ProxySettings, driver: DatabaseDriver | None = None) -> None:
        """Binds the addresses. Raises OSError if one cannot be bound."""
        self.settings = settings
        self.loop = EventLoop()
        self._random = Random()
        self._driver = ProxyDriver(
            self.loop, settings.name, settings.zone, deadline_bounds(settings)
        )
        incarnation = int(time.time() * INCARNATIONS_PER_SECOND)
        hello = Hello(PROTOCOL_VERSION, settings.name, incarnation)
        edge = HttpEdge(self._driver)
        self._http = HttpServer(
            self.loop, settings.caller_address, http_limits(settings), edge.handle
        )
        self._links = PeerLinks(self.loop, hello, settings.peer_address, self._random, self._driver)
        self._datagrams = DatagramSocket(self.loop, settings.gossip_address)
        self._workers = DatabaseWorkers(
            self.loop,
            driver or HttpDatabaseDriver(settings.zone, settings.region),
            self._driver,
        )
        self._store = self._make_store()
        self._connect_core(incarnation)
        self._add_gauges()
        self._thread: threading.Thread | None = None
        self._leaving_since: float | None = None

    @property
    def name(self) -> str:
        """The proxy's name."""
        return self.settings.name

    @property
    def caller_address(self) -> str:
        """Where callers and operators ask."""
        return self._http.address

    @property
    def peer_address(self) -> str:
        """Where other proxies dial."""
        return self._links.address

    @property
    def gossip_address(self) -> str:
        """Where membership datagrams arrive."""
        return self._datagrams.address

    def run(self) -> None:
        """Serves until `stop` or `leave` has ended it."""
        with logger.contextualize(proxy=self.name):
            self.loop.post(self._begin)
            self.loop.run()

    def start(self) -> None:
        """Serves on a thread of its own."""
        self._thread = threading.Thread(target=self.run, name=f"proxy-{self.name}", daemon=True)
        self._thread.start()

    def leave(self) -> None:
        """Begins a planned stop. May be called from any thread or a signal handler."""
        self.loop.post(self._leave)

    def stop(self) -> None:
        """Ends at once, without a word to anybody. May be called from any thread."""
        self.loop.post(self._end)

    def join(self, timeout: float | None = None) -> bool:
        """Waits until the thread of `start` has ended; returns whether it has."""
        if self._thread is None:
            return True
        self._thread.join(timeout)
        return not self._thread.is_alive()

    def _make_store(self) -> StoreCalls:
        client = PlatformClient(self.settings.platform_address)
        return StoreCalls(
            self.loop,
            HttpTableService(client),
            HttpObjectStore(client),
            HttpMachineList(client),
            self.settings.limits.platform_threads,
        )

    def _connect_core(self, incarnation: int) -> None:
        settings = self.settings
        me = Member(
            name=settings.name,
            peer_address=self._links.address,
            gossip_address=self._datagrams.address,
            zone=settings.zone,
            incarnation=incarnation,
        )
        codec = SessionTokenCodec([key.encode() for key in settings.session_keys])
        core = ProxyCore(me, core_settings(settings), codec, self._random)
        self._driver.connect(core, self._links, self._datagrams, self._workers, self._store)

    def _add_gauges(self) -> None:
        driver, metrics = self._driver, self._driver.metrics
        gauges = (
            (
                "caller_connections",
                "Callers' open connections.",
                lambda: self._http.connection_count,
            ),
            ("requests_in_flight", "Callers' requests not answered.", lambda: driver.in_flight),
            ("peer_links", "Open links to and from peers.", lambda: self._links.link_count),
            ("members", "Members that are not gone.", lambda: len(driver.members)),
            ("database_connections", "Open back-end connections.", self._database_connections),
            ("configuration_revision", "Revision in force.", lambda: driver.configuration.revision),
            ("serving", "1 while new work is taken.", lambda: float(driver.is_serving)),
        )
        for name, description, read in gauges:
            metrics.add_gauge(name, description, read)

    def _database_connections(self) -> float:
        return self._workers.connection_count

    # On the loop's thread.

    def _begin(self) -> None:
        self._datagrams.start(self._driver.datagram)
        self._links.start()
        self._http.start()
        self._driver.start(self.settings.seeds)
        logger.bind(
            callers=self.caller_address, peers=self.peer_address, gossip=self.gossip_address
        ).info("proxy_started")

    def _leave(self) -> None:
        if self._leaving_since is not None:
            return
        self._leaving_since = self.loop.now()
        logger.bind(in_flight=self._driver.in_flight).info("proxy_leaving")
        self._driver.leave()
        self._http.leave()
        self.loop.call_later(STOP_CHECK_SECONDS, self._check_finished)

    def _check_finished(self) -> None:
        if not self._may_finish():
            self.loop.call_later(STOP_CHECK_SECONDS, self._check_finished)
            return
        self._http.close_idle()
        self._driver.stop()
        self._await_farewell(self.loop.now() + FAREWELL_SECONDS)

    def _may_finish(self) -> bool:
        assert self._leaving_since is not None
        now = self.loop.now()
        progress = StopProgress(
            elapsed=now - self._leaving_since,
            since_request=now - self._driver.last_peer_request_at,
            in_flight=self._http.in_flight,
            core_idle=self._driver.is_idle,
            connections=self._http.connection_count,
        )
        return may_finish(progress, self.settings.timings.leave_bound)

    def _await_farewell(self, until: float) -> None:
        if self._http.connection_count and self.loop.now() < until:
            self.loop.call_later(STOP_CHECK_SECONDS, partial(self._await_farewell, until))
            return
        logger.bind(unfinished=self._http.in_flight).info("proxy_stopped")
        self._end()

    def _end(self) -> None:
        self._http.close()
        self._links.close()
        self._datagrams.close()
        self._workers.shut_down()
        self._store.shut_down()
        self.loop.stop()
