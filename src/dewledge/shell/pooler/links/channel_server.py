"""Lends database connections of this process to other processes, over links that they dial.

Each link carries numbered channels. A `ChannelSession` of `core/pooler/sharing` executes the
statements of a channel. Requests of other processes for changes of the store's tables are passed to
a callback.
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
"""Links accepted in one iteration of the event loop."""
MAX_CHANNELS = 2048
"""Channels open on one link; requests for further ones are refused."""
MAX_REPORTED_DATABASES = 256
"""Databases per link whose last load report is remembered. Beyond them, all are forgotten, and the
load of each database is reported again with its next reply."""


FollowCallback = Callable[["IncomingLink", FollowTables], None]


class ChannelServer:
    """Listens for the links of other processes."""

    def __init__(
        self,
        loop: EventLoop,
        address: str,
        services: PoolServices,
        find: Callable[[str], Group | None],
        followed: FollowCallback,
    ) -> None:
        """Binds `address`. Raises OSError on failure.

        find: returns the group of a database, None if it is unknown.
        followed: called with a link whose process asks for changes of the store's tables.
        """
        self._loop = loop
        self._services = services
        self._find = find
        self._followed = followed
        self._listener, self.address = listen_tcp(address)
        self._links: set[IncomingLink] = set()

    @property
    def channel_count(self) -> int:
        """The number of open channels on all links."""
        return sum(link.channel_count for link in self._links)

    @property
    def is_idle(self) -> bool:
        """Whether no channel has a waiting or running statement or an open transaction, and all
        replies are sent."""
        return all(link.is_idle for link in self._links)

    def start(self) -> None:
        """Starts to accept links."""
        self._loop.watch(self._listener, READABLE, self._accept)

    def leave(self) -> None:
        """Asks the connected processes to start no new work on their links."""
        for link in self._links:
            link.send(Leaving())

    def close(self) -> None:
        """Stops accepting links and closes all of them."""
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
    """A link that another process has dialled, and the channels on it."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        services: PoolServices,
        find: Callable[[str], Group | None],
        followed: FollowCallback,
        on_closed: Callable[["IncomingLink"], None],
    ) -> None:
        self._services = services
        self._find = find
        self._followed = followed
        self._on_closed = on_closed
        self._peer = ""
        self._loop = loop
        self._reporters: dict[str, LoadReporter] = {}
        self._channels: dict[int, ChannelSession] = {}
        self._stream = FramedStream(loop, sock, self._received, self.close)

    @property
    def closed(self) -> bool:
        """Whether the link has ended."""
        return self._stream.closed

    @property
    def channel_count(self) -> int:
        """The number of open channels."""
        return len(self._channels)

    @property
    def is_idle(self) -> bool:
        """Whether no channel of this link has a waiting or running statement or an open
        transaction, and all replies are sent."""
        are_idle = all(session.is_idle for session in self._channels.values())
        return are_idle and not self._stream.is_sending

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message; see FramedStream.send."""
        self._stream.send(message)

    def close(self) -> None:
        """Closes the link and its channels; their open transactions are rolled back."""
        self._stream.close()
        channels, self._channels = self._channels, {}
        for session in channels.values():
            session.close()
        self._on_closed(self)

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
        """Returns the load report to attach to a reply, None if there is none or none is due."""
        report = group.load_report(database_id)
        if report is None:
            return None
        reporter = self._reporters.get(database_id)
        if reporter is None:
            if len(self._reporters) >= MAX_REPORTED_DATABASES:
                self._reporters.clear()
            reporter = self._reporters[database_id] = LoadReporter()
        return reporter.report_to_send(report, self._loop.now())

    def forget(self, channel: int) -> None:
        """Removes a channel that has ended."""
        self._channels.pop(channel, None)


class _ChannelTransport:
    """Sends the replies of a channel over the link."""

    def __init__(self, link: IncomingLink, channel: int, group: Group, database_id: str) -> None:
        self._link = link
        self._channel = channel
        self._group = group
        self._database_id = database_id

    def send_reply(self, reply: Reply, proof: ProvenAge | None) -> None:
        """Sends the reply to the oldest unanswered statement, with a load report if one is due."""
        load = self._link.load_report(self._group, self._database_id)
        self._link.send(channel_reply(self._channel, reply, proof, load))

    def send_ended(self) -> None:
        """Informs the other process that the channel has ended."""
        self._link.forget(self._channel)
        self._link.send(ChannelEnded(self._channel))
