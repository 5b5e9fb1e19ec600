"""Calls to one HTTP server from several threads, over connections that are kept.

It needs only what a pooler loads anyway: a process that starts serves nobody until its imports are
done.
"""

import math
import threading
import time
from collections.abc import Mapping, Sequence

import msgspec

from dewledge.adapters.http_exchange import (
    AnswerMissing,
    ClosedBeforeSending,
    HttpAnswer,
    HttpExchange,
    SocketOption,
)

MOST_KEPT = 8
"""Idle connections kept: as many as the threads that call at once."""


class ServerUnreachable(Exception):
    """No connection could be made, so nothing of the call was sent."""


class KeptConnection(msgspec.Struct, frozen=True):
    """An idle connection and when its last answer was whole (monotonic clock, seconds)."""

    exchange: HttpExchange
    answered_at: float


class HttpCalls:
    """The kept connections to one address. Methods may be called from any thread.

    A call that gets no answer on a kept connection closes the others that had their last answer
    before it was sent: what silenced one has probably silenced all.
    """

    def __init__(
        self, address: str, connect_seconds: float, options: Sequence[SocketOption] = ()
    ) -> None:
        """`options`: set on each socket."""
        self._connect_seconds = connect_seconds
        self._options = options
        self._lock = threading.Lock()
        self._idle: list[KeptConnection] = []
        self._address = address

    def change_address(self, address: str) -> None:
        """Sends later calls to another "ip:port"; connections to the old one are closed."""
        with self._lock:
            left, self._idle = self._idle, []
            self._address = address
        for kept in left:
            kept.exchange.close()

    def call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout: float,
        headers: Mapping[str, str],
        longest: float | None = None,
        send_before: float = math.inf,
    ) -> HttpAnswer:
        """Sends one call and waits for its answer, `timeout` seconds after it is connected.

        longest: how long an answer that goes on coming is waited for; see HttpExchange.request.
        send_before: the monotonic time from which on nothing is sent.
        Raises ServerUnreachable if nothing was sent, AnswerMissing or ProtocolError if no whole
        answer came; the call may then have been carried out.
        """

        def send(exchange: HttpExchange) -> HttpAnswer:
            answer = exchange.request(method, target, body, timeout, send_before, headers, longest)
            self._keep(exchange)
            return answer

        while (kept := self._take_idle()) is not None:
            sent_at = time.monotonic()
            try:
                return send(kept.exchange)
            except ClosedBeforeSending:
                continue
            except AnswerMissing as error:
                self._close_unanswered_since(sent_at)
                raise AnswerMissing(f"{error} (kept connection)") from error
        try:
            connect_seconds = min(self._connect_seconds, timeout)
            return send(HttpExchange(self._address, connect_seconds, self._options))
        except (OSError, ClosedBeforeSending) as error:
            raise ServerUnreachable(f"{type(error).__name__}: {error}") from error

    def _take_idle(self) -> KeptConnection | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _close_unanswered_since(self, moment: float) -> None:
        with self._lock:
            unanswered = [kept for kept in self._idle if kept.answered_at < moment]
            self._idle = [kept for kept in self._idle if kept.answered_at >= moment]
        for kept in unanswered:
            kept.exchange.close()

    def _keep(self, exchange: HttpExchange) -> None:
        with self._lock:
            if not exchange.closed and len(self._idle) < MOST_KEPT:
                self._idle.append(KeptConnection(exchange, time.monotonic()))
                return
        exchange.close()


__all__ = ["AnswerMissing", "HttpCalls", "ServerUnreachable", "SocketOption"]
