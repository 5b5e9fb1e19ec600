"""Interfaces of the codecs that translate messages of clients and databases to and from bytes.

Implemented in platform/ and called from shell/; the modules in core/ do not handle bytes.
"""

from collections.abc import Sequence
from typing import Protocol

from dewledge.core.pooler.statements.statements import ClientMessage, Failure, Reply, Statement
from dewledge.core.shared.positions import LogPosition


class ClientCodec(Protocol):
    """Codec of a client connection."""

    def feed(self, data: bytes) -> Sequence[ClientMessage]:
        """Adds received bytes; returns the messages that are now complete."""

    def ready(self) -> bytes:
        """Encodes the answer to an accepted startup."""

    def refusal(self, failure: Failure) -> bytes:
        """Encodes the answer to a refused startup."""

    def reply(self, statement_id: str, reply: Reply) -> bytes:
        """Encodes the answer to a statement."""


class DatabaseCodec(Protocol):
    """Codec of a database connection."""

    def startup(self, group: str, user: str, database_id: str) -> bytes:
        """Encodes the first message of a connection."""

    def statement(self, statement: Statement, floor: LogPosition | None) -> bytes:
        """Encodes a statement that the database runs only if its log has reached `floor`."""

    def feed(self, data: bytes) -> Sequence[Reply]:
        """Adds received bytes; returns the answers that are now complete. Raises ProtocolError."""
