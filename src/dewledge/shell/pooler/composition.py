"""Builds the components of a pooler process in the order of their dependencies.

Each class builds related components in its constructor, from components of the classes above it.
`subscribe_listeners` subscribes the components to each other's notices. `pooler_process` starts and
stops them.
"""

import secrets
from concurrent.futures import ThreadPoolExecutor

from dewledge.core.pooler.failover.connect_timeout import ConnectTimeout
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLeases
from dewledge.core.pooler.rate_limits.gate import QuotaGate
from dewledge.core.pooler.rate_limits.grantor import Grantor
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.members import Member
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.coordination_table import CoordinationTable
from dewledge.shell.pooler.directory import Directory
from dewledge.shell.pooler.failover.claim_events import ClaimEvents
from dewledge.shell.pooler.failover.claim_keeper import ClaimKeeper
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.failover_driver import FailoverDriver
from dewledge.shell.pooler.failover.indirect_probes import IndirectProbes
from dewledge.shell.pooler.group_factory import GroupFactory, HoldingsUpdater
from dewledge.shell.pooler.known_databases import KnownDatabases, RouteFinder
from dewledge.shell.pooler.links.channel_client import ChannelClient
from dewledge.shell.pooler.links.database_opener import DirectOpener, SharingOpener
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.links.peer_socket import PeerSocket
from dewledge.shell.pooler.notices import ProcessNotices
from dewledge.shell.pooler.observing.event_log import EventLog
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.planned_stop import Readiness
from dewledge.shell.pooler.platform_adapter import PlatformAdapter
from dewledge.shell.pooler.quota_driver import QuotaDriver
from dewledge.shell.pooler.tables.coordination_rows import TABLE
from dewledge.shell.pooler.tables.member_table import MemberTable
from dewledge.shell.pooler.tables.table_reading import (
    CONFIGURATION_WAIT_SECONDS,
    DATABASES_RESTORE_WAIT_SECONDS,
    LEASE_WAIT_SECONDS,
    StoreCalls,
    TableReading,
)
from dewledge.shell.shared.event_loop import EventLoop

EXECUTOR_THREADS = 8
"""Number of threads for blocking calls: one for each of the three watched tables, the others for
writes to the store and promotions."""


class LoopScheduler:
    """Provides the clock and timers of the event loop as a `Scheduler` of `core`."""

    def __init__(self, loop: EventLoop) -> None:
        self.now = loop.now
        self.call_later = loop.call_later


class ProcessBase:
    """Components that all others use: settings, event loop, log, threads and session services."""

    def __init__(self, settings: PoolerSettings, platform: PlatformAdapter) -> None:
        self.settings = settings
        self.platform = platform
        self.loop = EventLoop()
        self.metrics = PoolerMetrics()
        self.log = EventLog(self.metrics)
        self.notices = ProcessNotices()
        scheduler = LoopScheduler(self.loop)
        self.gate = QuotaGate(
            scheduler,
            settings.name,
            settings.quota.policy,
            self.notices.quota_asked.notify,
            scheduler.now(),
        )
        self.services = PoolServices(
            scheduler,
            self.log.record,
            settings.load.policy,
            self.gate,
            self.notices.database_suspected.notify,
        )
        self.databases = KnownDatabases(self.services.groups)
        self.readiness = Readiness(self.services)
        self.executor = ThreadPoolExecutor(max_workers=EXECUTOR_THREADS)


class PeerAccess:
    """Communication with the other processes: member table, links, datagrams, primary leases."""

    def __init__(self, base: ProcessBase) -> None:
        """Binds the datagram address. Raises OSError if that fails."""
        settings, loop = base.settings, base.loop
        self.fencing = Fencing.PLATFORM if settings.promotions_fenced else Fencing.PROCESSES
        # With fencing by processes, a restart must change this process's row.
        start = secrets.token_hex(4) if self.fencing is Fencing.PROCESSES else ""
        local_member = Member(settings.peer_address, settings.zone, start)
        self.leases = PrimaryLeases(self.fencing)
        self.members = MemberTable(settings.name, local_member, base.platform.store)
        detects_silent_holders = settings.load.policy.silent_holders
        self.links = OutgoingLinks(loop, settings.name, base.log.record, detects_silent_holders)
        self.channels = ChannelClient(loop, self.links, base.databases)
        self.peers = PeerSocket(loop, settings.peer_address)


