"""Interface through which a session sends messages to its client; implemented in shell/pooler."""

from typing import Protocol

from dewledge.core.pooler.statements.statements import Failure, Reply


class ClientTransport(Protocol):
    """Connection to a client."""

    def send_ready(self) -> None:
        """Reports to the client that its session was accepted."""

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Sends the answer to a statement."""

    def send_refusal(self, failure: Failure) -> None:
        """Reports to the client that its session is refused, and closes the connection."""

    def close(self) -> None:
        """Closes the connection after all replies have been sent."""
