"""The outbound link to one peer: dialled when first needed, dialled again after it breaks.

Messages wait for the link within a bound. A statement request that no byte of has left when the
link fails is reported as unsent, so that the entry may truthfully call it not run.
"""

import errno
import socket
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from dewledge.core.proxy.messages import (
    PROTOCOL_VERSION,
    CancelRequest,
    GroupStatusAnswer,
    GroupStatusRequest,
    Hello,
    PeerMessage,
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)
from dewledge.shell.proxy.peer_link import LinkClosed, PeerLink
from dewledge.shell.shared.event_loop import WRITABLE, EventLoop, Timer
from dewledge.shell.shared.sockets import configure_link, family_of, parse_address

DIAL_SECONDS = 1.0
HEARTBEAT_AFTER_SECONDS = 0.3
OVERDUE_SECONDS = 0.6
"""Twice the time after which a sign of life is asked for. A link that brought nothing since carries
no new request: should it end, what was sent on it would be in doubt."""
DEAD_AFTER_SECONDS = 1.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_WAITING_MESSAGES = 4096

REPLIES = (StatementDone, StatementNotRun, StatementUnknown, GroupStatusAnswer)
"""Answers: they travel on the link that brought the request."""

REQUESTS = (StatementRequest, GroupStatusRequest, CancelRequest)
"""What is answered, or belongs to what is: it leaves on the link dialled here."""

STATUS_ANSWER_SECONDS = 2.0
"""For so long the answer to a GroupStatusRequest may be due."""


class OutboundLost(msgspec.Struct, frozen=True):
    """The link to a peer ended, or could not be made."""

    peer: str
    reason: str
    unsent_requests: tuple[int, ...]


class RequestsUnsent(msgspec.Struct, frozen=True):
    """Requests that never left, though no link ended: others to the peer are still under way."""

    peer: str
    reason: str
    requests: tuple[int, ...]


def statement_requests(messages: Iterable[PeerMessage]) -> tuple[int, ...]:
    """Returns the correlations of the statement requests among `messages`."""
    return tuple(item.correlation for item in messages if isinstance(item, StatementRequest))


