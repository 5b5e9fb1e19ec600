"""Connections to databases that other processes hold: channels on links to them.

Owns the channels of this process by link and number. Relies on `outgoing_links` for links and on
what these judge of the processes at their other ends; a channel ends with its link.
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


class HolderNews(Protocol):
    """Takes what answers of holders tell besides the answers themselves."""

    def take_proof(self, database_id: str, true_at: float, position: LogPosition) -> None:
        """A database's group was surely at `position` at a time (steady clock)."""

    def take_load(self, database_id: str, holder: str, report: LoadReport) -> None:
        """The load before a database, as the holder at this address tells it."""


class ChannelClient:
    """All channels of one process to others."""

    def __init__(self, loop: EventLoop, links: OutgoingLinks, news: HolderNews) -> None:
        self._news = news
        self._loop = loop
        self._links = links
        self._channels: dict[OutgoingLink, dict[int, _Channel]] = {}
        self._numbers = itertools.count(1)
        links.add_user(self)
        if links.is_judged:
            links.watch_health(self._holder_judged)
        else:
            links.watch_health(self._retire_silent)

    def open(self, request: OpenRequest, addresses: Sequence[str]) -> None:
        """Opens a channel through the first process that can be reached.

        Those that are thought lost are dialled, as far as it is time to, and not waited for.
        """
        usable = [address for address in addresses if self._is_usable(address)]
        if not usable:
            self._loop.call_later(0.0, lambda: request.failed(ErrorCode.DATABASE_UNREACHABLE))
            return
        link = self._links.to(usable[0])

        def go_on() -> None:
            self.open(request, usable[1:])

        link.when_open(lambda: self._begin(link, request), go_on)

    def _begin(self, link: OutgoingLink, request: OpenRequest) -> None:
        number = next(self._numbers)
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
        """Takes a message of a link."""
        channels = self._channels.get(link, {})
        if isinstance(message, ChannelReply):
            channel = channels.get(message.channel)
            if channel is not None:
                self._learn(channel, message)
                channel.answer(message)
        elif isinstance(message, ChannelEnded):
            channel = channels.pop(message.channel, None)
            if channel is not None:
                channel.end()

    def _learn(self, channel: "_Channel", message: ChannelReply) -> None:
        """The holder answered after the statement was sent: what it knew then is as old at most."""
        if message.proof is not None and channel.sent_at:
            true_at = channel.sent_at[0] - message.proof.age_seconds
            self._news.take_proof(channel.connection.database_id, true_at, message.proof.position)
        if message.load is not None:
            self._news.take_load(channel.connection.database_id, channel.holder, message.load)

    def link_lost(self, link: OutgoingLink) -> None:
        """A link ended: so do its channels."""
        for channel in self._channels.pop(link, {}).values():
            channel.end()

    def link_retiring(self, link: OutgoingLink) -> None:
        """Nothing new should begin on a link's channels."""
        for channel in self._channels.get(link, {}).values():
            channel.connection.is_retiring = True

    def _holder_judged(self, link: OutgoingLink) -> None:
        """All statements on a link's channels are told what is known of its other end."""
        for channel in list(self._channels.get(link, {}).values()):
            channel.connection.is_retiring = not link.is_usable
            channel.connection.on_holder_state(link.health.state)

    def _retire_silent(self, link: OutgoingLink) -> None:
        if link.health.state is HolderState.SILENT:
            self.link_retiring(link)

    def _forget(self, link: OutgoingLink, number: int) -> None:
        self._channels.get(link, {}).pop(number, None)


class _Channel:
    """One channel: the transport of a connection that another process holds."""

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
        """When each statement without an answer was sent."""

    @property
    def holder(self) -> str:
        """The address of the process that holds the connection."""
        return self._link.address

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        """Sends one statement; its answer comes later, in order."""
        now = self._now()
        self.sent_at.append(now)
        self._link.expect_answer()
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
        """Gives the channel up; the holder rolls back what is open."""
        self._link.send(ChannelClosed(self.number))
        self._link.answer_came(len(self.sent_at))
        self._forget(self._link, self.number)
        self._closed(self.connection)

    def answer(self, message: ChannelReply) -> None:
        """Takes the next answer."""
        if self.sent_at:
            self.sent_at.popleft()
        self._link.answer_came()
        self.connection.on_reply(message.reply)

    def end(self) -> None:
        """The channel is lost."""
        self._link.answer_came(len(self.sent_at))
        self.connection.on_closed()
        self._closed(self.connection)
