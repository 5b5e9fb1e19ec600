"""All links between this proxy and its peers, by name.

Requests leave on links dialled here, answers on the links that brought the requests. Other
messages take whichever link is open.
"""

import socket
from collections.abc import Mapping
from random import Random
from typing import Protocol

from loguru import logger

from dewledge.core.proxy.messages import PROTOCOL_VERSION, Hello, PeerMessage
from dewledge.shell.proxy.outbound_peer import (
    REPLIES,
    REQUESTS,
    OutboundLost,
    OutboundPeer,
    RequestsUnsent,
    statement_requests,
)
from dewledge.shell.proxy.peer_link import LinkClosed, PeerLink
from dewledge.shell.shared.event_loop import READABLE, EventLoop, Timer
from dewledge.shell.shared.sockets import configure_link, listen_tcp

CHECK_SECONDS = 0.1
LATE_CHECK_SECONDS = 0.5
GREETING_SECONDS = 2.0


class PeerHandler(Protocol):
    """What the links report, on the loop's thread."""

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        """A message came from `peer`."""

    def inbound_opened(self, peer: str, incarnation: int) -> None:
        """A link was made on which `peer` will send requests."""

    def outbound_lost(self, lost: OutboundLost) -> None:
        """The link for this proxy's requests to a peer ended or could not be made."""

    def requests_unsent(self, unsent: RequestsUnsent) -> None:
        """Requests to a peer never left; nothing is known of others to it."""

    def inbound_lost(self, peer: str) -> None:
        """The link that carried a peer's requests ended: it no longer awaits their answers."""


class PeerLinks:
    """The links of one proxy. All methods belong to the loop's thread once it runs."""

    def __init__(
        self, loop: EventLoop, hello: Hello, address: str, random: Random, handler: PeerHandler
    ) -> None:
        """Binds `address` ("ip:port", port 0 for any). Raises OSError if it cannot."""
        self._loop = loop
        self._hello = hello
        self._random = random
        self._handler = handler
        self._listener, self.address = listen_tcp(address)
        self._addresses: dict[str, str] = {}
        self._outbound: dict[str, OutboundPeer] = {}
        self._inbound: dict[str, PeerLink] = {}
        self._ungreeted: dict[PeerLink, float] = {}
        self._timer: Timer | None = None
        self._last_check = 0.0
        self._closing = False

    @property
    def link_count(self) -> int:
        """The links that are open, both ways."""
        opened = sum(peer.is_open for peer in self._outbound.values())
        return opened + len(self._inbound)

    def start(self) -> None:
        """Starts to accept links."""
        self._loop.watch(self._listener, READABLE, self._accept)
        self._last_check = self._loop.now()
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check)

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Tells where each peer is. A link to an address that a peer has left is closed."""
        self._addresses = dict(addresses)
        for peer in list(self._outbound.values()):
            address = self._addresses.get(peer.peer, peer.address)
            if address != peer.address:
                peer.close("the peer has another address")
                self._outbound.pop(peer.peer, None)

    def send(self, peer: str, message: PeerMessage) -> None:
        """Sends over the link that is right for the message; an answer nobody awaits is dropped."""
        outbound = self._outbound.get(peer)
        if isinstance(message, REPLIES):
            self._send_inbound(peer, message)
        elif outbound is not None and outbound.is_open:
            outbound.send(message)
        elif not isinstance(message, REQUESTS) and self._send_inbound(peer, message):
            return
        else:
            self._send_outbound(peer, message)

    def close(self) -> None:
        """Closes the listener and all links; nothing more is reported."""
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        self._loop.unwatch(self._listener)
        self._listener.close()
        for peer in list(self._outbound.values()):
            peer.close("this proxy stops")
        for link in (*self._inbound.values(), *self._ungreeted):
            link.close("this proxy stops")

    def _send_inbound(self, peer: str, message: PeerMessage) -> bool:
        link = self._inbound.get(peer)
        if link is None:
            return False
        link.send(message)
        return True

    def _send_outbound(self, peer: str, message: PeerMessage) -> None:
        outbound = self._outbound.get(peer)
        if outbound is None:
            address = self._addresses.get(peer)
            if address is None:
                self._refuse_unknown(peer, message)
                return
            outbound = self._add_outbound(peer, address)
        outbound.send(message)

    def _refuse_unknown(self, peer: str, message: PeerMessage) -> None:
        unsent = statement_requests((message,))
        refused = RequestsUnsent(peer, "the peer is not a member", unsent)
        self._loop.post(lambda: self._requests_unsent(refused))

    def _add_outbound(self, peer: str, address: str) -> OutboundPeer:
        outbound = OutboundPeer(
            self._loop,
            self._hello,
            peer,
            address,
            self._random,
            self._take_message,
            self._outbound_lost,
            self._requests_unsent,
        )
        self._outbound[peer] = outbound
        return outbound

    def _take_message(self, peer: str, message: PeerMessage) -> None:
        self._handler.peer_message(peer, message)

    def _outbound_lost(self, lost: OutboundLost) -> None:
        if self._closing:
            return
        logger.bind(peer=lost.peer, reason=lost.reason).info("outbound_link_lost")
        if lost.peer not in self._addresses:
            self._outbound.pop(lost.peer, None)
        self._handler.outbound_lost(lost)

    def _requests_unsent(self, unsent: RequestsUnsent) -> None:
        if self._closing:
            return
        logger.bind(peer=unsent.peer, reason=unsent.reason, requests=len(unsent.requests)).info(
            "requests_unsent"
        )
        self._handler.requests_unsent(unsent)

    def _accept(self, _events: int) -> None:
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        self._add_inbound(sock)

    def _add_inbound(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        configure_link(sock)
        link = PeerLink(self._loop, sock, True, self._take_inbound, self._inbound_closed)
        self._ungreeted[link] = self._loop.now()

    def _take_inbound(self, link: PeerLink, message: PeerMessage) -> None:
        if link in self._ungreeted:
            self._greet(link, message)
        else:
            self._handler.peer_message(link.peer, message)

    def _greet(self, link: PeerLink, message: PeerMessage) -> None:
        if not isinstance(message, Hello) or message.version != PROTOCOL_VERSION:
            link.close("no greeting of this protocol's version")
            return
        older = self._inbound.get(message.proxy)
        if older is not None:
            older.close("the peer dialled anew")
        del self._ungreeted[link]
        link.peer = message.proxy
        self._inbound[link.peer] = link
        link.send(self._hello)
        self._handler.inbound_opened(link.peer, message.incarnation)

    def _inbound_closed(self, link: PeerLink, closed: LinkClosed) -> None:
        if self._closing:
            return
        logger.bind(peer=link.peer, reason=closed.reason).info("inbound_link_closed")
        if self._ungreeted.pop(link, None) is not None:
            return
        self._inbound.pop(link.peer, None)
        self._handler.inbound_lost(link.peer)

    def _check(self) -> None:
        now = self._loop.now()
        was_held_up = now - self._last_check > LATE_CHECK_SECONDS
        self._last_check = now
        for outbound in list(self._outbound.values()):
            if was_held_up:
                outbound.forgive_silence()
            outbound.check_silence()
        for link, since in list(self._ungreeted.items()):
            if now - since > GREETING_SECONDS:
                link.close("no greeting in time")
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check)
