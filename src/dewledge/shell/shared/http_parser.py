"""Parses the byte stream of one connection into HTTP requests and enforces size limits.

httptools does the parsing. Complete requests are queued in `requests`. A malformed or oversized
request sets `fault` and ends parsing, since the start of the next request is unknown.
"""

from collections import deque

import httptools

from dewledge.errors import ErrorCode
from dewledge.shell.shared.http_messages import HttpLimits, HttpRequest, HttpResponse, refusal

BAD_REQUEST = 400
PAYLOAD_TOO_LARGE = 413
HEADER_TOO_LARGE = 431

HEADER_LINE_OVERHEAD_BYTES = 4
"""Bytes of a header line besides name and value: colon, space, carriage return, line feed."""


class _StopParsing(Exception):
    """Raised in a callback to abort the call of httptools."""


class RequestParser:
    """Parses the requests of one connection.

    requests: complete requests that the connection has not yet removed, in order of arrival.
    fault: the error response to send before the connection closes, None without an error.
    receiving: whether a request is partially received.
    wants_continue: whether the caller waits for "100 Continue" before it sends the body.
    """

    __slots__ = (
        "_authorization",
        "_body",
        "_header_bytes",
        "_headers_done",
        "_limits",
        "_parser",
        "_target",
        "_unfinished_bytes",
        "fault",
        "receiving",
        "requests",
        "wants_continue",
    )

    def __init__(self, limits: HttpLimits) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._unfinished_bytes = 0
        self.requests: deque[HttpRequest] = deque()
        self.fault: HttpResponse | None = None
        self._start()
        self.receiving = False

    def feed(self, data: bytes) -> None:
        """Parses the next bytes of the connection; ignores them after a fault."""
        if self.fault is not None:
            return
        was_receiving = self.receiving
        completed_before = len(self.requests)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._set_fault(BAD_REQUEST, ErrorCode.MALFORMED_REQUEST, f"not HTTP/1.1: {error}")
        same_message = was_receiving and len(self.requests) == completed_before
        self._limit_unfinished_header(len(data) if same_message else 0)

    def _limit_unfinished_header(self, size: int) -> None:
        # httptools buffers an incomplete header line, so the callbacks do not count its bytes.
        if not self.receiving or self._headers_done:
            self._unfinished_bytes = 0
            return
        self._unfinished_bytes += size
        if self._unfinished_bytes > self._limits.max_header_bytes:
            self._header_too_large()

    def continue_sent(self) -> None:
        """Records that "100 Continue" was sent, so that it is not sent again."""
        self.wants_continue = False

    def _start(self) -> None:
        self.receiving = True
        self.wants_continue = False
        self._headers_done = False
        self._header_bytes = 0
        self._target = b""
        self._authorization: str | None = None
        self._body: list[bytes] = []

    def _set_fault(self, status: int, code: ErrorCode, message: str) -> None:
        if self.fault is None:
            self.fault = refusal(status, code, message)

    def _header_too_large(self) -> None:
        limit = self._limits.max_header_bytes
        self._set_fault(HEADER_TOO_LARGE, ErrorCode.TOO_LARGE, f"the header is over {limit} bytes")

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.max_header_bytes:
            self._header_too_large()
            raise _StopParsing

    def _refuse_body(self) -> None:
        limit = self._limits.max_body_bytes
        self._set_fault(PAYLOAD_TOO_LARGE, ErrorCode.TOO_LARGE, f"the body is over {limit} bytes")
        raise _StopParsing

    # The callbacks of httptools.

    def on_message_begin(self) -> None:
        """Resets the state of the parser for the next request."""
        self._start()

    def on_url(self, data: bytes) -> None:
        """Adds a part of the request target."""
        self._target += data
        self._count_header(len(data))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Processes a complete header line, or a trailer line after a chunked body."""
        self._count_header(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES)
        lowered = name.lower()
        if lowered == b"authorization":
            if self._authorization is not None:
                message = "there is more than one Authorization header"
                self._set_fault(BAD_REQUEST, ErrorCode.MALFORMED_REQUEST, message)
                raise _StopParsing
            self._authorization = value.decode("latin-1")
        elif lowered == b"content-length":
            if value.isdigit() and int(value[:20]) > self._limits.max_body_bytes:
                self._refuse_body()
        elif lowered == b"expect":
            self.wants_continue = value.lower() == b"100-continue"

    def on_headers_complete(self) -> None:
        """Marks the header section as complete."""
        self._headers_done = True

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.wants_continue = False
        self._body.append(data)
        if sum(map(len, self._body)) > self._limits.max_body_bytes:
            self._refuse_body()

    def on_message_complete(self) -> None:
        """Queues the completed request."""
        if self._parser.should_upgrade():
            self._set_fault(BAD_REQUEST, ErrorCode.MALFORMED_REQUEST, "no upgrade is offered")
            raise _StopParsing
        path, _, query = self._target.decode("latin-1").partition("?")
        request = HttpRequest(
            method=self._parser.get_method().decode("latin-1"),
            path=path,
            query=query,
            body=b"".join(self._body),
            authorization=self._authorization,
            keep_alive=self._parser.should_keep_alive(),
        )
        self.requests.append(request)
        self._body = []
        self.wants_continue = False
        self.receiving = False
