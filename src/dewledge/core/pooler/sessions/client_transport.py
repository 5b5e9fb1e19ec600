"""The client's side of a session: a protocol that the shell meets."""

from typing import Protocol

from dewledge.core.pooler.statements.statements import Failure, Reply


class ClientTransport(Protocol):
    """One client's connection."""

    def send_ready(self) -> None:
        """Tells the client that its session stands."""

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        """Answers a statement."""

    def send_refusal(self, failure: Failure) -> None:
        """Refuses the session and closes the connection."""

    def close(self) -> None:
        """Closes the connection once everything sent has left."""
