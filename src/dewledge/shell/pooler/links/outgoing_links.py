"""The links that this process dials, by address, and the parts that use them.

Owns the links; passes their messages and ends on to each user, in the order in which users came.
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
    """A part that uses links; it is told of all of them and looks at its own messages."""

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """A message came."""

    def link_lost(self, link: OutgoingLink) -> None:
        """A link ended."""

    def link_retiring(self, link: OutgoingLink) -> None:
        """Nothing new should begin on a link."""


class OutgoingLinks:
    """All links of one process to others."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        record: Callable[[PoolingEvent], None] = lambda event: None,
        is_judged: bool = True,
    ) -> None:
        """`record`: is told when a holder is judged anew.

        is_judged: whether silence of a holder is known to all statements; see LoadPolicy.
        """
        self._loop = loop
        self._own_name = own_name
        self._record = record
        self.is_judged = is_judged
        self._rules = HolderRules() if is_judged else WITHOUT_PROBES
        self._jitter = Random(own_name).random
        self._links: dict[str, OutgoingLink] = {}
        self._users: list[LinkUser] = []
        self._health_watchers: list[Callable[[OutgoingLink], None]] = []

    @property
    def open_count(self) -> int:
        """The links that are open."""
        return sum(link.is_open for link in self._links.values())

    def count(self, state: HolderState) -> int:
        """Returns how many links are in a state."""
        return sum(link.health.state is state for link in self._links.values())

    def add_user(self, user: LinkUser) -> None:
        """Has a part be told of all links."""
        self._users.append(user)

    def watch_health(self, judged: Callable[[OutgoingLink], None]) -> None:
        """Has `judged` be called with each link whose state has changed."""
        self._health_watchers.append(judged)

    def to(self, address: str) -> OutgoingLink:
        """Returns the link to an address; it is dialled when first needed."""
        known = self._links.get(address)
        if known is None:
            known = OutgoingLink(
                self._loop, self._own_name, address, self, self._rules, self._jitter
            )
            self._links[address] = known
        return known

    def close(self) -> None:
        """Ends all links."""
        for link in self._links.values():
            link.close()

    def received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """See LinkWatcher."""
        for user in self._users:
            user.link_received(link, message)

    def lost(self, link: OutgoingLink) -> None:
        """See LinkWatcher."""
        for user in self._users:
            user.link_lost(link)

    def leaving(self, link: OutgoingLink) -> None:
        """See LinkWatcher."""
        for user in self._users:
            user.link_retiring(link)

    def judged(self, link: OutgoingLink, silence: float, lasted: float) -> None:
        """See LinkWatcher."""
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
