"""Runs the statements of one database that belong to no transaction, a connection each."""

from collections.abc import Callable

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.request import GatewayRequest
from dewledge.core.proxy.gateway.running_jobs import RunningJobs
from dewledge.core.proxy.gateway.statement_conclusion import StatementConclusion
from dewledge.core.proxy.gateway.status_cache import StatusCache
from dewledge.core.proxy.jobs import JobDone, JobNotRun, JobResult, JobUnknown
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode

TIMED_OUT_SHARE = 0.95
"""Ratio; a job that broke later than this share of its timeout timed out; earlier, the link
broke."""


class StatementRunner:
    """Lends a connection to each statement, and concludes it by what its job gave.

    running: statements under way. on_ended: called with the time once one has ended.
    """

    def __init__(
        self,
        conclusion: StatementConclusion,
        pool: ConnectionPool,
        jobs: RunningJobs,
        statuses: StatusCache,
        rate: ServiceRate,
        on_ended: Callable[[float], None],
    ) -> None:
        self.running = 0
        self._conclusion = conclusion
        self._pool = pool
        self._jobs = jobs
        self._statuses = statuses
        self._rate = rate
        self._on_ended = on_ended

    def run(self, request: GatewayRequest, timeout: float, now: float) -> None:
        """Starts a statement; `timeout` in seconds."""
        connection = self._pool.lend()
        self.running += 1
        term_before = self._statuses.term(request.message.database)

        def ended(result: JobResult, at: float) -> None:
            self.running -= 1
            timed_out = at - now >= timeout * TIMED_OUT_SHARE
            self._settle_connection(connection, result, at - now, timed_out, at)
            self._conclude(request, result, term_before, at)
            self._on_ended(at)

        self._jobs.start(connection, request.message, timeout, ended, now)

    def _settle_connection(
        self, connection: int, result: JobResult, duration: float, timed_out: bool, now: float
    ) -> None:
        if not isinstance(result, JobNotRun):
            self._rate.note(duration)
        if isinstance(result, JobDone) or (
            isinstance(result, JobNotRun) and result.connection_usable
        ):
            self._pool.give_back(connection, now)
            return
        if result.code is ErrorCode.CONNECTION_LOST and not timed_out:
            # Whatever cut this connection has most likely cut the idle ones as well.
            self._pool.close_idle()
        self._pool.discard(connection, now)

    def _conclude(
        self, request: GatewayRequest, result: JobResult, term_before: int, now: float
    ) -> None:
        if isinstance(result, JobNotRun):
            self._conclusion.conclude_not_run(request, result, now)
        elif isinstance(result, JobUnknown):
            self._conclusion.conclude_unknown(request, result, now)
        elif request.message.access is Access.READ:
            self._conclusion.conclude_read(request, result, term_before, now)
        else:
            self._conclusion.conclude_write(request, result, term_before, now)
