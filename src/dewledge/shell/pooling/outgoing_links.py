"""The links that this process dials, by address, and the parts that use them."""

from typing import Protocol

from dewledge.core.sharing.messages import PeerLinkMessage
from dewledge.shell.event_loop import EventLoop
from dewledge.shell.pooling.outgoing_link import OutgoingLink


class LinkUser(Protocol):
    """A part that uses links; it is told of all of them and looks at its own messages."""

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """A message came."""

    def link_lost(self, link: OutgoingLink) -> None:
        """A link ended."""

    def link_retiring(self, link: OutgoingLink) -> None:
        """Nothing new should begin on a link."""


class OutgoingLinks:
    """All links of one process to others."""

    def __init__(self, loop: EventLoop, own_name: str) -> None:
        self._loop = loop
        self._own_name = own_name
        self._links: dict[str, OutgoingLink] = {}
        self._users: list[LinkUser] = []

    @property
    def open_count(self) -> int:
        """The links that are open."""
        return sum(link.is_open for link in self._links.values())

    def add_user(self, user: LinkUser) -> None:
        """Has a part be told of all links."""
        self._users.append(user)

    def to(self, address: str) -> OutgoingLink:
        """Returns the link to an address; it is dialled when first needed."""
        known = self._links.get(address)
        if known is None:
            known = OutgoingLink(
                self._loop, self._own_name, address, self._received, self._lost, self._retiring
            )
            self._links[address] = known
        return known

    def close(self) -> None:
        """Ends all links."""
        for link in self._links.values():
            link.close()

    def _received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        for user in self._users:
            user.link_received(link, message)

    def _lost(self, link: OutgoingLink) -> None:
        for user in self._users:
            user.link_lost(link)

    def _retiring(self, link: OutgoingLink) -> None:
        for user in self._users:
            user.link_retiring(link)
