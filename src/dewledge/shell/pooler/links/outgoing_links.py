"""The links that this process dials, by address.

Messages, losses and planned stops of links are passed to all registered `LinkUser` objects, in the
order in which they were added.
"""

from collections.abc import Callable
from random import Random
from typing import Protocol

from dewledge.core.pooler.events import HolderJudged, PoolingEvent
from dewledge.core.pooler.load.holder_health import WITHOUT_PROBES, HolderRules, HolderState
from dewledge.core.pooler.sharing.messages import PeerLinkMessage
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.shell.pooler.links.outgoing_link import OutgoingLink
from dewledge.shell.shared.event_loop import EventLoop


class LinkUser(Protocol):
    """Is notified of the messages, losses and planned stops of all links; ignores messages of types
    that it does not handle."""

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """Handles a message from a link."""

    def link_lost(self, link: OutgoingLink) -> None:
        """Handles the loss of a link."""

    def link_retiring(self, link: OutgoingLink) -> None:
        """Handles the announcement that no new work may start on a link."""


class OutgoingLinks:
    """The links from this process to others, one per address. A link is created on first use."""

    def __init__(
        self,
        loop: EventLoop,
        local_name: str,
        record: Callable[[PoolingEvent], None] = lambda event: None,
        is_judged: bool = True,
    ) -> None:
        """`record`: called with an event when the state of a holder changes.

        is_judged: whether a lost holder must answer a probe before it receives statements; False
        applies `WITHOUT_PROBES`. See `LoadPolicy.silent_holders`.
        """
        self._loop = loop
        self._local_name = local_name
        self._record = record
        self.is_judged = is_judged
        self._rules = HolderRules() if is_judged else WITHOUT_PROBES
        self._jitter = Random(local_name).random
        self._links: dict[str, OutgoingLink] = {}
        self._users: list[LinkUser] = []
        self._health_watchers: list[Callable[[OutgoingLink], None]] = []

    @property
    def open_count(self) -> int:
        """The number of links that are connected now."""
        return sum(link.is_open for link in self._links.values())

    def count(self, state: HolderState) -> int:
        """Returns the number of links whose holder has the given state."""
        return sum(link.health.state is state for link in self._links.values())

    def add_user(self, user: LinkUser) -> None:
        """Registers an object that is notified of the events of all links; see LinkUser."""
        self._users.append(user)

    def watch_health(self, judged: Callable[[OutgoingLink], None]) -> None:
        """Registers a callback that is called with each link whose health state has changed."""
        self._health_watchers.append(judged)

    def to(self, address: str) -> OutgoingLink:
        """Returns the link to an address; creates it if there is none, without dialling."""
        link = self._links.get(address)
        if link is None:
            link = OutgoingLink(
                self._loop, self._local_name, address, self, self._rules, self._jitter
            )
            self._links[address] = link
        return link

    def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            link.close()

    def received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """Passes the message on to all `LinkUser` objects."""
        for user in self._users:
            user.link_received(link, message)

    def lost(self, link: OutgoingLink) -> None:
        """Informs all `LinkUser` objects that the link is lost."""
        for user in self._users:
            user.link_lost(link)

    def leaving(self, link: OutgoingLink) -> None:
        """Informs all `LinkUser` objects that no new work may start on the link."""
        for user in self._users:
            user.link_retiring(link)

    def judged(self, link: OutgoingLink, silence: float, lasted: float) -> None:
        """Records the new health state of the holder as an event and calls the health callbacks."""
        health = link.health
        event = HolderJudged(
            peer=link.address,
            state=health.state,
            silence_ms=round(silence * MILLISECONDS_PER_SECOND),
            due=health.outstanding_replies,
            usual_ms=round(health.usual_round_trip * MILLISECONDS_PER_SECOND),
            lasted_ms=round(lasted * MILLISECONDS_PER_SECOND),
        )
        self._record(event)
        for judged in self._health_watchers:
            judged(link)
