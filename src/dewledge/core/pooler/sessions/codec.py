"""How sessions and databases are spoken to: the codec that an adapter brings.

Protocols only; platform/ meets them, the shell calls them, the core knows no bytes.
"""

from collections.abc import Sequence
from typing import Protocol

from dewledge.core.pooler.statements.statements import ClientMessage, Failure, Reply, Statement
from dewledge.core.shared.positions import LogPosition


class ClientCodec(Protocol):
    """One client's stream of bytes."""

    def feed(self, data: bytes) -> Sequence[ClientMessage]:
        """Returns the messages that are whole now."""

    def ready(self) -> bytes:
        """Returns the answer to an accepted startup."""

    def refusal(self, failure: Failure) -> bytes:
        """Returns the answer to a refused startup."""

    def reply(self, statement_id: str, reply: Reply) -> bytes:
        """Returns the answer to a statement."""


class DatabaseCodec(Protocol):
    """One database connection's stream of bytes."""

    def startup(self, group: str, user: str, database_id: str) -> bytes:
        """Returns the first message of a connection."""

    def statement(self, statement: Statement, floor: LogPosition | None) -> bytes:
        """Returns a statement that runs only where the log holds `floor`."""

    def feed(self, data: bytes) -> Sequence[Reply]:
        """Returns the answers that are whole now. Raises ProtocolError."""
