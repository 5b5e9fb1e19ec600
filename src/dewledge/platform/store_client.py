"""Blocking HTTP clients for the platform's store and its promotion endpoint.

Methods may be called from any thread; `HttpCalls` pools the connections. HTTP statuses are
converted to StoreError and its subclasses. Failed calls are not retried here.
"""

import base64
import json
import math
import socket
import struct
from collections.abc import Callable, Mapping
from urllib.parse import urlencode

import msgspec
from loguru import logger

from dewledge.adapters.http_calls import (
    AnswerMissing,
    HttpCalls,
    ServerUnreachable,
    SocketOption,
)
from dewledge.core.pooler.coordination_store import (
    CALL_TIMEOUT_SECONDS,
    FeedAnswer,
    HistoryLost,
    StoreRow,
    StoreWrite,
    TableRows,
)
from dewledge.core.pooler.store_versions import combine, era_of, number_of
from dewledge.core.shared.decoding import decode_json
from dewledge.errors import (
    ProtocolError,
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)

CONNECT_TIMEOUT_SECONDS = 0.7
"""Seconds for the store to accept a connection."""
RETRY_AFTER_SECONDS = 0.5
"""Seconds to wait after status 429, whose response has no retry time."""
MAX_ANSWER_SECONDS = 6.0
"""Seconds from the start of a read to the end of its response, if data keeps arriving. This may
exceed the call's timeout, so that a slow link can transfer a large configuration."""
PAGE_ROWS = 500
"""Rows of a table requested per call."""
ACCEPTED_STATUS = 200
FENCED_STATUS = 409
MAX_MISSED_ERAS = 8
"""Restores of the store, without a write by any process between them, after which a write of the
era before them still fails."""
ERA_HEADER = "store-era"
"""Rises by one each time the store comes back from an older copy."""
_JSON_HEADERS = {"Content-Type": "application/json"}
_KEEPALIVE_OPTIONS: list[SocketOption] = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
]


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Row(msgspec.Struct, rename="camel"):
    table: str = ""
    part: str = ""
    tls_key: str = ""
    value: str = ""
    ver: int = 0
    gone: bool = False


class _Answer(msgspec.Struct, rename="camel"):
    ver: int = 0
    now_ms: float = msgspec.field(default=0, name="now_ms")
    rows: list[_Row] = []
    has_more: bool = False


class _EraAnswer(msgspec.Struct, frozen=True):
    """The body of an answer, and the era from its header."""

    body: _Answer
    era: int


class PlatformStore:
    """Client of the store at one address, with the operations of `CoordinationStore`."""

    def __init__(
        self,
        address: str,
        sanitizers: Mapping[str, Callable[[bytes], bytes]] | None = None,
    ) -> None:
        """`sanitizers`: by table, a function that removes secrets from each value read."""
        self._newest_era = 0
        self._marked_era = 0
        self._calls = HttpCalls(address, CONNECT_TIMEOUT_SECONDS, _KEEPALIVE_OPTIONS)
        self._sanitizers = sanitizers or {}

    def change_address(self, address: str) -> None:
        """Sends subsequent calls to another address ("ip:port")."""
        self._calls.change_address(address)

    def read_table(self, table: str, limit: float = CALL_TIMEOUT_SECONDS) -> TableRows:
        """Returns all rows of a table that have an empty `part` field, read page by page.

        limit: timeout in seconds of each page's call. Each page is of another moment, so the result
        has the version of the first one: a watch from there returns what changed between the pages.
        """
        page = first = self._read_page(table, "", limit)
        rows = self._store_rows(table, page)
        while page.body.has_more and page.body.rows:
            page = self._read_page(table, page.body.rows[-1].tls_key + "\0", limit)
            if page.era != first.era:
                raise HistoryLost("the store was restored between two pages")
            rows += self._store_rows(table, page)
        return TableRows(tuple(rows), _version(first), first.body.now_ms / 1000)

    def _read_page(self, table: str, start: str, limit: float) -> _EraAnswer:
        query = {"table": table, "part": "", "startRev": start, "limit": str(PAGE_ROWS)}
        return self._get("/dewledge/rows-get", query, limit)

    def read_row(self, table: str, key: str) -> StoreRow | None:
        """Returns the row with this key and an empty `part` field, None if it does not exist."""
        end_key = key + "\0"
        query = {
            "table": table,
            "part": "",
            "startRev": key,
            "targetVersion": end_key,
            "limit": "1",
        }
        answer = self._get("/dewledge/rows-get", query, CALL_TIMEOUT_SECONDS)
        rows = [row for row in self._store_rows(table, answer) if row.key == key]
        return rows[0] if rows else None

    def watch_table(self, table: str, after: int, wait: float) -> FeedAnswer:
        """Returns the rows that changed after a version, waiting up to `wait` seconds for one."""
        number = str(number_of(after))
        query = {"table": table, "after": number, "waitMs": str(int(wait * 1000))}
        answer = self._get("/dewledge/rows-feed", query, wait + CALL_TIMEOUT_SECONDS)
        if answer.era != era_of(after):
            raise HistoryLost("the store was restored after this version")
        return FeedAnswer(tuple(self._store_rows(table, answer)), _version(answer))

    def write(self, write: StoreWrite) -> int:
        """Writes one row if it still has the expected version; returns the new version.

        Raises StoreConditionFailed if the row has another version, also one with the same number
        in a later era: a row tells of each era in which one was written.
        """
        era = era_of(write.expected) if write.expected else self._newest_era
        if era < self._newest_era:
            raise StoreConditionFailed("the store was restored after the expected version")
        body = {
            "expectedRev": [
                {**_address(write.table, write.key), "ver": number_of(write.expected)},
                {**_address(write.table, _era_key(era + 1)), "ver": 0},
            ],
            "put": [_put(write.table, write.key, write.value), *self._era_rows(write.table, era)],
            "remove": [],
        }
        answer = self._request("POST", "/dewledge/rows-tx", {}, CALL_TIMEOUT_SECONDS, body)
        if answer.era != era:
            raise StoreOutcomeUnknown("the store was restored before this write")
        self._marked_era = max(self._marked_era, era)
        return _version(answer)

    def _era_rows(self, table: str, era: int) -> list[dict[str, str]]:
        """Returns the rows that make writes of former eras fail, if not yet written here."""
        if era <= self._marked_era:
            return []
        first = max(1, era - MAX_MISSED_ERAS + 1)
        return [_put(table, _era_key(each), b"") for each in range(first, era + 1)]

    def _store_rows(self, table: str, answer: _EraAnswer) -> list[StoreRow]:
        return [self._store_row(table, row, answer.era) for row in answer.body.rows]

    def _store_row(self, table: str, row: _Row, era: int) -> StoreRow:
        value = _decode_value(row)
        sanitize = self._sanitizers.get(table)
        if sanitize is not None and not row.gone:
            value = sanitize(value)
        return StoreRow(row.tls_key, value, combine(era, row.ver), row.gone)

    def _get(self, path: str, query: dict[str, str], timeout: float) -> _EraAnswer:
        return self._request("GET", path, query, timeout, None)

    def _request(
        self, method: str, path: str, query: dict[str, str], timeout: float, body: object | None
    ) -> _EraAnswer:
        target = f"{path}?{urlencode(query)}" if query else path
        content = b"" if body is None else json.dumps(body).encode()
        try:
            max_seconds = MAX_ANSWER_SECONDS if method == "GET" else None
            answer = self._calls.call(method, target, content, timeout, _JSON_HEADERS, max_seconds)
        except ServerUnreachable as error:
            raise StoreError(f"cannot reach the store: {error}") from error
        except (AnswerMissing, ProtocolError) as error:
            raise StoreOutcomeUnknown(f"no answer: {error}") from error
        try:
            era = int(answer.headers.get(ERA_HEADER, "0"))
            self._newest_era = max(self._newest_era, era)
            _raise_for_status(answer.status)
            return _EraAnswer(decode_json(answer.body, _Answer), era)
        except (ProtocolError, ValueError) as error:
            raise StoreOutcomeUnknown(f"unreadable answer: {error}") from error


