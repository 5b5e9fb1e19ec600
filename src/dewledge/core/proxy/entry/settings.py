"""Settings of the entry half of the decision core, with their defaults and units."""

import msgspec


class EntrySettings(msgspec.Struct, frozen=True):
    """How an entry bounds, retries and waits. Times are in seconds.

    max_pending: requests accepted and not yet answered, of all callers together.
    max_pending_per_caller: the same for one caller, however idle the rest is.
    fair_share_from: fill of `max_pending` (0 to 1) above which callers get weighted shares.
    max_attempts: times one request is sent at most, redirects not counted.
    max_redirects: redirects (WRONG_GATEWAY, LEAVING) followed for one request.
    max_stale_answers: NOT_FRESH answers after which a read goes to the primary.
    retry_ratio: retries allowed for each accepted request, over time.
    retry_reserve: retries that can be saved up, and what a fresh entry starts with.
    retry_backoff, retry_backoff_limit: base and cap of the full-jitter backoff.
    read_attempt_timeout: a read unanswered for so long is sent elsewhere.
    answer_margin: kept back from the deadline that a gateway is told, so that its verdict arrives
        in time; never more than a tenth of what remains.
    failover_wait_limit: longest wait of one request for a new primary.
    drained_wait_limit: how long requests wait for the successor of a drained primary; after that
        they are refused at once until there is one.
    failover_wait_requests: requests of one group that may wait for its primary.
    failover_margin: time that must remain before the deadline when a waiting request is sent.
    probe_rate: status probes a second that a gateway may get from all proxies together, should
        all of them look for the primary of one group; it lengthens the pauses of large deployments.
    probe_interval_least, probe_interval_most: bounds of the random pause between status probes
        while requests wait for a primary.
    suspect_after: a primary that owes an answer and is silent for so long is doubted: the group is
        probed and new requests for the primary wait.
    suspect_deviations: mean deviations that are added to the primary's mean time to answer; the
        longer of this and `suspect_after` counts, so that a slow primary is not taken for lost.
    poll_interval: age from which the view of a group in use is refreshed.
    poll_rate: refreshes of all groups together, per second.
    group_idle_after: a group not used for so long is no longer refreshed.
    gateway_avoid_time: a gateway whose link broke is avoided for so long where another will do.
    unseen_floor_age: assumed age of a floor above all positions seen here; at least one round trip
        to the caller has passed since it was issued.
    first_read_lag_limit: a read without a floor starts on a replica, by read index, while some
        replica's lag is below this; with 0 it always goes to the confirmed primary.
    read_index_timeout: how long a read waits for its read index.
    retry_after: what a refused caller is told to wait, before jitter.
    """

    max_pending: int = 8000
    max_pending_per_caller: int = 4000
    fair_share_from: float = 0.5
    max_attempts: int = 5
    max_redirects: int = 3
    max_stale_answers: int = 2
    retry_ratio: float = 0.1
    retry_reserve: float = 50.0
    retry_backoff: float = 0.02
    retry_backoff_limit: float = 0.5
    read_attempt_timeout: float = 0.5
    answer_margin: float = 0.03
    failover_wait_limit: float = 10.0
    drained_wait_limit: float = 1.0
    failover_wait_requests: int = 1000
    failover_margin: float = 0.05
    probe_rate: float = 1000.0
    probe_interval_least: float = 0.05
    probe_interval_most: float = 0.1
    suspect_after: float = 0.1
    suspect_deviations: float = 4.0
    poll_interval: float = 1.0
    poll_rate: float = 8.0
    group_idle_after: float = 10.0
    gateway_avoid_time: float = 0.5
    unseen_floor_age: float = 0.005
    first_read_lag_limit: float = 0.0
    read_index_timeout: float = 0.2
    retry_after: float = 0.2
