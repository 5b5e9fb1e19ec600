"""A stub HTTP server that stands for a proxy, and runs of the command line against it."""

import contextlib
import io
import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import msgspec

from dewledge.cli.main import run


class Reply(msgspec.Struct, frozen=True):
    """An answer; no_answer: the connection is cut after the request was read."""

    status: int = 200
    body: Any = {}
    no_answer: bool = False


CUT = Reply(no_answer=True)


class Request(msgspec.Struct, frozen=True):
    method: str
    path: str
    body: Any
    authorization: str | None


Script = Callable[[Request, int], Reply]
"""Gives the reply to a request and its number, from 0."""


class StubProxy:
    def __init__(self, script: Script) -> None:
        self.requests: list[Request] = []
        stub = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                self.answer()

            def do_POST(self) -> None:  # noqa: N802
                self.answer()

            def answer(self) -> None:
                data = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                body = json.loads(data) if data else None
                token = self.headers.get("Authorization")
                request = Request(self.command, self.path, body, token)
                stub.requests.append(request)
                reply = script(request, len(stub.requests) - 1)
                if reply.no_answer:
                    self.close_connection = True
                    return
                content = reply.body
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                self.send_response(reply.status)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self._thread = threading.Thread(
            target=self._server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True
        )
        self._thread.start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


class CommandRun(msgspec.Struct, frozen=True):
    exit_code: int
    output: str
    errors: str

    @property
    def json(self) -> Any:
        return json.loads(self.output)


def run_command(*arguments: str) -> CommandRun:
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        exit_code = run(arguments)
    return CommandRun(exit_code, output.getvalue(), errors.getvalue())
