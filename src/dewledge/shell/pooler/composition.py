"""Puts the parts of one process together, from those that rest on nothing to those on top.

Each class holds parts that belong together and builds them in its constructor, from the parts of
the classes above it; `connect` says in one place who is told what. Nothing here decides, and no
part is changed after it is built. `pooler_process` starts and stops the parts.
"""

import secrets
from concurrent.futures import ThreadPoolExecutor

from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLeases
from dewledge.core.pooler.failover.reach_limit import ConnectTimeout
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
from dewledge.shell.pooler.group_factory import ConnectionShares, GroupFactory
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
    LEASE_WAIT_SECONDS,
    URGENT_WAIT_SECONDS,
    StoreCalls,
    TableReading,
)
from dewledge.shell.shared.event_loop import EventLoop

EXECUTOR_THREADS = 8
"""Calls to the store and the platform block: one for each of three tables, the rest for rows that
are written and promotions."""


class LoopScheduler:
    """The loop as the core's clock and timers."""

    def __init__(self, loop: EventLoop) -> None:
        self.now = loop.now
        self.call_later = loop.call_later


class ProcessBase:
    """What all parts rest on: settings, loop, log, threads, and what sessions share."""

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
            self.notices.quota_asked.tell,
            scheduler.now(),
        )
        self.services = PoolServices(
            scheduler,
            self.log.record,
            settings.load.policy,
            self.gate,
            self.notices.database_suspected.tell,
        )
        self.databases = KnownDatabases(self.services.groups)
        self.readiness = Readiness(self.services)
        self.executor = ThreadPoolExecutor(max_workers=EXECUTOR_THREADS)


class Neighbours:
    """The other processes: who they are, links and datagrams to them, and leases among them."""

    def __init__(self, base: ProcessBase) -> None:
        """Binds the address of datagrams. Raises OSError if it cannot."""
        settings, loop = base.settings, base.loop
        self.fencing = Fencing.PLATFORM if settings.promotions_fenced else Fencing.PROCESSES
        # Where processes fence, a row written before this start would pass for one of this start.
        start = secrets.token_hex(4) if self.fencing is Fencing.PROCESSES else ""
        own = Member(settings.peer_address, settings.zone, start)
        self.leases = PrimaryLeases(self.fencing)
        self.members = MemberTable(settings.name, own, base.platform.store)
        is_judged = settings.load.policy.silent_holders
        self.links = OutgoingLinks(loop, settings.name, base.log.record, is_judged)
        self.channels = ChannelClient(loop, self.links, base.databases)
        self.peers = PeerSocket(loop, settings.peer_address)


class DatabaseAccess:
    """The groups of databases, and how connections to them are opened."""

    def __init__(self, base: ProcessBase, neighbours: Neighbours) -> None:
        settings, services = base.settings, base.services
        self.reach_limit = ConnectTimeout()
        """How long databases take to accept a connection, as openers and probes observe it."""
        direct = DirectOpener(
            base.loop,
            settings.name,
            base.platform.new_database_codec,
            base.databases.find,
            self.reach_limit,
        )
        routes = RouteFinder(base.databases, neighbours.members)
        opener = SharingOpener(direct, neighbours.channels, routes.find)
        groups = GroupFactory(settings, services, neighbours.leases, opener, direct)
        self.shares = ConnectionShares(settings, services, neighbours.members, groups)
        self.directory = Directory(base.platform, services, groups, self.shares, base.notices)


class Failover:
    """What finds a lost primary and replaces it; `core/pooler/failover` decides."""

    def __init__(
        self, base: ProcessBase, neighbours: Neighbours, reach_limit: ConnectTimeout
    ) -> None:
        settings, platform = base.settings, base.platform
        self.claim_events = ClaimEvents()
        context = FailoverContext(
            base.loop,
            settings.name,
            base.services.groups,
            neighbours.leases,
            platform.store,
            base.executor,
            self.claim_events,
        )
        self.driver = FailoverDriver(
            context,
            platform.promotions,
            platform.parse_status,
            lambda: neighbours.members.addresses,
            base.log.record,
        )
        self.claims = ClaimKeeper(context, neighbours.members, neighbours.peers)
        self.probes = IndirectProbes(
            base.loop,
            settings.name,
            neighbours.peers,
            base.databases.find,
            reach_limit,
            self.driver,
        )


def build_quota(base: ProcessBase, neighbours: Neighbours) -> QuotaDriver:
    """Returns what has the rate limits of callers kept among all processes."""
    name = base.settings.name
    grantor = Grantor(name, base.settings.quota.policy, base.log.record)
    members, peers = neighbours.members, neighbours.peers
    return QuotaDriver(base.loop, name, base.gate, grantor, members, peers)


def build_tables(
    base: ProcessBase, neighbours: Neighbours, directory: Directory, failover: Failover
) -> TableReading:
    """Returns what reads the store's tables, and hands the rows of each table on."""
    platform, members = base.platform, neighbours.members
    calls = StoreCalls(platform.store, base.executor)
    tables = TableReading(base.loop, base.settings, calls, neighbours.links, members, TABLE)
    configuration = directory.take_configuration_rows
    tables.add(platform.configuration_table, configuration, configuration, URGENT_WAIT_SECONDS)
    tables.add(
        platform.database_table, directory.take_database_snapshot, directory.take_database_rows
    )
    own = CoordinationTable(
        members,
        base.notices.members_changed.tell,
        lambda: members.register_if_missing(base.executor, lambda: base.readiness.is_leaving),
        failover.driver,
        failover.claims,
    )
    if neighbours.fencing is Fencing.PLATFORM:
        tables.add(TABLE, own.take_snapshot, own.take_rows)
        return tables
    # The holder of a claim waits for all that have rows beside it, so it has to know these.
    failover.claim_events.written.add(lambda: tables.read_soon(TABLE))
    confirmed = failover.claims.store_confirmed
    tables.add(TABLE, own.take_snapshot, own.take_rows, LEASE_WAIT_SECONDS, confirmed)
    return tables


def connect(
    notices: ProcessNotices,
    failover: FailoverDriver,
    quota: QuotaDriver,
    shares: ConnectionShares,
    tables: TableReading,
) -> None:
    """Adds the listeners of each notice; they are called in this order."""
    notices.configuration_changed.add(quota.configuration_changed)
    notices.quota_asked.add(quota.send)
    notices.group_changed.add(failover.look_at)
    notices.database_suspected.add(failover.doubt)
    notices.members_changed.add(failover.members_changed)
    notices.members_changed.add(quota.members_changed)
    notices.members_changed.add(shares.share_anew)
    notices.members_changed.add(tables.members_changed)
