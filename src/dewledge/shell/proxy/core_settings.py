"""Turns the settings of a proxy process into those of its parts."""

from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.configuration.acceptance import AcceptanceSettings
from dewledge.core.proxy.configuration.poller import PollerSettings
from dewledge.core.proxy.configuration.store_task import RetrySettings
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.membership.isolation import IsolationSettings
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.settings import ProxySettings
from dewledge.shell.proxy.proxy_services import DeadlineBounds
from dewledge.shell.shared.http_messages import HttpLimits


def core_settings(settings: ProxySettings) -> ProxyCoreSettings:
    """Returns the settings of the decision core."""
    limits, timings = settings.limits, settings.timings
    retry = RetrySettings(call_timeout=timings.store_call_timeout)
    return ProxyCoreSettings(
        entry=EntrySettings(
            max_pending=limits.max_requests_in_flight,
            max_pending_per_caller=max(1, limits.max_requests_in_flight // 2),
            retry_ratio=limits.max_retry_share,
            first_read_lag_limit=timings.first_read_lag_limit,
        ),
        gateway=GatewaySettings(
            max_waiting=limits.max_queue_per_database,
            heartbeat_interval=timings.status_interval,
            status_timeout=timings.status_timeout,
            transaction_idle_limit=timings.transaction_idle_timeout,
            drain_transaction_limit=timings.drain_bound,
        ),
        membership=MembershipSettings(
            probe_interval=timings.probe_interval, shared_key=settings.gossip_key.encode()
        ),
        isolation=IsolationSettings(timings.isolation_bound),
        acceptance=AcceptanceSettings(
            proposal_bound=timings.proposal_bound,
            max_pending=limits.max_pending_changes,
            retry=retry,
        ),
        poller=PollerSettings(interval=timings.configuration_poll_interval, retry=retry),
        bootstrap_operator_token_sha256=settings.bootstrap_operator_token_sha256,
        machine_list_interval=timings.machine_list_interval,
    )


def http_limits(settings: ProxySettings) -> HttpLimits:
    """Returns the bounds of a caller's connection."""
    limits, timings = settings.limits, settings.timings
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        max_in_flight=limits.max_pipelined_requests,
        max_connections=limits.max_connections,
        receive_seconds=timings.request_read_timeout,
        idle_seconds=timings.idle_connection_timeout,
    )


def deadline_bounds(settings: ProxySettings) -> DeadlineBounds:
    """Returns the bounds of a request's deadline."""
    timings = settings.timings
    return DeadlineBounds(timings.default_deadline, timings.max_deadline)
