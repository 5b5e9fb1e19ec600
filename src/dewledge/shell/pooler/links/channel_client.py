"""Opens channels: connections to databases through the processes that hold them.

Channels are multiplexed on the links of `outgoing_links` and numbered within this process. A
channel ends with its link. The channels of a holder that does not reply are marked as retiring, so
that new statements are not sent on them. If holders are probed, the mark is removed once the holder
is usable again.
"""

import itertools
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sharing.messages import (
    ChannelClosed,
    ChannelEnded,
    ChannelOpened,
    ChannelReply,
    PeerLinkMessage,
    channel_statement,
    holder_wait_seconds,
    seconds_waited,
)
from dewledge.core.pooler.statements.statements import Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from dewledge.shell.pooler.links.open_request import OpenRequest
from dewledge.shell.pooler.links.outgoing_link import OutgoingLink
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.shared.event_loop import EventLoop


class HolderReportReceiver(Protocol):
    """Receives the positions and load reports that holders attach to replies."""

    def record_proof(self, database_id: str, true_at: float, position: LogPosition) -> None:
        """Records that the group of a database had reached `position` at the time `true_at` (steady
        clock, seconds)."""

    def record_load_report(self, database_id: str, holder: str, report: LoadReport) -> None:
        """Records the load of a database, as reported by the holder at this address."""


class ChannelClient:
    """All channels that this process has opened through other processes."""

    def __init__(
        self, loop: EventLoop, links: OutgoingLinks, report_receiver: HolderReportReceiver
    ) -> None:
        self._report_receiver = report_receiver
        self._loop = loop
        self._links = links
        self._channels: dict[OutgoingLink, dict[int, _Channel]] = {}
        self._channel_numbers = itertools.count(1)
        links.add_user(self)
        if links.is_judged:
            links.watch_health(self._on_health_changed)
        else:
            links.watch_health(self._retire_silent)

    def open(self, request: OpenRequest, addresses: Sequence[str]) -> None:
        """Opens a channel through the first usable holder of `addresses`.

        Unusable holders are skipped; a probe is started to those for which one is due.
        """
        usable = [address for address in addresses if self._is_usable(address)]
        if not usable:
            self._loop.call_later(0.0, lambda: request.failed(ErrorCode.DATABASE_UNREACHABLE))
            return
        link = self._links.to(usable[0])

        def try_next() -> None:
            self.open(request, usable[1:])

        link.when_open(lambda: self._open_channel(link, request), try_next)

    def _open_channel(self, link: OutgoingLink, request: OpenRequest) -> None:
        number = next(self._channel_numbers)
        channel = _Channel(link, number, request, self._forget, self._loop.now)
        self._channels.setdefault(link, {})[number] = channel
        link.send(ChannelOpened(number, request.database_id, request.caller))
        request.opened(channel.connection)

    def _is_usable(self, address: str) -> bool:
        link = self._links.to(address)
        if not link.is_usable:
            link.probe()
        return link.is_usable

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """Handles a reply on a channel, or the notice that the holder has ended a channel."""
        channels = self._channels.get(link, {})
        if isinstance(message, ChannelReply):
            channel = channels.get(message.channel)
            if channel is not None:
                self._pass_on_reports(channel, message)
                channel.answer(message)
        elif isinstance(message, ChannelEnded):
            channel = channels.pop(message.channel, None)
            if channel is not None:
                channel.end()

    def _pass_on_reports(self, channel: "_Channel", message: ChannelReply) -> None:
        """Passes on the proven position and the load report of a reply.

        The age of the position is counted back from when the statement was sent: the reply was
        sent later, so the position is at least as recent.
        """
        if message.proof is not None and channel.sent_at:
            true_at = channel.sent_at[0] - message.proof.age_seconds
            self._report_receiver.record_proof(
                channel.connection.database_id, true_at, message.proof.position
            )
        if message.load is not None:
            self._report_receiver.record_load_report(
                channel.connection.database_id, channel.holder, message.load
            )

    def link_lost(self, link: OutgoingLink) -> None:
        """Ends the channels of a lost link."""
        for channel in self._channels.pop(link, {}).values():
            channel.end()

    def link_retiring(self, link: OutgoingLink) -> None:
        """Marks the channels of a link as retiring, so that they are not assigned again."""
        for channel in self._channels.get(link, {}).values():
            channel.connection.is_retiring = True

    def _on_health_changed(self, link: OutgoingLink) -> None:
        """Updates the retiring mark of the connections on a link and reports the holder's state to
        them."""
        for channel in list(self._channels.get(link, {}).values()):
            channel.connection.is_retiring = not link.is_usable
            channel.connection.on_holder_state(link.health.state)

    def _retire_silent(self, link: OutgoingLink) -> None:
        if link.health.state is HolderState.SILENT:
            self.link_retiring(link)

    def _forget(self, link: OutgoingLink, number: int) -> None:
        self._channels.get(link, {}).pop(number, None)


class _Channel:
    """The transport of a connection that another process holds."""

    def __init__(
        self,
        link: OutgoingLink,
        number: int,
        request: OpenRequest,
        forget: Callable[[OutgoingLink, int], None],
        now: Callable[[], float],
    ) -> None:
        self.number = number
        self.connection = DatabaseConnection(request.database_id, self)
        self._link = link
        self._closed = request.closed
        self._forget = forget
        self._now = now
        self.sent_at: deque[float] = deque()
        """When each unanswered statement was sent (steady clock, seconds), oldest first."""

    @property
    def holder(self) -> str:
        """The address of the process that holds the connection."""
        return self._link.address

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends a statement. Replies arrive in the order of the statements."""
        now = self._now()
        self.sent_at.append(now)
        self._link.record_request()
        connection = self.connection
        message = channel_statement(
            self.number,
            statement,
            floor,
            connection.priority,
            holder_wait_seconds(connection.wait_until, now),
            holder_wait_seconds(connection.in_time_until, now),
            seconds_waited(connection.arrived, now),
        )
        self._link.send(message)

    def close(self) -> None:
        """Closes the channel; the holder rolls back an open transaction."""
        self._link.send(ChannelClosed(self.number))
        self._link.record_replies(len(self.sent_at))
        self._forget(self._link, self.number)
        self._closed(self.connection)

    def answer(self, message: ChannelReply) -> None:
        """Passes the reply to the oldest unanswered statement on to the connection."""
        if self.sent_at:
            self.sent_at.popleft()
        self._link.record_replies()
        self.connection.on_reply(message.reply)

    def end(self) -> None:
        """Informs the connection and its pool that the channel has ended."""
        self._link.record_replies(len(self.sent_at))
        self.connection.on_closed()
        self._closed(self.connection)
