"""Computes when a client whose statement was refused may retry, and the text that reports it.

The retry time is the earliest time at which a database that refused the statement expects free
capacity. If none is known, the queue of the last database tried, or the group if it has no primary
or none was tried, reserves the next free retry time. Each reserved time goes to one caller only,
because callers that retry together would be refused together again. Retry times of rate limits are
computed in core/pooler/rate_limits.
"""

from dewledge.core.pooler.statements.exhausted_databases import ExhaustedDatabases
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.pooler.statements.targets import Target
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode

RETRY_AFTER_OVERLOADED_MS = 100
"""Retry delay where no queue has reported when it will have capacity."""
RETRY_AFTER_NO_PRIMARY_MS = 500
"""Retry delay while the group has no primary. A primary is usually replaced within two seconds, and
the refused statement has already waited for most of that time."""
RETRY_AFTER_STARTING_MS = 500
"""Retry delay for a session that starts before the process has its configuration."""
RETRY_AFTER_STOPPING_MS = 100
"""Retry delay near the end of a planned stop: the next session starts at another process."""


def not_run_text(retry_after_ms: int) -> str:
    """Returns the message for a refused client. Clients may parse it, so it must not change."""
    return f"not run, come back in {retry_after_ms} ms"


def refusal(code: ErrorCode, retry_after_ms: int) -> Failure:
    """Returns the failure for the client of a refused statement."""
    return Failure(code, not_run_text(retry_after_ms), retry_after_ms)


def default_retry_seconds(lacks_primary: bool) -> float:
    """Returns the retry delay in seconds where no queue has reported when it will have capacity."""
    default_ms = RETRY_AFTER_NO_PRIMARY_MS if lacks_primary else RETRY_AFTER_OVERLOADED_MS
    return default_ms / MILLISECONDS_PER_SECOND


def retry_seconds_after_search(
    scope: StatementScope,
    target: Target | None,
    exhausted: ExhaustedDatabases,
    lacks_primary: bool,
) -> float:
    """Returns the retry delay in seconds for a statement that found no connection.

    target: the database tried last, None if none was tried.
    """
    now = scope.services.scheduler.now()
    delays = [moment - now for moment in exhausted.capacity_times if moment > now]
    if delays:
        return min(delays)
    if target is not None and not lacks_primary:
        return scope.group.pool(target.database.id).reserve_retry_time()
    returns = scope.services.retry_times_of(scope.route.group)
    return returns.reserve(now, default_retry_seconds(lacks_primary))
