"""The metrics of a pooler that are read when they are asked for: what stands open at the moment."""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.observing.wait_gauges import add_wait_gauges
from dewledge.shell.pooler.tables.member_table import MemberTable


def add_process_gauges(
    metrics: PoolerMetrics,
    services: PoolServices,
    clients: ClientListener,
    members: MemberTable,
    links: OutgoingLinks,
    lending: ChannelServer,
    is_ready: Callable[[], bool],
) -> None:
    """Adds the gauges of one process; each is read when the metrics are asked for."""

    def pools() -> Sequence[ConnectionPool]:
        return [pool for group in services.groups.values() for pool in group.all_pools()]

    gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
        ("client_sessions", "Clients' sessions open.", lambda: len(clients.connections)),
        (
            "database_connections",
            "Connections to databases.",
            lambda: sum(pool.size for pool in pools()),
        ),
        (
            "statements_waiting",
            "Statements that wait for a connection.",
            lambda: sum(pool.waiting for pool in pools()),
        ),
        (
            "databases_full",
            "Databases that refuse statements for want of slots.",
            lambda: sum(pool.is_full for pool in pools()),
        ),
        ("members", "Processes that registered.", lambda: members.count),
        ("links", "Links to processes that hold connections.", lambda: links.open_count),
        (
            "links_doubted",
            "Links whose other end is late with a sign of life.",
            lambda: links.count(HolderState.DOUBTED),
        ),
        (
            "links_silent",
            "Links whose other end gives none, or is lost and not found again.",
            lambda: links.count(HolderState.SILENT),
        ),
        ("channels_lent", "Channels of other processes.", lambda: lending.channel_count),
        ("configuration_version", "In force.", lambda: services.routes.version),
        ("ready", "1 while new sessions are taken.", lambda: float(is_ready())),
    )
    for name, description, read in gauges:
        metrics.add_gauge(name, description, read)
    add_wait_gauges(metrics, services.groups)
