"""Settings of the gateway half of the decision core. Times are seconds."""

import msgspec


class GatewaySettings(msgspec.Struct, frozen=True):
    """Limits and timings of a gateway; the defaults suit databases of 5 to 10 slots.

    max_waiting: requests that may wait for one database.
    initial_service_time: assumed time of a statement until some have been measured.
    service_time_smoothing: weight of the newest measurement in the running mean, 0 to 1.
    stand_in_linger: how long the next-ranked gateway keeps all connections after a request that
    it served in place of the active one.
    standby_connections: connections the next-ranked gateway keeps open otherwise.
    open_retry_min, open_retry_max: bounds of the growing pause after a failed open.
    open_timeout: after this an open that was never reported counts as failed.
    statement_timeout: the longest a worker waits for the database, whatever the deadline.
    job_report_grace: how much longer than its timeout a job may stay unreported.
    slow_job: a job that runs longer starts a status round.
    transaction_share: part of the slots that transactions may hold (at least one slot).
    transaction_idle_limit: a transaction without an operation for this long is rolled back.
    transaction_limit: a transaction is rolled back at this age.
    drain_transaction_limit: what open transactions get when their database is drained.
    leave_transaction_limit: what open transactions get when this proxy leaves.
    status_timeout: how long one status read may take.
    round_max_age: readings that come later than this after their round's start are dropped; twice
    the status_timeout if that is more.
    round_spacing: least time between two rounds of a group that confirm results.
    look_spacing: the same for rounds that a failure or a status request asks for.
    rounds_at_once: rounds of a group that may be under way, spread over the time a round takes.
    confirmation_retry_min, confirmation_retry_max: pause before a repeated confirming round.
    heartbeat_interval: time between rounds where this gateway serves a primary in use.
    idle_heartbeat_interval: the same for other groups that it serves.
    no_primary_interval: the same while a group in use shows no primary.
    in_use_period: a group counts as in use this long after its last request.
    jitter: every interval is drawn from (1 - jitter, 1 + jitter) times its setting.
    max_unconfirmed: writes of one group that may wait for confirmation.
    remembered_requests: finished correlations kept to recognise a doubled request.
    remembered_transactions: ended transactions kept to say how they ended.
    """

    max_waiting: int = 256
    initial_service_time: float = 0.005
    service_time_smoothing: float = 0.05
    stand_in_linger: float = 5.0
    standby_connections: int = 1
    open_retry_min: float = 0.05
    open_retry_max: float = 1.0
    open_timeout: float = 5.0
    statement_timeout: float = 30.0
    job_report_grace: float = 1.0
    slow_job: float = 0.5
    transaction_share: float = 0.6
    transaction_idle_limit: float = 10.0
    transaction_limit: float = 60.0
    drain_transaction_limit: float = 5.0
    leave_transaction_limit: float = 5.0
    status_timeout: float = 0.3
    round_max_age: float = 1.0
    round_spacing: float = 0.002
    look_spacing: float = 0.02
    rounds_at_once: int = 4
    confirmation_retry_min: float = 0.005
    confirmation_retry_max: float = 0.025
    heartbeat_interval: float = 0.5
    idle_heartbeat_interval: float = 5.0
    no_primary_interval: float = 0.05
    in_use_period: float = 10.0
    jitter: float = 0.2
    max_unconfirmed: int = 1024
    remembered_requests: int = 16384
    remembered_transactions: int = 4096

    @property
    def status_cache_age(self) -> float:
        """Age up to which a status still counts as known, seconds: one heartbeat."""
        return self.heartbeat_interval * (1.0 + self.jitter)

    @property
    def round_age_bound(self) -> float:
        """Age at which a round is thrown away, seconds."""
        return max(self.round_max_age, 2.0 * self.status_timeout)
