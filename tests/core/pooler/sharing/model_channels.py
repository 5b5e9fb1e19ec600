"""In-memory channels to a holder, for tests of sharing without sockets."""

from collections import deque
from collections.abc import Callable

from dewledge.core.pooler.load.load_reporter import LoadReporter
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sharing.channel_session import ChannelSession
from dewledge.core.pooler.sharing.messages import (
    ChannelReply,
    ProvenAge,
    channel_reply,
    channel_statement,
    decode,
    encode,
    holder_wait_seconds,
    seconds_waited,
)
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import GROUP, ROUND_TRIP, ModelGroup, PoolerHarness


class ModelChannels:
    """Opens channels to a holder; `lose_all` simulates the loss of the link."""

    def __init__(self, holder: PoolerHarness) -> None:
        self.holder = holder
        self.channels: list[ModelChannel] = []
        self.is_reachable = True
        self.pooler: PoolerHarness = holder

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        def finish() -> None:
            if not self.is_reachable:
                failed(ErrorCode.DATABASE_UNREACHABLE)
                return
            channel = ModelChannel(self, database_id, caller, closed)
            self.channels.append(channel)
            opened(channel.connection)

        self.holder.scheduler.call_later(0.0, finish)

    def lose_all(self) -> None:
        channels, self.channels = self.channels, []
        for channel in channels:
            channel.session.close()
            channel.lose()


class ModelChannel:
    """Both ends of a channel; messages are encoded, decoded and delivered in order."""

    def __init__(
        self,
        channels: ModelChannels,
        database_id: str,
        caller: str,
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        self.channels = channels
        self.scheduler = channels.holder.scheduler
        self.connection = DatabaseConnection(database_id, self)
        self.is_over = False
        self.sent_at: deque[float] = deque()
        self._load_reporter = LoadReporter()
        self._closed = closed
        holder = channels.holder
        self.session = ChannelSession(
            "peer/1", holder.services, holder.group, database_id, self, caller
        )

    # Transport of the peer's connection.

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        now = self.scheduler.now()
        self.sent_at.append(now)
        connection = self.connection
        wait = holder_wait_seconds(connection.wait_until, now)
        in_time = holder_wait_seconds(connection.in_time_until, now)
        waited = seconds_waited(connection.arrived, now)
        priority = connection.priority
        data = encode(channel_statement(1, statement, floor, priority, wait, in_time, waited))

        def arrive() -> None:
            self.session.handle(decode(data))  # type: ignore[arg-type]

        self.scheduler.call_later(ROUND_TRIP / 2, arrive)

    def close(self) -> None:
        self.is_over = True
        self.scheduler.call_later(ROUND_TRIP / 2, self.session.close)
        self._closed(self.connection)

    # Transport of the holder's session.

    def send_reply(self, reply: Reply, proof: ProvenAge | None) -> None:
        report = self.channels.holder.group.load_report(self.connection.database_id)
        load = (
            None
            if report is None
            else self._load_reporter.report_to_send(report, self.scheduler.now())
        )
        data = encode(channel_reply(1, reply, proof, load))

        def arrive() -> None:
            if not self.is_over:
                self._on_reply(decode(data))  # type: ignore[arg-type]

        self.scheduler.call_later(ROUND_TRIP / 2, arrive)

    def _on_reply(self, message: ChannelReply) -> None:
        sent_at = self.sent_at.popleft()
        if message.proof is not None:
            true_at = sent_at - message.proof.age_seconds
            self.channels.pooler.group.record_proof(true_at, message.proof.position)
        if message.load is not None:
            group = self.channels.pooler.group
            group.record_load_report(self.connection.database_id, "holder", message.load)
        self.connection.on_reply(message.reply)

    def send_ended(self) -> None:
        self.scheduler.call_later(ROUND_TRIP / 2, self.lose)

    def lose(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.connection.on_closed()
            self._closed(self.connection)


class SharingHarness(PoolerHarness):
    """A pooler that sends its statements through a holder."""

    def __init__(self, holder: PoolerHarness, model: ModelGroup | None = None) -> None:
        self.channels = ModelChannels(holder)
        shared = model or holder.model
        super().__init__(64, True, holder.scheduler, shared, self.channels)
        self.channels.pooler = self


__all__ = ["GROUP", "ModelChannel", "ModelChannels", "SharingHarness"]
