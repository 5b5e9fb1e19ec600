"""A client's connection to a stand-in's admin address."""

from dewledge.adapters.http_exchange import ClosedBeforeSending, HttpAnswer, HttpExchange
from dewledge.errors import ProtocolError
from dewledge.standin.http_server import OK

CALL_TIMEOUT_SECONDS = 30.0


class AdminConnection:
    """Calls an admin address over one connection, opened anew when it was closed."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._exchange: HttpExchange | None = None

    def call(self, method: str, target: str, body: bytes = b"") -> HttpAnswer:
        """Makes one call.

        Raises OSError, ClosedBeforeSending, AnswerMissing, or ProtocolError unless it succeeded.
        """
        try:
            answer = self._send(method, target, body)
        except ClosedBeforeSending:
            answer = self._send(method, target, body)
        if answer.status != OK:
            raise ProtocolError(f"{target} answered {answer.status}")
        return answer

    def _send(self, method: str, target: str, body: bytes) -> HttpAnswer:
        if self._exchange is None or self._exchange.closed:
            self._exchange = HttpExchange(self._address, CALL_TIMEOUT_SECONDS)
        return self._exchange.request(method, target, body, CALL_TIMEOUT_SECONDS)

    def close(self) -> None:
        """Closes the connection."""
        if self._exchange is not None:
            self._exchange.close()
