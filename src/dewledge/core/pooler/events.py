"""Events that the pooler logs, one for each decision that affects a statement."""

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause


class PoolingEvent(msgspec.Struct, frozen=True):
    """Base class of the events. Class and field names determine the log line."""


class StatementAnswered(PoolingEvent, frozen=True):
    """A statement got its final answer.

    caller: the caller that sent it, empty if callers need no token. way: the attempts in order,
    each as database:proof:outcome. floor: the minimum position for a read. waited_ms: time from
    arrival to answer. target_ms: target latency of the route. expected_ms: expected time from the
    choice of the last database to its answer. word_age_ms: age of the load report used for that
    choice. expected_ms and word_age_ms are -1 if databases are not ordered by expected completion.
    """

    statement: str
    session: str
    caller: str
    route: str
    group: str
    consistency: str
    kind: str
    way: str
    outcome: str
    floor: str
    waited_ms: int
    target_ms: int
    configuration: int
    expected_ms: int = -1
    word_age_ms: int = -1


class SessionDenied(PoolingEvent, frozen=True):
    """A session was denied because no caller of the active configuration has its token.

    tries: denied sessions of the route since its last log line; session: the latest of them.
    """

    session: str
    route: str
    configuration: int
    tries: int = 1


class RouteUnknown(PoolingEvent, frozen=True):
    """A session was refused because no route of the active configuration has its database name.

    age_ms: time since the configuration was last confirmed, -1 if it never was.
    """

    session: str
    database: str
    configuration: int
    age_ms: int


class ConfigurationUnconfirmed(PoolingEvent, frozen=True):
    """The configuration in force was not confirmed for half of its propagation bound.

    age_ms: time since the last confirmation, -1 if there was none.
    """

    configuration: int
    age_ms: int


class ConfigurationConfirmed(PoolingEvent, frozen=True):
    """A configuration is confirmed again. lasted_ms: time since ConfigurationUnconfirmed."""

    configuration: int
    lasted_ms: int


class OperationNotAdmitted(PoolingEvent, frozen=True):
    """A caller's operation was refused by rate limiting before any work was done.

    cause: OVER_LIMIT, or NO_GRANTOR if no process that grants rate-limit tokens was reached and the
    local reserve was used up. come_back_ms: milliseconds after which the client may retry. is_kept:
    whether the token of that time is reserved for the session. waited_ms: duration of the decision.
    urgency: priority of the route.
    """

    session: str
    caller: str
    route: str
    urgency: int
    statement: str
    cause: RefusalCause
    come_back_ms: int
    is_kept: bool
    waited_ms: int


class OperationHeld(PoolingEvent, frozen=True):
    """An operation was admitted after waiting `waited_ms` for a rate-limit token."""

    session: str
    caller: str
    statement: str
    waited_ms: int


class TransactionEnded(PoolingEvent, frozen=True):
    """The proxy ended a client's transaction."""

    session: str
    database: str
    reason: str


class PrimaryRefuted(PoolingEvent, frozen=True):
    """A database refused a statement because it is not the primary."""

    group: str
    database: str
    statement: str


class DatabaseFull(PoolingEvent, frozen=True):
    """A database had no free slot for a statement, so statements queue in this process.

    window: statements that this process may run there at once. widest: upper bound of the window.
    """

    group: str
    database: str
    window: int
    widest: int


class DatabaseHasRoom(PoolingEvent, frozen=True):
    """A database that was full accepts statements on all connections of this process again."""

    group: str
    database: str


class DatabaseSilenceJudged(PoolingEvent, frozen=True):
    """A directly connected database stopped answering, or answers again.

    lasted_ms: how long it was considered silent; 0 at the start of the silence.
    """

    group: str
    database: str
    is_silent: bool
    lasted_ms: int


class CallerHeldToShare(PoolingEvent, frozen=True):
    """A statement of caller `served` overtook those of `caller`, which is over its fair share.

    Logged at most once a second per database. waiting: queued statements of the overtaken caller.
    waited_ms: how long the first of them has waited.
    """

    group: str
    database: str
    caller: str
    waiting: int
    waited_ms: int
    served: str


class WaitRefused(PoolingEvent, frozen=True):
    """The queue of a database refused a statement that it could not serve in time.

    expected_ms: the expected wait, -1 if unknown. age_ms: age of the newest sample of the estimate.
    left_ms: time left until the statement must have started. come_back_ms: milliseconds after which
    the client may retry.
    """

    group: str
    database: str
    statement: str
    cause: str
    expected_ms: int
    age_ms: int
    left_ms: int
    come_back_ms: int


class ProcessStoodStill(PoolingEvent, frozen=True):
    """The process was paused, which delayed everything that was waiting in it."""

    stood_still_ms: int


class HolderJudged(PoolingEvent, frozen=True):
    """The state of a connection holder changed, judged by the responses on its link.

    peer: its address. state: usable, doubted (suspected) or silent. silence_ms: time without any
    response while one was outstanding. due: outstanding answers. usual_ms: usual time of a
    response, 0 if unknown. lasted_ms: how long the previous state lasted.
    """

    peer: str
    state: str
    silence_ms: int
    due: int
    usual_ms: int
    lasted_ms: int
