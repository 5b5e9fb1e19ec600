"""Gauges about waits for databases and the use of their slots, summed over all pools of a process.

The number of gauges does not depend on the number of databases. Sums are computed at each scrape.
"""

from collections.abc import Callable, Mapping

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.wait_counts import WaitCounts
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics

_COUNTS: tuple[tuple[str, str, Callable[[WaitCounts], int]], ...] = (
    ("waits_expected", "Waits that were expected on arrival.", lambda counts: counts.served),
    (
        "waits_within_quarter",
        "Of these, the real wait was within a quarter.",
        lambda counts: counts.within_quarter,
    ),
    (
        "waits_within_double",
        "Of these, the real wait was within a factor of two.",
        lambda counts: counts.within_double,
    ),
    ("waits_refused", "Refused for want of room in time.", lambda counts: counts.refused),
    (
        "waits_refused_with_room",
        "Of these, a place stood free within their time.",
        lambda counts: counts.refused_with_room,
    ),
)


def add_wait_gauges(metrics: PoolerMetrics, groups: Mapping[str, Group]) -> None:
    """Adds the gauges; each sums over the pools that exist when it is read."""

    def total(read: Callable[[ConnectionPool], float]) -> float:
        pools = (pool for group in groups.values() for pool in group.all_pools())
        return float(sum(read(pool) for pool in pools))

    def reader(read: Callable[[WaitCounts], int]) -> Callable[[], float]:
        return lambda: total(lambda pool: read(pool.wait_counts))

    for name, description, read in _COUNTS:
        metrics.add_gauge(name, description, reader(read))
    metrics.add_gauge(
        "slot_seconds",
        "Slot time of statements answered.",
        lambda: total(lambda pool: pool.slot_use.total_seconds),
    )
    metrics.add_gauge(
        "slot_seconds_largest_caller",
        "Of this, at each database of the caller that used most there.",
        lambda: total(lambda pool: pool.slot_use.largest_seconds),
    )
