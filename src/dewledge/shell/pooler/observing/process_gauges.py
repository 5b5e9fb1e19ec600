"""Gauges of a pooler process: names, descriptions and the values that they read at each scrape."""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.observing.wait_gauges import add_wait_gauges
from dewledge.shell.pooler.tables.member_table import MemberTable


class GaugeSources(msgspec.Struct, frozen=True):
    """Objects of a process from which gauges read their values."""

    services: PoolServices
    clients: ClientListener
    members: MemberTable
    links: OutgoingLinks
    lending: ChannelServer
    is_ready: Callable[[], bool]


Gauge = tuple[str, str, Callable[[GaugeSources], float]]
"""Definition of a gauge: its name, its description and a function that returns its value."""


def _sum_of_pools(parts: GaugeSources, read: Callable[[ConnectionPool], int]) -> int:
    groups = parts.services.groups.values()
    return sum(read(pool) for group in groups for pool in group.all_pools())


_GAUGES: tuple[Gauge, ...] = (
    ("client_sessions", "Clients' sessions open.", lambda parts: len(parts.clients.connections)),
    (
        "database_connections",
        "Connections to databases.",
        lambda parts: _sum_of_pools(parts, lambda pool: pool.size),
    ),
    (
        "statements_waiting",
        "Statements that wait for a connection.",
        lambda parts: _sum_of_pools(parts, lambda pool: pool.waiting),
    ),
    (
        "databases_full",
        "Databases that refuse statements for want of slots.",
        lambda parts: _sum_of_pools(parts, lambda pool: pool.is_full),
    ),
    ("members", "Processes that registered.", lambda parts: parts.members.count),
    (
        "links",
        "Links to processes that hold connections.",
        lambda parts: parts.links.open_count,
    ),
    (
        "links_doubted",
        "Links whose other end is late with a sign of life.",
        lambda parts: parts.links.count(HolderState.SUSPECTED),
    ),
    (
        "links_silent",
        "Links whose other end gives none, or is lost and not found again.",
        lambda parts: parts.links.count(HolderState.SILENT),
    ),
    (
        "channels_lent",
        "Channels of other processes.",
        lambda parts: parts.lending.channel_count,
    ),
    ("configuration_version", "In force.", lambda parts: parts.services.routes.version),
    (
        "configuration_age_seconds",
        "Time since the configuration was last confirmed to be the newest.",
        lambda parts: parts.services.configuration_age.seconds,
    ),
    ("ready", "1 while new sessions are taken.", lambda parts: float(parts.is_ready())),
)


def add_process_gauges(metrics: PoolerMetrics, parts: GaugeSources) -> None:
    """Adds all gauges of a process, including those about waits, to its metrics."""

    def reader(read: Callable[[GaugeSources], float]) -> Callable[[], float]:
        return lambda: read(parts)

    for name, description, read in _GAUGES:
        metrics.add_gauge(name, description, reader(read))
    add_wait_gauges(metrics, parts.services.groups)
