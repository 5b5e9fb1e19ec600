"""What two processes say to each other on a link. Typed; cbor2 arrays on the wire.

A link is dialled by the process that needs something. It carries channels, each of which stands for
one connection to a database that the other process holds, and questions for the store's tables.
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
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode, ProtocolError

WAIT_SHARE = 0.85
"""Ratio; of the time left for a statement to get a slot; the rest is for the way to the holder and
back, 30 ms of the 200 that are usual: a round trip between regions."""


class LinkMessage(msgspec.Struct, frozen=True, array_like=True):
    """The root of all messages."""


class LinkOpened(LinkMessage, frozen=True, tag="hello"):
    """The first message of the process that dialled."""

    name: str


class Ping(LinkMessage, frozen=True, tag="ping"):
    """Asks for a sign of life."""


class Pong(LinkMessage, frozen=True, tag="pong"):
    """The sign of life."""


class Leaving(LinkMessage, frozen=True, tag="leaving"):
    """The process that was dialled ends soon: nothing new should begin on this link."""


class ChannelOpened(LinkMessage, frozen=True, tag="open"):
    """A channel to a database. Its number is assigned by the process that dialled.

    caller: whose statements it carries, empty where callers need no credential.
    """

    channel: int
    database: str
    caller: str = ""


class ChannelStatement(LinkMessage, frozen=True, tag="ask"):
    """A statement on a channel; answers come in order. Fields as in Statement.

    wait_seconds: it is to be refused without a slot within this; None for the holder's own limit.
    in_time_seconds: with a slot within this it is answered within its latency target; None where
    that is not told. waited_seconds: since its operation first came, refusals included.
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
        """The statement itself."""
        return Statement(self.id, self.kind, self.text, self.name, self.argument, self.writes)


class ProvenAge(msgspec.Struct, frozen=True, array_like=True):
    """Every commit acknowledged `age_seconds` before the message was sent is within `position`."""

    position: LogPosition
    age_seconds: float


class ChannelReply(LinkMessage, frozen=True, tag="reply"):
    """The answer to the oldest statement on the channel that has none.

    come_back_ms: of a refusal, when there will be room. load: before the channel's database.
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
        """The answer as the database's connection would give it."""
        failure = None if self.code is None else Failure(self.code, self.message, self.come_back_ms)
        return Reply(self.state, self.rows, self.signature, failure, self.position)


class ChannelEnded(LinkMessage, frozen=True, tag="end"):
    """The connection behind a channel is lost; what was not answered is in doubt."""

    channel: int


class ChannelClosed(LinkMessage, frozen=True, tag="close"):
    """The process that dialled gives a channel up; what is open there is rolled back."""

    channel: int


class TablePosition(msgspec.Struct, frozen=True, array_like=True):
    """How far a follower is in one table."""

    table: str
    version: int


class FollowTables(LinkMessage, frozen=True, tag="follow"):
    """Asks for what has changed; answered when something has, or after a moment.

    takes_large: large changes are to be sent too; else they are only told of, and the asker reads
    them from the store, whose link is the wider one. compares_keys: see TableDelta.keys_digest.
    """

    number: int
    positions: tuple[TablePosition, ...]
    takes_large: bool = False
    compares_keys: bool = False


class TableNews(msgspec.Struct, frozen=True, array_like=True):
    """One table's part of an answer.

    age_seconds: between the time at which the table was surely the store's newest and the sending;
    negative where the sender has never read it.
    is_withheld: there are changes, too large to be sent.
    """

    table: str
    delta: TableDelta
    age_seconds: float
    is_withheld: bool = False


class TablesAnswered(LinkMessage, frozen=True, tag="tables"):
    """The answer to FollowTables of the same number.

    held_seconds: for which the sender kept the question; the answer is true that much later than
    the question was asked.
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


def wait_at_holder(wait_until: float, now: float) -> float | None:
    """Returns for how long, in seconds, a holder may have a statement wait; None for its own limit.

    wait_until: when the statement is to be refused here (steady clock, seconds).
    """
    if math.isinf(wait_until):
        return None
    return round(max((wait_until - now) * WAIT_SHARE, 0.0), 3)


def waited_already(arrived: float, now: float) -> float:
    """Returns the seconds since an operation first came, 0 where that is not known."""
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
    """Returns the message of a statement."""
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
    """Returns the message of an answer."""
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
    """Returns a message as cbor2."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes) -> PeerLinkMessage:
    """Returns the message of a frame. Raises ProtocolError."""
    try:
        message: PeerLinkMessage = msgspec.convert(
            cbor2.loads(data), type=PeerLinkMessage, builtin_types=(bytes,)
        )
    except (cbor2.CBORError, ValueError, TypeError, OverflowError, RecursionError) as error:
        raise ProtocolError(f"not a message of a link: {error}") from error
    return message