class DatabaseAccess:
    """The database groups, and the openers of connections to their databases."""

    def __init__(self, base: ProcessBase, peer_access: PeerAccess) -> None:
        settings, services = base.settings, base.services
        self.connect_timeout = ConnectTimeout()
        """Connection timeout, adapted to the connection times that openers and probes observe."""
        direct = DirectOpener(
            base.loop,
            settings.name,
            base.platform.new_database_codec,
            base.databases.find,
            self.connect_timeout,
        )
        routes = RouteFinder(base.databases, peer_access.members)
        opener = SharingOpener(direct, peer_access.channels, routes.find)
        groups = GroupFactory(settings, services, peer_access.leases, opener, direct)
        self.holdings_updater = HoldingsUpdater(settings, services, peer_access.members, groups)
        self.directory = Directory(
            base.platform, services, groups, self.holdings_updater, base.notices
        )


class Failover:
    """Detection and replacement of lost primaries; the decisions are in `core/pooler/failover`."""

    def __init__(
        self, base: ProcessBase, peer_access: PeerAccess, connect_timeout: ConnectTimeout
    ) -> None:
        settings, platform = base.settings, base.platform
        self.claim_events = ClaimEvents()
        context = FailoverContext(
            base.loop,
            settings.name,
            base.services.groups,
            peer_access.leases,
            platform.store,
            base.executor,
            self.claim_events,
            lambda group: base.services.routes.synchronous_replicas(group),
        )
        self.driver = FailoverDriver(
            context,
            platform.promotions,
            platform.parse_status,
            lambda: peer_access.members.addresses,
            base.log.record,
        )
        self.claims = ClaimKeeper(context, peer_access.members, peer_access.peers)
        self.probes = IndirectProbes(
            base.loop,
            settings.name,
            peer_access.peers,
            base.databases.find,
            connect_timeout,
            self.driver,
        )


def build_quota(base: ProcessBase, peer_access: PeerAccess) -> QuotaDriver:
    """Returns the driver that enforces callers' rate limits across all processes."""
    name = base.settings.name
    grantor = Grantor(name, base.settings.quota.policy, base.log.record)
    members, peers = peer_access.members, peer_access.peers
    return QuotaDriver(base.loop, name, base.gate, grantor, members, peers)


def build_tables(
    base: ProcessBase, peer_access: PeerAccess, directory: Directory, failover: Failover
) -> TableReading:
    """Returns the reader of the store's tables, with a handler for the rows of each table."""
    platform, members = base.platform, peer_access.members
    calls = StoreCalls(platform.store, base.executor)
    tables = TableReading(base.loop, base.settings, calls, peer_access.links, members, TABLE)
    configuration = directory.apply_configuration_rows
    age = base.services.configuration_age
    age.watch(base.settings.timings.configuration_bound)
    age.request_confirmation = lambda: tables.read_now(platform.configuration_table)
    tables.add(
        platform.configuration_table,
        configuration,
        configuration,
        CONFIGURATION_WAIT_SECONDS,
        age.confirm,
    )
    tables.add(
        platform.database_table,
        directory.apply_database_snapshot,
        directory.apply_database_rows,
        restore_wait=DATABASES_RESTORE_WAIT_SECONDS,
    )
    coordination = CoordinationTable(
        members,
        base.notices.members_changed.notify,
        lambda: members.register_if_missing(base.executor, lambda: base.readiness.is_leaving),
        failover.driver,
        failover.claims,
    )
    if peer_access.fencing is Fencing.PLATFORM:
        tables.add(TABLE, coordination.apply_snapshot, coordination.apply_rows)
        return tables
    # After writing a claim, the holder waits for acknowledgements from all registered processes,
    # so it reads the table at once to learn which processes are registered.
    failover.claim_events.written.add(lambda: tables.read_now(TABLE))
    confirmed = failover.claims.store_confirmed
    tables.add(
        TABLE,
        coordination.apply_snapshot,
        coordination.apply_rows,
        LEASE_WAIT_SECONDS,
        confirmed,
        is_confirmed_by_feed=True,
    )
    return tables


def subscribe_listeners(
    notices: ProcessNotices,
    failover: FailoverDriver,
    quota: QuotaDriver,
    holdings_updater: HoldingsUpdater,
    tables: TableReading,
) -> None:
    """Subscribes the listeners of each notice; they are called in the order of these lines."""
    notices.configuration_changed.add(quota.on_configuration_changed)
    notices.quota_asked.add(quota.send)
    notices.group_changed.add(failover.on_group_changed)
    notices.database_suspected.add(failover.suspect)
    notices.members_changed.add(failover.on_members_changed)
    notices.members_changed.add(quota.on_members_changed)
    notices.members_changed.add(holdings_updater.update_holdings)
    notices.members_changed.add(tables.on_members_changed)
