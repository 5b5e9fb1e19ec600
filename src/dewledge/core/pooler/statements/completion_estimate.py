"""Estimates when each database of a group would answer a read.

`load/database_order` orders the databases by these estimates.

The estimate uses the counters of this process if it holds connections to the database, otherwise
the load reports of the holders, weighted by their age. The network distance, recent failures,
and the time until a replica has the required position are added. Distance alone would keep reads at
a near database that is several times slower than the others.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.load.database_order import Candidate, Completion, order_candidates
from dewledge.core.pooler.load.load_reporter import clamped_report
from dewledge.core.pooler.load.load_table import LoadEstimate, LoadTable
from dewledge.core.pooler.load.recent_failures import RecentFailures
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

ROUND_TRIP_SECONDS = (0.001, 0.004, 0.03)
"""Typical round trips within a zone, between zones of a region, and between regions."""
CONNECTION_OPENING_SECONDS = 0.012
"""Time to open a connection, in addition to the round trip."""
UNREACHABLE_SECONDS = 10.0
"""Cost added for an unreachable or silent database. Longer than any statement timeout, so that it
comes last."""


def load_report_of(pool: ConnectionPool) -> LoadReport:
    """Returns the load report that a holder sends to other processes, from its pool."""
    return clamped_report(
        pool.waiting,
        pool.urgent_waiting,
        pool.running,
        0 if _cannot_serve(pool) else pool.window_size,
        pool.openings,
        round(pool.service_rate.service_time * MILLISECONDS_PER_SECOND),
    )


class CompletionEstimator:
    """Estimates when the databases of a group complete a read, from their loads and failures."""

    def __init__(self, clock: Callable[[], float], draw: Callable[[], float]) -> None:
        """`clock`: steady clock, seconds. `draw`: returns a random number from 0 to below 1."""
        self._clock = clock
        self._draw = draw
        self.load_table = LoadTable()
        self.failures = RecentFailures()

    def load_of(self, record: DatabaseRecord, pool: ConnectionPool | None) -> LoadEstimate:
        """Returns the load of a database.

        pool: the pool of this process if it holds the connections itself, otherwise None.
        """
        if pool is not None:
            window = min(pool.window_size, record.slots or pool.window_size)
            service = pool.service_rate.service_time
            return LoadEstimate(pool.waiting, pool.running, window, service)
        load = self.load_table.estimate(record.id, self._clock())
        if load is not None:
            return load
        return LoadEstimate(
            0.0, 0.0, max(record.slots, 1), self.load_table.usual_service_seconds(), weight=0.0
        )

    def completion(
        self,
        record: DatabaseRecord,
        pool: ConnectionPool | None,
        is_direct: bool,
        caller: str,
        steps: int,
        position_wait: float,
        leads: bool,
    ) -> Completion:
        """Returns the expected completion of a read at a database.

        pool: the pool of this process for the database, None if it has none. is_direct: whether
        this process holds the connections itself. steps: distance, an index of ROUND_TRIP_SECONDS.
        position_wait: seconds until the replica has the position. leads: whether it is the primary.
        """
        load = self.load_of(record, pool if is_direct else None)
        in_flight = 0 if pool is None else pool.load
        sent_since = 0 if is_direct else min(self.load_table.sent_since(record.id), in_flight)
        wait = load.expected_wait(sent_since, in_flight)
        round_trip = ROUND_TRIP_SECONDS[steps]
        return Completion(
            round_trip,
            wait.seconds,
            load.service_seconds,
            position_wait,
            _opening_seconds(pool, caller, round_trip),
            _displacement_seconds(load) if leads else 0.0,
            self._detour_seconds(record, pool),
            wait.age_seconds,
        )

    def _detour_seconds(self, record: DatabaseRecord, pool: ConnectionPool | None) -> float:
        """Returns the expected cost of failures at the database, in seconds."""
        detour = self.failures.expected_cost(record.id, self._clock())
        if pool is not None and (pool.is_unreachable or pool.is_silent):
            detour += UNREACHABLE_SECONDS
        return detour

    def order(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Returns the candidates in the order in which to try them."""
        return order_candidates(candidates, self._draw)


def _cannot_serve(pool: ConnectionPool) -> bool:
    return pool.is_silent or (pool.size == 0 and pool.is_unreachable)


def _opening_seconds(pool: ConnectionPool | None, caller: str, round_trip: float) -> float:
    """Returns the seconds to open a connection for the caller; 0 if an idle one exists."""
    has_connection = pool is not None and pool.has_idle(caller)
    return 0.0 if has_connection else CONNECTION_OPENING_SECONDS + round_trip


def _displacement_seconds(load: LoadEstimate) -> float:
    """Returns the seconds of capacity that a read at the primary takes from writes.

    This is the service time, rising to twice that as the slots fill up, since the next statement
    then has to wait for the read.
    """
    utilization = min((load.waiting + load.running) / max(load.window, 1.0), 1.0)
    return load.service_seconds * (1.0 + utilization)
