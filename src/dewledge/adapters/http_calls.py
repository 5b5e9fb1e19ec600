"""Calls to one HTTP server from several threads, over connections that are kept.

It needs only what a pooler loads anyway: a process that starts serves nobody until its imports are
done.
"""

import math
import threading
from collections.abc import Mapping, Sequence

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


class HttpCalls:
    """The kept connections to one address. Methods may be called from any thread."""

    def __init__(
        self, address: str, connect_seconds: float, options: Sequence[SocketOption] = ()
    ) -> None:
        """`options`: set on each socket."""
        self._connect_seconds = connect_seconds
        self._options = options
        self._lock = threading.Lock()
        self._idle: list[HttpExchange] = []
        self._address = address

    def change_address(self, address: str) -> None:
        """Sends later calls to another "ip:port"; connections to the old one are closed."""
        with self._lock:
            left, self._idle = self._idle, []
            self._address = address
        for exchange in left:
            exchange.close()

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

        while (idle := self._take_idle()) is not None:
            try:
                return send(idle)
            except ClosedBeforeSending:
                continue
            except AnswerMissing as error:
                raise AnswerMissing(f"{error} (kept connection)") from error
        try:
            connect_seconds = min(self._connect_seconds, timeout)
            return send(HttpExchange(self._address, connect_seconds, self._options))
        except (OSError, ClosedBeforeSending) as error:
            raise ServerUnreachable(f"{type(error).__name__}: {error}") from error

    def _take_idle(self) -> HttpExchange | None:
        with self._lock:
            return self._idle.pop() if self._idle else None

    def _keep(self, exchange: HttpExchange) -> None:
        with self._lock:
            if not exchange.closed and len(self._idle) < MOST_KEPT:
                self._idle.append(exchange)
                return
        exchange.close()


__all__ = ["AnswerMissing", "HttpCalls", "ServerUnreachable", "SocketOption"]
