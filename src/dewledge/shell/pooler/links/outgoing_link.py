"""A link that this process dials to another process, usually a connection holder.

The link reports its traffic to `HolderHealth`, which judges whether the holder is alive. When the
holder is suspected or silent (see `HolderState`), requests that wait for the link to open fail
immediately, so that they can be sent to another holder. A link that stays silent is closed. A probe
dials it again; under `WITHOUT_PROBES`, the next request after a pause does.
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

CONNECT_TIMEOUT_SECONDS = 0.4
"""Seconds that another process may take to accept a connection."""


class LinkWatcher(Protocol):
    """Receives the messages and the state changes of links."""

    def received(self, link: "OutgoingLink", message: PeerLinkMessage) -> None:
        """Handles a message from the link."""

    def lost(self, link: "OutgoingLink") -> None:
        """Handles the loss of the link. The results of its unanswered statements are unknown."""

    def leaving(self, link: "OutgoingLink") -> None:
        """Handles the announcement that the process at the other end will stop: no new work may
        start on the link."""

    def judged(self, link: "OutgoingLink", silence: float, lasted: float) -> None:
        """Handles a change of the health state.

        silence: seconds without a sign of life from the holder while a reply was awaited.
        lasted: seconds that the previous state lasted.
        """


class OutgoingLink:
    """The link to the process at one address, dialled on first use and again after a loss."""

    def __init__(
        self,
        loop: EventLoop,
        local_name: str,
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
        self._local_name = local_name
        self._watcher = watcher
        self._stream: FramedStream | None = None
        self._connecting: Connecting | None = None
        self._waiting: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self._reported_state = self.health.state
        self._reported_since = loop.now()
        self._timer: Timer | None = None

    @property
    def is_open(self) -> bool:
        """Whether the link is connected."""
        return self._stream is not None

    @property
    def heard_at(self) -> float:
        """When the last sign of life was received (steady clock, seconds)."""
        return self.health.last_received_at

    @property
    def is_usable(self) -> bool:
        """Whether new statements may be sent on the link; see HolderHealth.is_usable.

        False from the announcement of the other process that it will stop until the next dial
        succeeds.
        """
        return not self._is_leaving and self.health.is_usable(self._loop.now())

    def probe(self) -> None:
        """Dials a lost holder if a probe is due, to find out whether it answers again."""
        if self._stream is None and self._connecting is None:
            now = self._loop.now()
            if self.health.may_probe(now):
                self._dial()

    def when_open(self, opened: Callable[[], None], failed: Callable[[], None]) -> None:
        """Calls `opened` when the link is connected, or `failed` if the link is not usable.

        Dials a link that is not connected; if it is not usable, only when a probe is due. `failed`
        is called as soon as the holder is suspected, even while the dial is in progress.
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
        """Sends a message; drops it if the link is not connected."""
        if self._stream is not None:
            self._stream.send(message)

    def record_request(self) -> None:
        """Records that a request was sent, and schedules a health check."""
        if self._stream is not None:
            self._schedule_check(self.health.on_sent(self._loop.now()))

    def record_replies(self, count: int = 1) -> None:
        """Records replies that arrived or are no longer awaited."""
        self.health.on_replies(count)

    def verify(self) -> None:
        """Pings the other end; if no sign of life follows, the link is closed as lost.

        For users whose answers may come late and are therefore not recorded as requests.
        """
        if self._stream is None:
            return
        delay = self.health.on_ping(self._loop.now())
        if delay is not None:
            self._stream.send(Ping())
            self._schedule_check(delay)

    def close(self) -> None:
        """Closes the link without calling `lost`."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        self._clear_timer()

    def _dial(self) -> None:
        self._schedule_check(self.health.on_dial(self._loop.now()))
        self._connecting = Connecting(
            self._loop, self.address, CONNECT_TIMEOUT_SECONDS, self._connected, self._on_dial_failed
        )

    def _connected(self, sock: socket.socket) -> None:
        self._connecting = None
        self._is_leaving = False
        self._clear_timer()
        self.health.on_opened(self._loop.now())
        self._stream = FramedStream(self._loop, sock, self._received, self._ended, self._on_bytes)
        self._stream.send(LinkOpened(self._local_name))
        self._report_state(0.0)
        waiting, self._waiting = self._waiting, []
        for opened, _ in waiting:
            opened()

    def _on_dial_failed(self) -> None:
        self._connecting = None
        now = self._loop.now()
        silence = self.health.silence_seconds(now)
        self._clear_timer()
        self.health.on_ended(now, is_dial=True)
        self._report_state(silence)
        self._fail_waiting()

    def _fail_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for _, failed in waiting:
            failed()

    def _on_bytes(self) -> None:
        silence = self.health.silence_seconds(self._loop.now())
        self.health.on_received(self._loop.now())
        self._report_state(silence)

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
        self._report_state(silence)
        self._watcher.lost(self)

    def _check_health(self) -> None:
        self._timer = None
        now = self._loop.now()
        check = self.health.check(now)
        if check.is_lost and self._stream is not None:
            self._lose("silent")
            return
        if check.sends_ping:
            self.send(Ping())
        self._schedule_check(check.again)
        self._report_state(self.health.silence_seconds(now))

    def _report_state(self, silence: float) -> None:
        """Reports a changed state; fails waiting requests if the holder is not usable."""
        state, now = self.health.state, self._loop.now()
        if state is not self._reported_state:
            lasted = now - self._reported_since
            self._reported_state, self._reported_since = state, now
            self._watcher.judged(self, silence, lasted)
        if state is not HolderState.USABLE:
            self._fail_waiting()

    def _schedule_check(self, delay: float | None) -> None:
        if delay is not None:
            self._clear_timer()
            self._timer = self._loop.call_later(delay, self._check_health)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
