"""What the pooling part logs: one event for each decision that touches a statement."""

import msgspec

from dewledge.core.pooler.load.verdict import RefusalCause


class PoolingEvent(msgspec.Struct, frozen=True):
    """The root of the events; field names are those of the log line."""


class StatementAnswered(PoolingEvent, frozen=True):
    """A statement got its final answer.

    caller: whose it is, empty where nobody has to show a token.
    way: each attempt as database:proof:outcome, in order.
    floor: the position the read had to show. waited_ms: from arrival to the answer.
    target_ms: within which the route wants its operations answered. expected_ms: from the choice
    of the last database to the answer, as it was expected then; word_age_ms: of the word of the
    load there. Both are -1 where the database was not chosen by that.
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
    """No caller of the configuration in force has the client's token.

    tries: so many since the last line of the route; session: the last of them.
    """

    session: str
    route: str
    configuration: int
    tries: int = 1


class OperationNotAdmitted(PoolingEvent, frozen=True):
    """A caller's operation was refused before any work.

    cause: OVER_LIMIT, or NO_GRANTOR: no process that grants was reached and the own reserve was
    used up. come_back_ms: what the client was told. is_kept: the token of that moment is kept for
    its session. waited_ms: for the decision. urgency: of the route.
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
    """An operation was admitted after it had waited for its token for `waited_ms`."""

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
    """A database refused work because it is not the primary."""

    group: str
    database: str
    statement: str


class DatabaseFull(PoolingEvent, frozen=True):
    """A database had no slot for a statement, so that statements wait for their turn here.

    window: how many may be there from this process. widest: how many it has connections for.
    """

    group: str
    database: str
    window: int
    widest: int


class DatabaseHasRoom(PoolingEvent, frozen=True):
    """A database that was full runs all that this process has connections for again."""

    group: str
    database: str


class DatabaseSilenceJudged(PoolingEvent, frozen=True):
    """A database to which this process holds connections fell silent, or answers again.

    lasted_ms: for how long it was taken for silent; 0 where it is only now.
    """

    group: str
    database: str
    is_silent: bool
    lasted_ms: int


class CallerHeldToShare(PoolingEvent, frozen=True):
    """A statement of `served` went before earlier ones of a caller above its share of a database.

    Told once a second at most for each database. waiting: how many of that caller wait, the first
    of them for `waited_ms`.
    """

    group: str
    database: str
    caller: str
    waiting: int
    waited_ms: int
    served: str


class WaitRefused(PoolingEvent, frozen=True):
    """A statement was refused by the queue before a database, as it can't be served in its time.

    expected_ms: the wait that was expected, -1 where nothing was measured; age_ms: of the newest
    measurement that it rests on. left_ms: until its latest start. come_back_ms: what it was told.
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
    """The process did nothing for a while, so what waited here waited for that."""

    stood_still_ms: int


class HolderJudged(PoolingEvent, frozen=True):
    """A process that holds connections is judged anew by its signs of life.

    peer: its address. state: usable, doubted or silent. silence_ms: since its last sign of life,
    while one was due. due: answers awaited. usual_ms: usual time of a sign of life, 0 if not known.
    lasted_ms: how long the state before was believed.
    """

    peer: str
    state: str
    silence_ms: int
    due: int
    usual_ms: int
    lasted_ms: int
