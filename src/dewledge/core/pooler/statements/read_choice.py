"""What a process knows of a group's databases when it chooses one for a read.

Inputs: this process's own counts where it holds connections to a database, else the load reports of
the holders (`LoadTable`, aged by their arrival), failures shown a moment ago, the distance, and the
seconds until a replica has the position. Decision: when a read is expected to be answered by each
database; load/choice.py orders them by that. Reason: distance alone keeps reads at a database that
is several times slower than its group. It owns the load table and the shown failures of one group.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.load.choice import Candidate, Completion, order
from dewledge.core.pooler.load.load_reporter import bounded_report
from dewledge.core.pooler.load.load_table import KnownLoad, LoadTable
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.load.shown_failures import ShownFailures
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.shared.units import MILLISECONDS

ROUND_TRIP_SECONDS = (0.001, 0.004, 0.03)
"""Seconds of a round trip within a zone, between two of a region, between regions: what is usual of
networks. Only their order and the greatest, which a gain elsewhere must exceed, decide anything."""
OPENING_SECONDS = 0.012
"""Seconds for which the opening of a connection holds a slot of the database, beside the round
trip."""
UNREACHABLE_SECONDS = 10.0
"""Seconds added where no connection could be opened a moment ago: longer than any statement has, so
that such a database comes last."""


def report_of(pool: ConnectionPool) -> LoadReport:
    """Returns the load report of a process that holds connections to a database."""
    return bounded_report(
        pool.waiting,
        pool.urgent_waiting,
        pool.running,
        0 if _serves_nobody(pool) else pool.window_size,
        pool.openings,
        round(pool.service_rate.service_time * MILLISECONDS),
    )


class ReadChoice:
    """One group's. Times: the steady clock, seconds."""

    def __init__(self, clock: Callable[[], float], draw: Callable[[], float]) -> None:
        """`draw`: returns a number from 0 up to 1, at random."""
        self._clock = clock
        self._draw = draw
        self.book = LoadTable()
        self.failures = ShownFailures()

    def known(self, record: DatabaseRecord, pool: ConnectionPool | None) -> KnownLoad:
        """Returns the load before a database; `pool` if this process holds connections there."""
        if pool is not None:
            window = min(pool.window_size, record.slots or pool.window_size)
            service = pool.service_rate.service_time
            return KnownLoad(pool.waiting, pool.running, window, service)
        known = self.book.known(record.id, self._clock())
        if known is not None:
            return known
        return KnownLoad(0.0, 0.0, max(record.slots, 1), self.book.usual_service(), weight=0.0)

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
        """Returns when a read is expected to be answered there.

        pool: of this process before the database, of connections or of channels. steps: from this
        process to the database. leads: whether it is the primary.
        """
        known = self.known(record, pool if is_direct else None)
        in_flight = 0 if pool is None else pool.load
        sent_since = 0 if is_direct else min(self.book.sent_since(record.id), in_flight)
        wait = known.expected_wait(sent_since, in_flight)
        way = ROUND_TRIP_SECONDS[steps]
        return Completion(
            way,
            wait.seconds,
            known.service_seconds,
            position_wait,
            _opening(pool, caller, way),
            _displacing(known) if leads else 0.0,
            self._detour(record, pool),
            wait.age_seconds,
        )

    def _detour(self, record: DatabaseRecord, pool: ConnectionPool | None) -> float:
        """Returns the seconds that failures at the database are expected to cost."""
        detour = self.failures.detour(record.id, self._clock())
        if pool is not None and (pool.is_unreachable or pool.is_silent):
            detour += UNREACHABLE_SECONDS
        return detour

    def order(self, candidates: Sequence[Candidate]) -> Sequence[Candidate]:
        """Returns the candidates in the order in which they are to be tried."""
        return order(candidates, self._draw)


def _serves_nobody(pool: ConnectionPool) -> bool:
    return pool.is_silent or (pool.size == 0 and pool.is_unreachable)


def _opening(pool: ConnectionPool | None, caller: str, way: float) -> float:
    """Returns the seconds until there is a connection of the caller."""
    has_connection = pool is not None and pool.has_idle(caller)
    return 0.0 if has_connection else OPENING_SECONDS + way


def _displacing(known: KnownLoad) -> float:
    """Returns what a read at the primary takes from writes, which only the primary can serve.

    Its own work at least; while no slot is free, it also has whoever comes wait for as long.
    """
    used = min((known.waiting + known.running) / max(known.window, 1.0), 1.0)
    return known.service_seconds * (1.0 + used)
