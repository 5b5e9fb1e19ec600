"""The messages that two processes exchange on a link, encoded as CBOR arrays.

A link is opened by the process that needs a service of the other. It carries channels, each of
which acts as a connection to a database that the other process is connected to, and requests for
changes of the store's tables.
"""

import math

import cbor2
import msgspec

from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.shared.decoding import decode_cbor
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

HOLDER_WAIT_RATIO = 0.85
"""Part of a statement's remaining wait time that the holder may use. The rest covers the round
trip to the holder: 30 ms of a usual 200 ms, a round trip between regions."""


class LinkMessage(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


class LinkOpened(LinkMessage, frozen=True, tag="hello"):
    """The first message on a link, sent by the process that opened it."""

    name: str


class Ping(LinkMessage, frozen=True, tag="ping"):
    """Checks that the other process responds."""


class Pong(LinkMessage, frozen=True, tag="pong"):
    """The answer to a ping."""


class Leaving(LinkMessage, frozen=True, tag="leaving"):
    """Announces that the sender stops soon, so that no new work should start on this link."""


class ChannelOpened(LinkMessage, frozen=True, tag="open"):
    """Opens a channel to a database.

    channel: its number, assigned by the process that opened the link. caller: the caller whose
    statements it carries, empty if callers need no credential.
    """

    channel: int
    database: str
    caller: str = ""


class ChannelStatement(LinkMessage, frozen=True, tag="ask"):
    """A statement on a channel; answers are sent in the same order. Other fields as in Statement.

    wait_seconds: the holder refuses the statement if it gets no slot within this time; None for the
    holder's default limit. in_time_seconds: a statement that gets a slot within this time meets its
    latency target; None if unknown. waited_seconds: time since its operation first arrived,
    including earlier refusals.
    """

    channel: int
    id: str
    kind: StatementKind
    text: str
    name: str
    argument: str
    writes: bool
    floor: LogPosition | None
    priority: int
    wait_seconds: float | None = None
    in_time_seconds: float | None = None
    waited_seconds: float = 0.0

    @property
    def statement(self) -> Statement:
        """The statement without the fields of the channel."""
        return Statement(self.id, self.kind, self.text, self.name, self.argument, self.writes)


class ProvenAge(msgspec.Struct, frozen=True, array_like=True):
    """A proven position and its age when the message is sent.

    It covers every commit that was acknowledged at least `age_seconds` before the sending.
    """

    position: LogPosition
    age_seconds: float


class ChannelReply(LinkMessage, frozen=True, tag="reply"):
    """The answer to the oldest unanswered statement on the channel.

    come_back_ms: milliseconds after which a refused statement may be retried. load: the load of the
    channel's database, None if unchanged or not reported.
    """

    channel: int
    state: TransactionState
    rows: tuple[str, ...]
    signature: str
    code: ErrorCode | None
    message: str
    position: LogPosition | None
    proof: ProvenAge | None = None
    come_back_ms: int = 0
    load: LoadReport | None = None

    @property
    def reply(self) -> Reply:
        """The answer in the form that a database connection returns."""
        failure = None if self.code is None else Failure(self.code, self.message, self.come_back_ms)
        return Reply(self.state, self.rows, self.signature, failure, self.position)


class ChannelEnded(LinkMessage, frozen=True, tag="end"):
    """Reports a lost connection; the outcome of unanswered statements is unknown."""

    channel: int


class ChannelClosed(LinkMessage, frozen=True, tag="close"):
    """Closes a channel from the side that opened it; an open transaction is rolled back."""

    channel: int


class TablePosition(msgspec.Struct, frozen=True, array_like=True):
    """The version of a table that a follower has."""

    table: str
    version: int


class FollowTables(LinkMessage, frozen=True, tag="follow"):
    """Requests changes of tables; answered when there are changes, or after a short time.

    number: identifies the request. takes_large: whether large changes are sent too; otherwise they
    are only announced and the follower reads them from the store, whose link is faster.
    compares_keys: see TableDelta.keys_digest.
    """

    number: int
    positions: tuple[TablePosition, ...]
    takes_large: bool = False
    compares_keys: bool = False


class TableNews(msgspec.Struct, frozen=True, array_like=True):
    """The changes of a single table in an answer.

    age_seconds: age, at sending, of the sender's last confirmation that its table was up to date;
    negative if it has never read the table. is_withheld: whether there are changes that are too
    large to be sent.
    """

    table: str
    delta: TableDelta
    age_seconds: float
    is_withheld: bool = False


class TablesAnswered(LinkMessage, frozen=True, tag="tables"):
    """The answer to the FollowTables request with the same number.

    held_seconds: time from the receipt of the request to the answer, while the sender waited for
    changes; the receiver adds it to the time of its request to date the answer.
    """

    number: int
    news: tuple[TableNews, ...]
    held_seconds: float = 0.0


PeerLinkMessage = (
    LinkOpened
    | Ping
    | Pong
    | Leaving
    | ChannelOpened
    | ChannelStatement
    | ChannelReply
    | ChannelEnded
    | ChannelClosed
    | FollowTables
    | TablesAnswered
)


def holder_wait_seconds(wait_until: float, now: float) -> float | None:
    """Returns how many seconds a holder may let a statement wait; None for the holder's default.

    wait_until: when this process refuses the statement (steady clock, seconds); infinite for none.
    """
    if math.isinf(wait_until):
        return None
    return round(max((wait_until - now) * HOLDER_WAIT_RATIO, 0.0), 3)


def seconds_waited(arrived: float, now: float) -> float:
    """Returns the seconds since an operation first arrived; 0 if `arrived` is infinite."""
    return 0.0 if math.isinf(arrived) else round(max(now - arrived, 0.0), 3)


def channel_statement(
    channel: int,
    statement: Statement,
    floor: LogPosition | None,
    priority: int,
    wait_seconds: float | None = None,
    in_time_seconds: float | None = None,
    waited_seconds: float = 0.0,
) -> ChannelStatement:
    """Returns the message that carries a statement."""
    return ChannelStatement(
        channel,
        statement.id,
        statement.kind,
        statement.text,
        statement.name,
        statement.argument,
        statement.writes,
        floor,
        priority,
        wait_seconds,
        in_time_seconds,
        waited_seconds,
    )


def channel_reply(
    channel: int,
    reply: Reply,
    proof: ProvenAge | None = None,
    load: LoadReport | None = None,
) -> ChannelReply:
    """Returns the message that carries an answer."""
    failure = reply.failure
    return ChannelReply(
        channel,
        reply.state,
        reply.rows,
        reply.signature,
        None if failure is None else failure.code,
        "" if failure is None else failure.message,
        reply.position,
        proof,
        0 if failure is None else failure.come_back_ms,
        load,
    )


def encode(message: PeerLinkMessage) -> bytes:
    """Returns a message encoded as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes) -> PeerLinkMessage:
    """Returns the message decoded from a frame. Raises ProtocolError."""
    return decode_cbor(data, PeerLinkMessage, (bytes,))  # type: ignore[arg-type]
