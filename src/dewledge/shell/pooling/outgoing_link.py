"""A link that this process dials, and how it is judged: open, silent, leaving, lost."""

import socket
from collections.abc import Callable

from loguru import logger

from dewledge.core.sharing.messages import Leaving, LinkOpened, PeerLinkMessage, Ping
from dewledge.shell.event_loop import EventLoop, Timer
from dewledge.shell.pooling.byte_stream import Connecting
from dewledge.shell.pooling.framed_stream import FramedStream

CONNECT_LIMIT_SECONDS = 0.4
CHECK_SECONDS = 0.1
HELD_UP_SECONDS = 0.4
"""A check that comes so late shows that this process itself stood still."""
PING_AFTER_SECONDS = 0.25
SILENT_AFTER_SECONDS = 0.5
"""Nothing new begins on a link that has been silent for so long while an answer is due."""
LOST_AFTER_SECONDS = 1.2
BACKOFF_SECONDS = 0.5
LONGEST_BACKOFF_SECONDS = 4.0


class OutgoingLink:
    """One link to the process at an address; dialled when needed, dialled again after its end."""

    def __init__(
        self,
        loop: EventLoop,
        own_name: str,
        address: str,
        received: Callable[["OutgoingLink", PeerLinkMessage], None],
        lost: Callable[["OutgoingLink"], None],
        retiring: Callable[["OutgoingLink"], None],
    ) -> None:
        """`retiring`: called when what stands on the link should not be used for anything new."""
        self.address = address
        self._is_leaving = False
        self._is_silent = False
        self._loop = loop
        self._own_name = own_name
        self._on_received = received
        self._on_lost = lost
        self._on_retiring = retiring
        self._stream: FramedStream | None = None
        self._connecting: Connecting | None = None
        self._waiting: list[tuple[Callable[[], None], Callable[[], None]]] = []
        self._not_before = 0.0
        self._failures = 0
        self._due = 0
        self._due_since = 0.0
        self._last_check = 0.0
        self._timer: Timer | None = None

    @property
    def is_open(self) -> bool:
        """Whether messages leave at once."""
        return self._stream is not None

    @property
    def is_usable(self) -> bool:
        """Whether something new may begin here now."""
        stands = not self._is_leaving and not self._is_silent
        return stands and self._loop.now() >= self._not_before

    def when_open(self, opened: Callable[[], None], failed: Callable[[], None]) -> None:
        """Calls one of both later, dialling if there is need."""
        if self._stream is not None:
            self._loop.call_later(0.0, opened if self.is_usable else failed)
            return
        self._waiting.append((opened, failed))
        if self._connecting is None:
            self._connecting = Connecting(
                self._loop, self.address, CONNECT_LIMIT_SECONDS, self._connected, self._refused
            )

    def send(self, message: PeerLinkMessage) -> None:
        """Sends a message; one for a link that is lost is dropped."""
        if self._stream is not None:
            self._stream.send(message)

    def expect_answer(self) -> None:
        """An answer is due: from now on silence means something."""
        if self._due == 0:
            self._due_since = self._loop.now()
        self._due += 1
        if self._timer is None:
            self._last_check = self._loop.now()
            self._timer = self._loop.call_later(CHECK_SECONDS, self._check)

    def answer_came(self, count: int = 1) -> None:
        """So many answers have come, or are not awaited any more."""
        self._due = max(self._due - count, 0)

    def close(self) -> None:
        """Ends the link without a call of `lost`."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _connected(self, sock: socket.socket) -> None:
        self._connecting = None
        self._failures = 0
        self._is_leaving = False
        self._is_silent = False
        self._due = 0
        self._stream = FramedStream(self._loop, sock, self._received, self._ended)
        self._stream.send(LinkOpened(self._own_name))
        waiting, self._waiting = self._waiting, []
        for opened, _ in waiting:
            opened()

    def _refused(self) -> None:
        self._connecting = None
        self._back_off()
        waiting, self._waiting = self._waiting, []
        for _, failed in waiting:
            failed()

    def _received(self, message: PeerLinkMessage) -> None:
        if isinstance(message, Leaving):
            logger.bind(peer=self.address).info("peer_leaving")
            self._is_leaving = True
            self._on_retiring(self)
            return
        self._is_silent = False
        self._on_received(self, message)

    def _ended(self) -> None:
        self._lose("closed")

    def _lose(self, reason: str) -> None:
        logger.bind(peer=self.address, reason=reason, due=self._due).info("link_lost")
        self.close()
        self._due = 0
        self._back_off()
        self._on_lost(self)

    def _back_off(self) -> None:
        self._failures += 1
        wait = min(BACKOFF_SECONDS * self._failures, LONGEST_BACKOFF_SECONDS)
        self._not_before = self._loop.now() + wait

    def _check(self) -> None:
        self._timer = None
        stream = self._stream
        if stream is None or self._due == 0:
            return
        now = self._loop.now()
        if now - self._last_check > HELD_UP_SECONDS:
            self._due_since = now
        self._last_check = now
        silence = now - max(stream.last_received, self._due_since)
        if silence > LOST_AFTER_SECONDS:
            self._lose("silent")
            return
        if silence > PING_AFTER_SECONDS:
            stream.send(Ping())
        if silence > SILENT_AFTER_SECONDS and not self._is_silent:
            self._is_silent = True
            self._on_retiring(self)
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check)