class OutboundPeer:
    """Dials one peer and keeps what waits for the link."""

    def __init__(
        self,
        loop: EventLoop,
        hello: Hello,
        peer: str,
        address: str,
        random: Random,
        on_message: Callable[[str, PeerMessage], None],
        on_lost: Callable[[OutboundLost], None],
        on_unsent: Callable[[RequestsUnsent], None],
    ) -> None:
        self._loop = loop
        self._hello = hello
        self._random = random
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_unsent = on_unsent
        self._waiting: deque[PeerMessage] = deque()
        self._dialling: socket.socket | None = None
        self._link: PeerLink | None = None
        self._is_greeted = False
        self._dial_timer: Timer | None = None
        self._backoff = 0.0
        self._not_before = 0.0
        self._awaited = 0
        self._awaited_until = 0.0
        self._awaiting_since = 0.0
        self.peer = peer
        self.address = address

    @property
    def is_open(self) -> bool:
        """Whether messages leave at once."""
        return self._is_greeted

    @property
    def awaits_answers(self) -> bool:
        """Whether an answer is due on this link, so that its silence means something."""
        if self._awaited and self._loop.now() > self._awaited_until:
            self._awaited = 0
        return self._awaited > 0

    def send(self, message: PeerMessage) -> None:
        """Sends now or when the link is made."""
        if self._is_greeted and self._link is not None and not self._is_overdue(self._link):
            self._send_now(self._link, message)
            return
        if len(self._waiting) >= MAX_WAITING_MESSAGES:
            unsent = statement_requests((message,))
            refused = RequestsUnsent(self.peer, "too much waits for the link", unsent)
            self._loop.post(lambda: self._on_unsent(refused))
            return
        self._waiting.append(message)
        if self._link is None and self._dial_timer is None:
            delay = max(self._not_before - self._loop.now(), 0.0)
            self._dial_timer = self._loop.call_later(delay, self._dial)

    def check_silence(self) -> None:
        """Asks for a sign of life when an answer is overdue, and gives the link up without one."""
        if self._link is None:
            return
        self._send_waiting(self._link)
        if not self.awaits_answers:
            return
        silence = self._silence_of(self._link)
        if silence > DEAD_AFTER_SECONDS:
            self._link.close(f"silent for {silence:.1f} s")
        elif silence > HEARTBEAT_AFTER_SECONDS:
            self._link.send_heartbeat()

    def forgive_silence(self) -> None:
        """Starts the silence anew: this process itself was held up."""
        self._awaiting_since = self._loop.now()

    def close(self, reason: str) -> None:
        """Closes the link and reports what waited."""
        if self._link is not None:
            self._link.close(reason)
        else:
            self._fail(reason)

    def _silence_of(self, link: PeerLink) -> float:
        return self._loop.now() - max(link.last_received, self._awaiting_since)

    def _is_overdue(self, link: PeerLink) -> bool:
        return self.awaits_answers and self._silence_of(link) > OVERDUE_SECONDS

    def _send_waiting(self, link: PeerLink) -> None:
        """Sends what waited for a sign of life, once there was one."""
        if not self._waiting or not self._is_greeted or self._is_overdue(link):
            return
        waiting, self._waiting = self._waiting, deque()
        for message in waiting:
            self._send_now(link, message)

    def _send_now(self, link: PeerLink, message: PeerMessage) -> None:
        if isinstance(message, StatementRequest):
            self._await_answer(message.remaining)
            link.send(message, message.correlation)
            return
        if isinstance(message, GroupStatusRequest):
            self._await_answer(STATUS_ANSWER_SECONDS)
        link.send(message)

    def _await_answer(self, seconds: float) -> None:
        now = self._loop.now()
        if not self.awaits_answers:
            self._awaiting_since = now
        self._awaited += 1
        self._awaited_until = max(self._awaited_until, now + seconds)

    def _dial(self) -> None:
        if self._link is not None or self._dialling is not None:
            return
        host, port = parse_address(self.address)
        sock = socket.socket(family_of(host), socket.SOCK_STREAM)
        sock.setblocking(False)
        configure_link(sock)
        self._dialling = sock
        self._dial_timer = self._loop.call_later(DIAL_SECONDS, self._dial_timed_out)
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            self._loop.post(lambda: self._fail(f"connect failed: {errno.errorcode.get(code)}"))
            return
        self._loop.watch(sock, WRITABLE, self._connected)

    def _connected(self, _events: int) -> None:
        sock = self._dialling
        assert sock is not None
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(f"connect failed: {errno.errorcode.get(code)}")
            return
        self._loop.unwatch(sock)
        self._dialling = None
        self._link = PeerLink(self._loop, sock, False, self._take_message, self._link_closed)
        self._link.send(self._hello)

    def _take_message(self, link: PeerLink, message: PeerMessage) -> None:
        if self._is_greeted:
            if isinstance(message, REPLIES) and self._awaited:
                self._awaited -= 1
            self._send_waiting(link)
            self._on_message(self.peer, message)
        elif not isinstance(message, Hello) or message.version != PROTOCOL_VERSION:
            link.close("no greeting of this protocol's version")
        elif message.proxy != self.peer:
            link.close(f"the address belongs to {message.proxy}")
        else:
            self._greeted(link)

    def _greeted(self, link: PeerLink) -> None:
        self._is_greeted = True
        self._backoff = 0.0
        self._cancel_dial_timer()
        self._send_waiting(link)

    def _dial_timed_out(self) -> None:
        if not self._is_greeted:
            self.close("no connection in time")

    def _link_closed(self, _link: PeerLink, closed: LinkClosed) -> None:
        self._link = None
        self._is_greeted = False
        self._awaited = 0
        self._fail(closed.reason, closed.unsent_requests)

    def _fail(self, reason: str, unsent: tuple[int, ...] = ()) -> None:
        if self._dialling is not None:
            self._loop.unwatch(self._dialling)
            self._dialling.close()
            self._dialling = None
        self._cancel_dial_timer()
        self._grow_backoff()
        waiting, self._waiting = tuple(self._waiting), deque()
        unsent += statement_requests(waiting)
        self._on_lost(OutboundLost(self.peer, reason, unsent))

    def _grow_backoff(self) -> None:
        doubled = max(2 * self._backoff, FIRST_BACKOFF_SECONDS)
        self._backoff = min(doubled, MAX_BACKOFF_SECONDS)
        self._not_before = self._loop.now() + self._backoff * self._random.uniform(0.5, 1.0)

    def _cancel_dial_timer(self) -> None:
        if self._dial_timer is not None:
            self._dial_timer.cancel()
            self._dial_timer = None
