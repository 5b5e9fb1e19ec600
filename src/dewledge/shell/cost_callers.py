"""The callers of the cost measurement."""

import json
import resource
import socket
from collections.abc import Callable

from dewledge.shell.shared.event_loop import READABLE, EventLoop
from dewledge.shell.shared.sockets import parse_address

RECEIVE_BYTES = 65536
SPARE_FILES = 256
ANSWER_START = b"HTTP/1.1 200 "
GROUP = "cost"


def statement_request(access: str, token: str, session: str | None) -> bytes:
    """Returns the bytes of one statement's request."""
    body: dict[str, object] = {
        "group": GROUP,
        "sql": "SELECT * FROM cases WHERE number = ?",
        "parameters": [7],
        "access": access,
        "deadline_ms": 10_000,
    }
    if session is not None:
        body["session"] = session
    content = json.dumps(body).encode()
    head = (
        "POST /v1/statements HTTP/1.1\r\nHost: proxy\r\n"
        f"Authorization: Bearer {token}\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def call(address: str, data: bytes, count: int, connections: int) -> None:
    """Keeps one request under way on each connection until `count` are answered.

    Raises RuntimeError for an answer that is neither success nor an echo.
    """
    loop = EventLoop()
    sockets = [socket.create_connection(parse_address(address)) for _ in range(connections)]
    started = answered = 0

    def send(sock: socket.socket) -> None:
        nonlocal started
        if started < count:
            started += 1
            sock.sendall(data)

    def reader(sock: socket.socket) -> Callable[[int], None]:
        def read(_events: int) -> None:
            nonlocal answered
            received = sock.recv(RECEIVE_BYTES)
            if not received.startswith((ANSWER_START, data)):
                raise RuntimeError(f"unexpected answer: {received[:500]!r}")
            answered += 1
            send(sock)

        return read

    for sock in sockets:
        loop.watch(sock, READABLE, reader(sock))
        send(sock)
    while answered < count:
        loop.run_once()
    for sock in sockets:
        loop.unwatch(sock)
        sock.close()
    loop.close()


def hold_idle(address: str, wanted: int) -> list[int]:
    """Opens connections that have made one request each, and returns their descriptors."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    held = []
    for _ in range(min(wanted, most - SPARE_FILES)):
        sock = socket.create_connection(parse_address(address))
        sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        sock.recv(RECEIVE_BYTES)
        held.append(sock.detach())
    return held
