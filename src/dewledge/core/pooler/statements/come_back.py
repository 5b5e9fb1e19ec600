"""What a refused client is told: when to come back. For statements and for sessions.

Inputs: the moments at which the databases that refused the statement said they will have room
(steady clock, seconds), whether the group lacks a primary, and the return moments promised to
others before. Rate limits compute theirs in core/pooler/rate_limits.

Decision of `seconds_after_search`, the first that fits:
1. a database said when it will have room: the earliest of these moments;
2. the group has a primary, and a target was tried: the next free moment of that pool's queue;
3. else the next free moment of the group, at or after the least time below.

Reason: a caller that comes back earlier than there is room is refused again, and callers that come
back together are a wave. So each moment is promised once.
"""

from dewledge.core.pooler.statements.exhausted_databases import ExhaustedDatabases
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.pooler.statements.targets import Target
from dewledge.core.shared.units import MILLISECONDS
from dewledge.errors import ErrorCode

COME_BACK_OVERLOADED_MS = 100
"""Milliseconds, where no queue has said when it will have room: some times the work of a
statement."""
COME_BACK_NO_PRIMARY_MS = 500
"""Milliseconds, while the group has no primary: one is usually replaced within a second or two, and
the refused statement has waited for most of that already."""
COME_BACK_STARTING_MS = 500
"""Milliseconds, for a session that begins at a process without a configuration."""
COME_BACK_ENDING_MS = 100
"""Milliseconds, near the end of a planned stop: the client's next session begins at another
process."""


def not_run_text(come_back_ms: int) -> str:
    """Returns the text that a refused client gets; it reads the number in it."""
    return f"not run, come back in {come_back_ms} ms"


def refusal(code: ErrorCode, come_back_ms: int) -> Failure:
    """Returns what the client of a refused statement gets."""
    return Failure(code, not_run_text(come_back_ms), come_back_ms)


def least_seconds(lacks_primary: bool) -> float:
    """Returns the seconds where no queue has said when it will have room."""
    least_ms = COME_BACK_NO_PRIMARY_MS if lacks_primary else COME_BACK_OVERLOADED_MS
    return least_ms / MILLISECONDS


def seconds_after_search(
    scope: StatementScope,
    target: Target | None,
    exhausted: ExhaustedDatabases,
    lacks_primary: bool,
) -> float:
    """Returns the seconds until there will be room for a statement that found no connection.

    target: the last one tried.
    """
    now = scope.services.scheduler.now()
    known = [moment - now for moment in exhausted.room_moments if moment > now]
    if known:
        return min(known)
    if target is not None and not lacks_primary:
        return scope.group.pool(target.database.id).promise_return()
    returns = scope.services.return_moments(scope.route.group)
    return returns.promise(now, least_seconds(lacks_primary))