def _decode_value(row: _Row) -> bytes:
    """Returns the value of a row, empty if it cannot be decoded: the other rows of a page hold."""
    try:
        return base64.b64decode(row.value or "")
    except ValueError as error:
        logger.bind(key=row.tls_key, error=str(error)).error("row_value_refused")
        return b""


def _version(answer: _EraAnswer) -> int:
    return combine(answer.era, answer.body.ver)


def _address(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "tlsKey": key}


def _put(table: str, key: str, value: bytes) -> dict[str, str]:
    return {**_address(table, key), "value": base64.b64encode(value).decode()}


def _era_key(era: int) -> str:
    return f"era/{era}"


class PlatformPromotions:
    """Client of the promotion endpoint; each call carries the lease holder and its fencing token.

    Closing a connection resets it (SO_LINGER with zero timeout), so a call that timed out is not
    delivered later from the socket's send buffer.
    """

    def __init__(self, address: str) -> None:
        options = [*_KEEPALIVE_OPTIONS, (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)]
        self._calls = HttpCalls(address, CONNECT_TIMEOUT_SECONDS, options)

    def change_address(self, address: str) -> None:
        """Sends subsequent calls to another address ("ip:port")."""
        self._calls.change_address(address)

    def promote(
        self,
        group: str,
        database_id: str,
        holder: str,
        fencing_token: int,
        not_after: float = math.inf,
    ) -> bool:
        """Requests a promotion, unless it could be sent only after `not_after` (steady clock).

        Raises StoreError. Returns False if the token is outdated or the database is not running.
        """
        headers = {
            **_JSON_HEADERS,
            "Dewledge-Lease-Holder": holder,
            "Dewledge-Fencing-Token": str(fencing_token),
        }
        body = json.dumps({"service": group, "id": database_id}).encode()
        try:
            answer = self._calls.call(
                "POST", "/promote", body, CALL_TIMEOUT_SECONDS, headers, send_before=not_after
            )
        except (ServerUnreachable, AnswerMissing, ProtocolError) as error:
            raise StoreOutcomeUnknown(f"no answer: {error}") from error
        if answer.status not in (ACCEPTED_STATUS, FENCED_STATUS):
            raise StoreError(f"the platform answered {answer.status}")
        return answer.status == ACCEPTED_STATUS


def _raise_for_status(status: int) -> None:
    if status == 200:
        return
    if status == 410:
        raise HistoryLost("the store has dropped its history")
    if status == 412:
        raise StoreConditionFailed("the row has changed")
    if status == 429:
        raise StoreRateLimited("too many calls", RETRY_AFTER_SECONDS)
    raise StoreError(f"the store answered {status}")
