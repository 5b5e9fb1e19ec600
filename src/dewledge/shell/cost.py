"""What one statement costs a proxy: `python -m dewledge.shell.cost`.

Two proxies run in this process, one as entry and one as gateway, before a database that answers
at once, so that only the proxies' own work is counted. Processor time is read per thread: that of
the caller's thread is left out, and so is the wait for the interpreter's lock. Beside it stands a
bare echo on the same loop with the same callers.
"""

import json
import resource
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Annotated

import msgspec
import typer

from dewledge.shell.cost_cluster import CALLER_TOKEN, GROUP, CostCluster
from dewledge.shell.cost_echo import EchoServer
from dewledge.shell.event_loop import EventLoop
from dewledge.shell.http_messages import HttpLimits
from dewledge.shell.sockets import parse_address

MICROSECONDS = 1e6
KIBIBYTE = 1024
SPARE_FILES = 512
HTTP_OK = b"HTTP/1.1 200 "


class StatementCost(msgspec.Struct, frozen=True):
    """Processor microseconds for each statement, by who spent them.

    workers: the gateway's threads, with the handing over to them.
    ratio: entry and gateway loop together, as a multiple of the bare echo.
    """

    kind: str
    statements: int
    entry: float
    gateway: float
    workers: float
    ratio: float

    @property
    def per_second(self) -> float:
        """Statements a second that one processor carries through a proxy, all parts together."""
        return MICROSECONDS / (self.entry + self.gateway + self.workers)


class CostReport(msgspec.Struct, frozen=True):
    """All figures. echo: processor microseconds; idle_connection: bytes of memory for each."""

    echo: float
    statements: tuple[StatementCost, ...]
    idle_connections: int
    idle_connection: float


def main(
    statements: Annotated[int, typer.Option(help="Statements of each kind.")] = 6000,
    connections: Annotated[int, typer.Option(help="Callers' busy connections.")] = 32,
    idle: Annotated[int, typer.Option(help="Idle connections to weigh.")] = 3900,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure what statements and idle connections cost a proxy."""
    report = measure(statements, connections, idle)
    if as_json:
        typer.echo(json.dumps(msgspec.to_builtins(report), indent=2))
        return
    typer.echo(f"bare echo: {report.echo:.1f} us")
    for cost in report.statements:
        typer.echo(
            f"{cost.kind}: entry {cost.entry:.1f} us, gateway {cost.gateway:.1f} us, "
            f"workers {cost.workers:.1f} us, {cost.ratio:.1f} echoes, "
            f"{cost.per_second:.0f} statements/s on one processor"
        )
    typer.echo(
        f"idle connection: {report.idle_connection:.0f} bytes "
        f"(over {report.idle_connections} of them)"
    )


def measure(statements: int, connections: int, idle: int) -> CostReport:
    """Measures everything once."""
    echo = _measure_echo(statements, connections)
    cluster = CostCluster()
    cluster.start()
    try:
        session = cluster.write_once()
        kinds = (
            ("read from a replica", _request("read", session)),
            ("read without a session", _request("read", None)),
            ("write", _request("write", session)),
        )
        costs = tuple(
            _measure_statements(cluster, kind, data, statements, connections, echo)
            for kind, data in kinds
        )
        count, weight = _weigh_idle(cluster.entry_address, idle)
    finally:
        cluster.stop()
    return CostReport(echo, costs, count, weight)


def _measure_echo(count: int, connections: int) -> float:
    server = EchoServer(EventLoop())
    thread = threading.Thread(target=server.loop.run, daemon=True)
    thread.start()
    data = _request("read", None)
    _call(server.address, data, count // 10, connections)
    before = _thread_time(server.loop)
    _call(server.address, data, count, connections)
    spent = _thread_time(server.loop) - before
    server.loop.stop()
    thread.join()
    return spent / count * MICROSECONDS


def _measure_statements(
    cluster: CostCluster, kind: str, data: bytes, count: int, connections: int, echo: float
) -> StatementCost:
    _call(cluster.entry_address, data, count // 10, connections)
    entry = _thread_time(cluster.entry_loop)
    gateway = _thread_time(cluster.gateway_loop)
    caller, process = time.thread_time(), time.process_time()
    _call(cluster.entry_address, data, count, connections)
    process, caller = time.process_time() - process, time.thread_time() - caller
    entry = _thread_time(cluster.entry_loop) - entry
    gateway = _thread_time(cluster.gateway_loop) - gateway
    scale = MICROSECONDS / count
    return StatementCost(
        kind=kind,
        statements=count,
        entry=entry * scale,
        gateway=gateway * scale,
        workers=(process - caller - entry - gateway) * scale,
        ratio=(entry + gateway) * scale / echo,
    )


def _thread_time(loop: EventLoop) -> float:
    """Returns the processor time that the loop's thread has used, seconds."""
    answer: Future[float] = Future()
    loop.post(lambda: answer.set_result(time.thread_time()))
    return answer.result()


def _request(access: str, session: str | None) -> bytes:
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
        f"Authorization: Bearer {CALLER_TOKEN}\r\nContent-Length: {len(content)}\r\n\r\n"
    )
    return head.encode() + content


def _call(address: str, data: bytes, count: int, connections: int) -> None:
    """Keeps one request under way on each connection until `count` are answered."""
    loop = EventLoop()
    sockets = [socket.create_connection(parse_address(address)) for _ in range(connections)]
    started = answered = 0

    def send(sock: socket.socket) -> None:
        nonlocal started
        if started < count:
            started += 1
            sock.sendall(data)

    def on_answer(sock: socket.socket) -> Callable[[int], None]:
        def read(_events: int) -> None:
            nonlocal answered
            received = sock.recv(65536)
            if not received.startswith((HTTP_OK, data[:4])):
                raise SystemExit(f"unexpected answer: {received[:500]!r}")
            answered += 1
            send(sock)

        return read

    for sock in sockets:
        loop.watch(sock, 1, on_answer(sock))
        send(sock)
    while answered < count:
        loop.run_once()
    for sock in sockets:
        loop.unwatch(sock)
        sock.close()


def _weigh_idle(address: str, wanted: int) -> tuple[int, float]:
    """Returns how many idle connections were held, and the bytes of memory for each.

    Each has made one request. The callers' ends are bare descriptors and weigh next to nothing.
    """
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    count = min(wanted, (most - SPARE_FILES) // 2, HttpLimits().max_connections - SPARE_FILES)
    before = _resident_bytes()
    held = []
    for _ in range(count):
        sock = socket.create_connection(parse_address(address))
        sock.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
        sock.recv(KIBIBYTE)
        held.append(sock.detach())
    weight = (_resident_bytes() - before) / count
    for descriptor in held:
        socket.close(descriptor)
    return count, weight


def _resident_bytes() -> int:
    with open("/proc/self/statm", encoding="ascii") as stream:
        return int(stream.read().split()[1]) * resource.getpagesize()


if __name__ == "__main__":
    typer.run(main)
