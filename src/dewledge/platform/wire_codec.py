"""Codec of the line protocol: one message per line, fields separated by single spaces.

Incomplete lines are buffered until their end arrives. The keywords are in `wire_words`.
"""

from collections.abc import Sequence

from dewledge.core.pooler.statements.statements import (
    ClientMessage,
    Failure,
    MalformedInput,
    Reply,
    Startup,
    Statement,
    Terminate,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode, ProtocolError
from dewledge.platform.statement_texts import format_text, parse_text
from dewledge.platform.wire_words import (
    CODE_WORDS,
    CODES,
    EMPTY_FIELD,
    LINE_END,
    MAX_LINE_BYTES,
    STATE_LETTERS,
    STATES_BY_LETTER,
)

ENCODING = "latin-1"
MAX_DIGITS = 18
"""Digits of the largest number in a field; it fits in 64 bits."""


class LineBuffer:
    """Splits a stream into lines; `overflow` is set once a line exceeds MAX_LINE_BYTES."""

    def __init__(self) -> None:
        self._data = bytearray()
        self.overflow = False

    def feed(self, data: bytes) -> list[str]:
        """Adds received bytes; returns the lines completed by them, without line ends."""
        self._data += data
        *lines, incomplete = bytes(self._data).split(LINE_END)
        self._data = bytearray(incomplete)
        if len(incomplete) > MAX_LINE_BYTES or any(len(line) > MAX_LINE_BYTES for line in lines):
            self.overflow = True
        return [line.decode(ENCODING) for line in lines]


class WireClientCodec:
    """Decodes a client's messages and encodes the responses to it."""

    def __init__(self) -> None:
        self._lines = LineBuffer()

    def feed(self, data: bytes) -> Sequence[ClientMessage]:
        """Returns the messages completed by `data`; an invalid message becomes MalformedInput."""
        messages: list[ClientMessage] = [
            _parse_client_line(line) for line in self._lines.feed(data)
        ]
        if self._lines.overflow:
            messages.append(MalformedInput(EMPTY_FIELD, "a message is too long", fatal=True))
        return messages

    def ready(self) -> bytes:
        """Returns the response to an accepted startup."""
        return _line("READY", STATE_LETTERS[STATES_BY_LETTER["I"]], EMPTY_FIELD)

    def refusal(self, failure: Failure) -> bytes:
        """Returns the response to a refused startup."""
        return _error_line(failure)

    def reply(self, statement_id: str, reply: Reply) -> bytes:
        """Returns the response to a statement: its rows, then completion or error, then READY."""
        parts = [_line("DATAROW", row) for row in reply.rows]
        if reply.failure is not None:
            parts.append(_error_line(reply.failure))
        else:
            parts.append(_line("COMPLETE", reply.signature))
        parts.append(_line("READY", STATE_LETTERS[reply.state], EMPTY_FIELD))
        return b"".join(parts)


class WireDatabaseCodec:
    """Encodes the messages sent on a database connection and decodes the replies."""

    def __init__(self) -> None:
        self._lines = LineBuffer()
        self._rows: list[str] = []
        self._signature = EMPTY_FIELD
        self._failure: Failure | None = None

    def startup(self, group: str, user: str, database_id: str) -> bytes:
        """Returns the startup message, the first one sent on a connection."""
        return _line("STARTUP", group, user, database_id)

    def statement(self, statement: Statement, floor: LogPosition | None) -> bytes:
        """Returns a QUERY message.

        floor: minimum log position that the database must have applied first; None for any.
        """
        text = format_text(statement)
        if floor is not None:
            text = f"AFTER {floor.term}.{floor.offset} {text}"
        return _line("QUERY", statement.id, text)

    def feed(self, data: bytes) -> Sequence[Reply]:
        """Returns the replies completed by `data`. Raises ProtocolError."""
        replies = []
        for line in self._lines.feed(data):
            reply = self._handle_line(line)
            if reply is not None:
                replies.append(reply)
        if self._lines.overflow:
            raise ProtocolError("a message from the database exceeds the maximum length")
        return replies

    def _handle_line(self, line: str) -> Reply | None:
        keyword, _, arguments = line.partition(" ")
        if keyword == "DATAROW":
            self._rows.append(arguments)
        elif keyword == "COMPLETE":
            self._signature = arguments
        elif keyword == "ERROR":
            code, _, message = arguments.partition(" ")
            self._failure = Failure(CODES.get(code, ErrorCode.STATEMENT_FAILED), message)
        elif keyword == "READY":
            return self._complete_reply(arguments)
        else:
            raise ProtocolError(f"unknown message {keyword[:20]!r} from a database")
        return None

    def _complete_reply(self, arguments: str) -> Reply:
        letter, _, position = arguments.partition(" ")
        state = STATES_BY_LETTER.get(letter)
        if state is None:
            raise ProtocolError(f"unknown transaction state {letter[:20]!r} from a database")
        reply = Reply(
            state, tuple(self._rows), self._signature, self._failure, parse_position(position)
        )
        self._rows, self._signature, self._failure = [], EMPTY_FIELD, None
        return reply


def parse_position(text: str) -> LogPosition | None:
    """Parses a log position "TERM.OFFSET"; returns None for "-". Raises ProtocolError."""
    if text == EMPTY_FIELD:
        return None
    term, _, offset = text.partition(".")
    if not (is_number(term) and is_number(offset)):
        raise ProtocolError(f"{text[:40]!r} is not a log position")
    return LogPosition(int(term), int(offset))


def is_number(text: str) -> bool:
    """Tells whether a field is a decimal number of at most MAX_DIGITS digits."""
    return text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS


def _parse_client_line(line: str) -> ClientMessage:
    keyword, _, arguments = line.partition(" ")
    if keyword == "QUERY":
        statement_id, _, text = arguments.partition(" ")
        return parse_text(statement_id, text)
    if keyword == "STARTUP":
        database, _, user = arguments.partition(" ")
        return Startup(database, user)
    if keyword == "TERMINATE":
        return Terminate()
    return MalformedInput(EMPTY_FIELD, "unknown word", fatal=True)


def _error_line(failure: Failure) -> bytes:
    code = CODE_WORDS.get(failure.code, CODE_WORDS[ErrorCode.STATEMENT_FAILED])
    return _line("ERROR", code, failure.message or EMPTY_FIELD)


def _line(*fields: str) -> bytes:
    return " ".join(fields).encode(ENCODING) + LINE_END
