"""Calls to the platform's store and to the calls that are the duty of one node. They block.

One instance is used by one thread at a time per connection; urllib3 keeps the connections.
"""

import base64
import json
import socket
import struct

import msgspec
import urllib3

from dewledge.core.coordination_store import (
    CALL_LIMIT_SECONDS,
    FeedAnswer,
    HistoryLost,
    StoreRow,
    StoreWrite,
    TableRows,
)
from dewledge.errors import (
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)

CONNECT_SECONDS = 0.7
RETRY_AFTER_SECONDS = 0.5
PAGE_ROWS = 500
ACCEPTED = 200
FENCED = 409
_KEEPALIVE = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
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


class PlatformStore:
    """The store at one address."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._http = urllib3.PoolManager(maxsize=8, retries=False, socket_options=_KEEPALIVE)

    def change_address(self, address: str) -> None:
        """Sends later calls to another "ip:port"."""
        self._base = f"http://{address}"

    def read_table(self, table: str, limit: float = CALL_LIMIT_SECONDS) -> TableRows:
        """Returns all rows of a table's empty part."""
        rows: list[StoreRow] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "startRev": start, "limit": str(PAGE_ROWS)}
            answer = self._get("/dewledge/rows-get", query, limit)
            rows += [_store_row(row) for row in answer.rows]
            if not answer.has_more or not answer.rows:
                return TableRows(tuple(rows), answer.ver, answer.now_ms / 1000)
            start = answer.rows[-1].tls_key + "\0"

    def watch_table(self, table: str, after: int, wait: float) -> FeedAnswer:
        """Returns the rows of a table that changed after a version, waiting `wait` seconds."""
        query = {"table": table, "after": str(after), "waitMs": str(int(wait * 1000))}
        answer = self._get("/dewledge/rows-feed", query, wait + CALL_LIMIT_SECONDS)
        return FeedAnswer(tuple(_store_row(row) for row in answer.rows), answer.ver)

    def write(self, write: StoreWrite) -> int:
        """Puts one row if it still has the expected version; returns the new version."""
        address = {"table": write.table, "part": "", "tlsKey": write.key}
        value = base64.b64encode(write.value).decode()
        body = {
            "expectedRev": [{**address, "ver": write.expected}],
            "put": [{**address, "value": value}],
            "remove": [],
        }
        return self._request("POST", "/dewledge/rows-tx", {}, CALL_LIMIT_SECONDS, body).ver

    def _get(self, path: str, query: dict[str, str], timeout: float) -> _Answer:
        return self._request("GET", path, query, timeout, None)

    def _request(
        self, method: str, path: str, query: dict[str, str], timeout: float, body: object | None
    ) -> _Answer:
        limits = urllib3.Timeout(connect=min(CONNECT_SECONDS, timeout), read=timeout)
        try:
            response = self._http.request(
                method,
                self._base + path,
                fields=query or None,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=limits,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise StoreError(f"cannot reach the store: {e.__class__.__name__}") from e
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknown(f"no answer: {error.__class__.__name__}") from error
        _raise_for_status(response.status)
        try:
            return msgspec.json.decode(response.data, type=_Answer)
        except msgspec.DecodeError as error:
            raise StoreOutcomeUnknown(f"unreadable answer: {error}") from error


class PlatformDuties:
    """Calls that the platform takes from one node at a time.

    A connection given up on is reset: what a broken network still holds of a call is never
    delivered later.
    """

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        options = [*_KEEPALIVE, (socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)]
        self._http = urllib3.PoolManager(maxsize=2, retries=False, socket_options=options)

    def promote(self, group: str, database_id: str, holder: str, fencing_token: int) -> bool:
        """Asks for a new primary; returns whether the platform took it. Raises StoreError."""
        headers = {
            "Content-Type": "application/json",
            "Dewledge-Lease-Holder": holder,
            "Dewledge-Fencing-Token": str(fencing_token),
        }
        body = json.dumps({"service": group, "id": database_id}).encode()
        limits = urllib3.Timeout(connect=CONNECT_SECONDS, read=CALL_LIMIT_SECONDS)
        try:
            response = self._http.request(
                "POST", self._base + "/promote", body=body, headers=headers, timeout=limits
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreOutcomeUnknown(f"no answer: {error.__class__.__name__}") from error
        if response.status not in (ACCEPTED, FENCED):
            raise StoreError(f"the platform answered {response.status}")
        return response.status == ACCEPTED


def _store_row(row: _Row) -> StoreRow:
    return StoreRow(row.tls_key, base64.b64decode(row.value or ""), row.ver, row.gone)


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
