"""A stand-in for the platform's store and its duty calls: HTTP on loopback, faults by switch."""

import base64
import contextlib
import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


@dataclass
class Row:
    table: str
    part: str
    key: str
    value: bytes
    version: int
    gone: bool = False

    def body(self) -> dict[str, Any]:
        return {
            "table": self.table,
            "part": self.part,
            "tlsKey": self.key,
            "value": base64.b64encode(self.value).decode(),
            "ver": self.version,
            **({"gone": True} if self.gone else {}),
        }


@dataclass
class StoreCopy:
    """The rows of a store at one version."""

    rows: dict[tuple[str, str], Row]
    version: int


class TableStore:
    """Rows with one version counter, a feed with history, and promotions under fences."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.history_from = 0
        self.era = 0
        self.refuse_status = 0
        self.lose_answers = False
        self.silent = False
        self.stale_by = 0
        self.promotions: list[tuple[str, str, str, int]] = []
        self.newest_fence: dict[str, int] = {}
        self.on_promote: Callable[[str], bool] = lambda database: True
        self.calls = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                store._serve(self, b"")

            def do_POST(self) -> None:  # noqa: N802
                store._serve(self, self.rfile.read(int(self.headers["Content-Length"])))

            def log_message(self, *_: object) -> None:
                pass

        self.answered_bytes = 0
        self.reads = 0
        self.between_pages: Callable[[], object] = lambda: None
        """Called after a page that is not the last has been read."""
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def put(self, table: str, key: str, value: object) -> int:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.version += 1
            self.rows[table, key] = Row(table, "", key, data, self.version)
            self.changed.notify_all()
            return self.version

    def remove(self, table: str, key: str) -> None:
        with self.changed:
            self.version += 1
            self.rows[table, key] = Row(table, "", key, b"", self.version, gone=True)
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        """Returns what the store holds now, for `restore`."""
        with self.changed:
            return StoreCopy(dict(self.rows), self.version)

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from an older copy: its versions are given out again, in a new era."""
        with self.changed:
            self.rows, self.version = dict(copy.rows), copy.version
            self.era += 1
            self.changed.notify_all()

    def drop_history(self) -> None:
        with self.changed:
            self.history_from = self.version + 1
            self.rows = {key: row for key, row in self.rows.items() if not row.gone}
            self.changed.notify_all()

    def _serve(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        self.calls += 1
        self.reads += handler.path.startswith("/dewledge/rows-get")
        if self.silent:
            time.sleep(5)
            handler.close_connection = True
            return
        if self.refuse_status:
            self._answer(handler, self.refuse_status, {})
            return
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/dewledge/rows-get":
            status, page = self._get(query)
            era = self.era
            if page["hasMore"]:
                self.between_pages()
            self._answer(handler, status, page, era)
        elif url.path == "/dewledge/rows-feed":
            self._answer(handler, *self._feed(query))
        elif url.path == "/dewledge/rows-tx":
            self._answer(handler, *self._transact(json.loads(body)))
        elif url.path == "/promote":
            self._answer(handler, self._promote(handler, json.loads(body)), {})
        else:
            self._answer(handler, 404, {})

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        with self.changed:
            newest = self.version - self.stale_by
            start = query.get("startRev", "")
            end = query.get("targetVersion", "")
            limit = int(query.get("limit", "500"))
            rows = sorted(
                (
                    row
                    for row in self.rows.values()
                    if row.table == query["table"]
                    and row.key >= start
                    and (not end or row.key < end)
                    and not row.gone
                    and row.version <= newest
                ),
                key=lambda row: row.key,
            )
            return 200, self._body(rows[:limit], newest, len(rows) > limit)

    def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with self.changed:
            while True:
                if after + 1 < self.history_from or after > self.version:
                    return 410, {}
                rows = sorted(
                    (
                        row
                        for row in self.rows.values()
                        if row.table == query["table"] and row.version > after
                    ),
                    key=lambda row: row.version,
                )
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._body(rows, self.version)
                self.changed.wait(left)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        with self.changed:
            for expected in body["expectedRev"]:
                row = self.rows.get((expected["table"], expected["tlsKey"]))
                version = 0 if row is None or row.gone else row.version
                if version != expected["ver"]:
                    return 412, self._body([row] if row else [], self.version)
            self.version += 1
            for put in body["put"]:
                value = base64.b64decode(put["value"])
                row = Row(put["table"], put["part"], put["tlsKey"], value, self.version)
                self.rows[put["table"], put["tlsKey"]] = row
            self.changed.notify_all()
            return 200, self._body([], self.version)

    def _promote(self, handler: BaseHTTPRequestHandler, body: dict[str, Any]) -> int:
        fence = int(handler.headers["Dewledge-Fencing-Token"])
        holder = handler.headers["Dewledge-Lease-Holder"]
        group, database = body["service"], body["id"]
        if fence < self.newest_fence.get(group, 0):
            return 409
        self.newest_fence[group] = fence
        self.promotions.append((group, database, holder, fence))
        return 200 if self.on_promote(database) else 409

    def _body(self, rows: list[Row], version: int, more: bool = False) -> dict[str, Any]:
        return {
            "rows": [row.body() for row in rows],
            "hasMore": more,
            "ver": version,
            "now_ms": time.monotonic() * 1000,
        }

    def _answer(
        self,
        handler: BaseHTTPRequestHandler,
        status: int,
        body: dict[str, Any],
        era: int | None = None,
    ) -> None:
        era = self.era if era is None else era
        if self.lose_answers:
            handler.close_connection = True
            return
        data = json.dumps(body).encode()
        self.answered_bytes += len(data)
        with contextlib.suppress(OSError):
            handler.send_response(status)
            handler.send_header("Content-Type", "application/json")
            if era:
                handler.send_header("Store-Era", str(era))
            handler.send_header("Content-Length", str(len(data)))
            handler.end_headers()
            handler.wfile.write(data)
