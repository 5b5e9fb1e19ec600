"""HTTP requests, responses and JSON error bodies; `http_connection` receives and sends them."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec

from dewledge.errors import ErrorCode, Finding

JSON_TYPE = "application/json"
INTERNAL_SERVER_ERROR = 500

Headers = tuple[tuple[str, str], ...]


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits of the HTTP server and of each connection. Sizes in bytes, times in seconds.

    max_in_flight: pipelined requests of one connection that are handled at the same time;
        reading pauses beyond that.
    max_connections: open connections of the server; further ones are refused.
    receive_seconds: maximum time from the first byte of a request to its last.
    idle_seconds: how long a connection may stay open without a request.
    write_stall_seconds: how long sending may make no progress because the caller does not read.
    linger_seconds: how long a closing connection is still read, so that no TCP reset destroys the
        answer.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    max_in_flight: int = 32
    max_connections: int = 10_000
    receive_seconds: float = 10.0
    idle_seconds: float = 600.0
    write_stall_seconds: float = 30.0
    linger_seconds: float = 2.0


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request. `path` excludes the query; `authorization` is the header's value."""

    method: str
    path: str
    query: str = ""
    body: bytes = b""
    authorization: str | None = None
    keep_alive: bool = True


class HttpResponse(msgspec.Struct, frozen=True):
    """A response; `render` adds the Content-Length and Connection headers."""

    status: int
    body: bytes
    content_type: str = JSON_TYPE
    headers: Headers = ()


class FindingBody(msgspec.Struct, frozen=True):
    """The JSON form of a Finding, which describes an error in an input."""

    place: str
    code: ErrorCode
    message: str


class RefusalBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON body of an error response made by the HTTP layer instead of the core."""

    outcome: str
    code: ErrorCode
    message: str
    findings: tuple[FindingBody, ...] = ()


def finding_bodies(findings: tuple[Finding, ...]) -> tuple[FindingBody, ...]:
    """Returns the JSON forms of findings."""
    return tuple(FindingBody(item.place, item.code, item.message) for item in findings)


def refusal(
    status: int,
    code: ErrorCode,
    message: str,
    findings: tuple[Finding, ...] = (),
    headers: Headers = (),
) -> HttpResponse:
    """Returns an error response with outcome `not_run`, a code and any findings."""
    body = RefusalBody("not_run", code, message, finding_bodies(findings))
    return HttpResponse(status, msgspec.json.encode(body), JSON_TYPE, headers)


def internal_fault() -> HttpResponse:
    """Returns the response to an internal error; the statement may or may not have run."""
    body = RefusalBody("unknown", ErrorCode.INTERNAL, "a fault of the proxy")
    return HttpResponse(INTERNAL_SERVER_ERROR, msgspec.json.encode(body))


def json_response(status: int, body: msgspec.Struct, headers: Headers = ()) -> HttpResponse:
    """Returns a response with `body` encoded as JSON."""
    return HttpResponse(status, msgspec.json.encode(body), JSON_TYPE, headers)


class Exchange:
    """A request and its response, which the connection sends in the order of the requests.

    The handler calls `respond` on the loop's thread; calls after the first do nothing. `on_gone` is
    called if the connection closes before `respond` is called.
    """

    __slots__ = ("_on_response", "on_gone", "request", "response")

    def __init__(self, request: HttpRequest, on_response: Callable[[], None]) -> None:
        self.request = request
        self.response: HttpResponse | None = None
        self.on_gone: Callable[[], None] | None = None
        self._on_response = on_response

    def respond(self, response: HttpResponse) -> None:
        """Sets the response, which is sent after those of earlier requests of the connection."""
        if self.response is not None:
            return
        self.response = response
        self.on_gone = None
        self._on_response()


_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n" for status in HTTPStatus
}


def render(response: HttpResponse, close: bool, without_body: bool) -> bytes:
    """Returns the encoded response, without its body for HEAD requests."""
    head = (
        f"{_STATUS_LINES[response.status]}"
        f"Content-Type: {response.content_type}\r\n"
        f"Content-Length: {len(response.body)}\r\n"
    )
    for name, value in response.headers:
        head += f"{name}: {value}\r\n"
    if close:
        head += "Connection: close\r\n"
    head += "\r\n"
    return head.encode("latin-1") + (b"" if without_body else response.body)
