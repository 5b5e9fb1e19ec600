"""Lends this process's database connections to others: accepts links and their channels.

Owns the links that others have dialled, and the channels on each. Relies on `core/pooler/sharing`
for what a channel does, and on the publisher of tables for those who follow them through here.
"""

import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.load_reporter import LoadReporter
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.channel_session import ChannelSession
from dewledge.core.pooler.sharing.messages import (
    ChannelClosed,
    ChannelEnded,
    ChannelOpened,
    ChannelStatement,
    FollowTables,
    Leaving,
    LinkOpened,
    PeerLinkMessage,
    Ping,
    Pong,
    ProvenAge,
    channel_reply,
)
from dewledge.core.pooler.statements.statements import Reply
from dewledge.shell.pooler.links.framed_stream import FramedStream
from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import listen_tcp

ACCEPT_BATCH = 32
"""Links accepted in one turn of the loop."""
MAX_CHANNELS = 2048
"""Of one link; a peer that opens more is refused."""
MOST_TOLD_DATABASES = 256
"""Whose last load report to one peer is remembered; beyond that all are reported anew."""


FollowCallback = Callable[["IncomingLink", FollowTables], None]


class ChannelServer:
    """The listener of one process for others' links."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        services: PoolServices,
        find: Callable[[str], Group | None],
        followed: FollowCallback,
    ) -> None:
        """Binds `address`. Raises OSError if it cannot.

        find: the group of a database.
        followed: called with a link whose process asks for the store's tables.
        """
        self._loop = loop
        self._services = services
        self._find = find
        self._followed = followed
        self._listener, self.address = listen_tcp(address)
        self._links: set[IncomingLink] = set()

    @property
    def channel_count(self) -> int:
        """The channels that are open."""
        return sum(link.channel_count for link in self._links)

    @property
    def at_rest(self) -> bool:
        """Whether nothing of another process runs here."""
        return all(link.at_rest for link in self._links)

    def start(self) -> None:
        """Starts to accept links."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def leave(self) -> None:
        """Tells the others to begin nothing new here."""
        for link in self._links:
            link.send(Leaving())

    def close(self) -> None:
        """Accepts no more and ends all links."""
        self._loop.unwatch(self._listener)
        self._listener.close()
        for link in list(self._links):
            link.close()

    def _accept(self, _events: int) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            link = IncomingLink(
                self._loop,
                sock,
                self._services,
                self._find,
                self._followed,
                self._links.discard,
            )
            self._links.add(link)


class IncomingLink:
    """One other process's link and its channels."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        services: PoolServices,
        find: Callable[[str], Group | None],
        followed: FollowCallback,
        gone: Callable[["IncomingLink"], None],
    ) -> None:
        self._services = services
        self._find = find
        self._followed = followed
        self._gone = gone
        self._peer = ""
        self._loop = loop
        self._reporters: dict[str, LoadReporter] = {}
        self._channels: dict[int, ChannelSession] = {}
        self._stream = FramedStream(loop, sock, self._received, self.close)

    @property
    def closed(self) -> bool:
        """Whether the link is over."""
        return self._stream.closed

    @property
    def channel_count(self) -> int:
        """The channels that are open."""
        return len(self._channels)

    @property
    def at_rest(self) -> bool:
        """Whether nothing runs on any channel."""
        return all(session.is_idle for session in self._channels.values())

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message."""
        self._stream.send(message)

    def close(self) -> None:
        """Ends the link; what its channels had open is rolled back."""
        self._stream.close()
        channels, self._channels = self._channels, {}
        for session in channels.values():
            session.close()
        self._gone(self)

    def _received(self, message: PeerLinkMessage) -> None:
        if isinstance(message, ChannelStatement):
            session = self._channels.get(message.channel)
            if session is None:
                self.send(ChannelEnded(message.channel))
            else:
                session.handle(message)
        elif isinstance(message, ChannelOpened):
            self._open(message)
        elif isinstance(message, ChannelClosed):
            closed = self._channels.pop(message.channel, None)
            if closed is not None:
                closed.close()
        elif isinstance(message, FollowTables):
            self._followed(self, message)
        elif isinstance(message, Ping):
            self.send(Pong())
        elif isinstance(message, LinkOpened):
            self._peer = message.name

    def _open(self, message: ChannelOpened) -> None:
        group = self._find(message.database)
        if (
            group is None
            or len(self._channels) >= MAX_CHANNELS
            or message.channel in self._channels
        ):
            logger.bind(peer=self._peer, database=message.database).info("channel_refused")
            self.send(ChannelEnded(message.channel))
            return
        transport = _ChannelTransport(self, message.channel, group, message.database)
        name = f"{self._peer}/{message.channel}"
        session = ChannelSession(
            name, self._services, group, message.database, transport, message.caller
        )
        self._channels[message.channel] = session

    def load_report(self, group: Group, database_id: str) -> LoadReport | None:
        """Returns what goes with an answer of the load before a database, if it says anything."""
        report = group.load_report(database_id)
        if report is None:
            return None
        reporter = self._reporters.get(database_id)
        if reporter is None:
            if len(self._reporters) >= MOST_TOLD_DATABASES:
                self._reporters.clear()
            reporter = self._reporters[database_id] = LoadReporter()
        return reporter.report_to_send(report, self._loop.now())

    def forget(self, channel: int) -> None:
        """A channel is over."""
        self._channels.pop(channel, None)


class _ChannelTransport:
    """Takes a channel's answers to its link."""

    def __init__(self, link: IncomingLink, channel: int, group: Group, database_id: str) -> None:
        self._link = link
        self._channel = channel
        self._group = group
        self._database_id = database_id

    def send_reply(self, reply: Reply, proof: ProvenAge | None) -> None:
        """Answers the oldest statement that has no answer."""
        load = self._link.load_report(self._group, self._database_id)
        self._link.send(channel_reply(self._channel, reply, proof, load))

    def send_ended(self) -> None:
        """Tells that the channel is over."""
        self._link.forget(self._channel)
        self._link.send(ChannelEnded(self._channel))
