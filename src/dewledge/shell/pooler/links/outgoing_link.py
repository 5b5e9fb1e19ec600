"""A link that this process dials, and how it is judged: usable, doubted, silent, leaving, lost.

Owns one connection and the callers that wait for it. `core/pooler/load/holder_health` judges the
other end by what comes and when; this module reports to it and acts on the judgement.
"""

import socket
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from dewledge.core.pooler.load.holder_health import HolderHealth, HolderRules, HolderState
from dewledge.core.pooler.sharing.messages import Leaving, LinkOpened, PeerLinkMessage, Ping, Pong
from dewledge.shell.pooler.links.byte_stream import Connecting
from dewledge.shell.pooler.links.framed_stream import FramedStream
from dewledge.shell.shared.event_loop import EventLoop, Timer

CONNECT_LIMIT_SECONDS = 0.4
"""For another process to accept a connection."""


class LinkWatcher(Protocol):
    """Is told what happens to a link."""

    def received(self, link: "OutgoingLink", message: PeerLinkMessage) -> None:
        """A message came."""

    def lost(self, link: "OutgoingLink") -> None:
        """The link ended; what was on it is in doubt."""

    def leaving(self, link: "OutgoingLink") -> None:
        """Nothing new should begin on what the link carries."""

    def judged(self, link: "OutgoingLink", silence: float, lasted: float) -> None:
        """The state changed, after `silence` seconds; the state before had lasted `lasted`."""


class OutgoingLink:
    """One link to the process at an address; dialled when needed, dialled again after its end."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        address: str,
        watcher: LinkWatcher,
        rules: HolderRules,
        jitter: Callable[[], float],
    ) -> None:
        """`jitter`: see HolderHealth."""
        self.address = address
        self.health = HolderHealth(rules, jitter)
        self._is_leaving = False
        self._loop = loop
        self._own_name = own_name
        self._watcher = watcher
        self._stream: FramedStream | None = None
        self._connecting: Connecting | None = None
        self._waiting: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self._known_state = self.health.state
        self._known_since = loop.now()
        self._timer: Timer | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages leave at once."""
        return self._stream is not None

    @property
    def heard_at(self) -> float:
        """When bytes came last (steady clock, seconds)."""
        return self.health.last_received_at

    @property
    def is_usable(self) -> bool:
        """Whether something new may begin here now."""
        return not self._is_leaving and self.health.is_usable(self._loop.now())

    def probe(self) -> None:
        """Dials if the other end is thought lost and it is time to see whether it is back."""
        if self._stream is None and self._connecting is None:
            now = self._loop.now()
            if self.health.may_probe(now):
                self._dial()

    def when_open(self, opened: Callable[[], None], failed: Callable[[], None]) -> None:
        """Calls one of both later, dialling if there is need.

        `failed` is called as soon as the other end is doubted, however long the dial goes on.
        """
        if self._stream is not None:
            self._loop.call_later(0.0, opened if self.is_usable else failed)
            return
        if not self.is_usable:
            self.probe()
            self._loop.call_later(0.0, failed)
            return
        self._waiting.append((opened, failed))
        if self._connecting is None:
            self._dial()

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message; one for a link that is lost is dropped."""
        if self._stream is not None:
            self._stream.send(message)

    def expect_answer(self) -> None:
        """An answer is due: from now on silence means something."""
        if self._stream is not None:
            self._plan_look(self.health.on_sent(self._loop.now()))

    def answer_came(self, count: int = 1) -> None:
        """So many answers have come, or are not awaited any more."""
        self.health.on_replies(count)

    def close(self) -> None:
        """Ends the link without a call of `lost`."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        self._clear_timer()

    def _dial(self) -> None:
        self._plan_look(self.health.on_dial(self._loop.now()))
        self._connecting = Connecting(
            self._loop, self.address, CONNECT_LIMIT_SECONDS, self._connected, self._refused
        )

    def _connected(self, sock: socket.socket) -> None:
        self._connecting = None
        self._is_leaving = False
        self._clear_timer()
        self.health.on_opened(self._loop.now())
        self._stream = FramedStream(self._loop, sock, self._received, self._ended, self._heard)
        self._stream.send(LinkOpened(self._own_name))
        self._tell_state(0.0)
        waiting, self._waiting = self._waiting, []
        for opened, _ in waiting:
            opened()

    def _refused(self) -> None:
        self._connecting = None
        now = self._loop.now()
        silence = self.health.silence_seconds(now)
        self._clear_timer()
        self.health.on_ended(now, is_dial=True)
        self._tell_state(silence)
        self._move_on()

    def _move_on(self) -> None:
        waiting, self._waiting = self._waiting, []
        for _, failed in waiting:
            failed()

    def _heard(self) -> None:
        silence = self.health.silence_seconds(self._loop.now())
        self.health.on_received(self._loop.now())
        self._tell_state(silence)

    def _received(self, message: PeerLinkMessage) -> None:
        if isinstance(message, Leaving):
            logger.bind(peer=self.address).info("peer_leaving")
            self._is_leaving = True
            self._watcher.leaving(self)
            return
        if isinstance(message, Pong):
            self.health.on_pong(self._loop.now())
        self._watcher.received(self, message)

    def _ended(self) -> None:
        self._lose("closed")

    def _lose(self, reason: str) -> None:
        now = self._loop.now()
        silence = self.health.silence_seconds(now)
        logger.bind(peer=self.address, reason=reason, due=self.health.outstanding_replies).info(
            "link_lost"
        )
        self.close()
        self.health.on_ended(now, is_dial=False)
        self._tell_state(silence)
        self._watcher.lost(self)

    def _look(self) -> None:
        self._timer = None
        now = self._loop.now()
        look = self.health.check(now)
        if look.is_lost and self._stream is not None:
            self._lose("silent")
            return
        if look.sends_ping:
            self.send(Ping())
        self._plan_look(look.again)
        self._tell_state(self.health.silence_seconds(now))

    def _tell_state(self, silence: float) -> None:
        """Reports a new state; callers do not wait for the dial of an end that is doubted."""
        state, now = self.health.state, self._loop.now()
        if state is not self._known_state:
            lasted = now - self._known_since
            self._known_state, self._known_since = state, now
            self._watcher.judged(self, silence, lasted)
        if state is not HolderState.USABLE:
            self._move_on()

    def _plan_look(self, delay: float | None) -> None:
        if delay is not None:
            self._clear_timer()
            self._timer = self._loop.call_later(delay, self._look)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
