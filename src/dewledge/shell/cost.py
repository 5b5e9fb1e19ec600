"""What one statement costs a proxy: `python -m dewledge.shell.cost`.

An entry and a gateway run as processes of their own before databases that answer at once, so that
only the proxies' work is counted; the command itself plays the callers. Processor time is the
kernel's count for each thread. The measurement is made in rounds and the cheapest round counts,
since other work on the machine only ever makes a round dearer. Beside it stands a bare echo on
the same loop with the same callers.
"""

import json
import os
import resource
import socket
import subprocess
import sys
from collections.abc import Callable
from typing import Annotated

import msgspec
import typer

from dewledge.shell.cost_callers import call, hold_idle, statement_request
from dewledge.shell.cost_nodes import CALLER_TOKEN, NodeReady, apply_resources, await_session

MICROSECONDS = 1e6
NANOSECONDS = 1e9
WARM_UP_SHARE = 4


class StatementCost(msgspec.Struct, frozen=True):
    """Processor microseconds for each statement, by who spent them.

    workers: the gateway's other threads, which run the jobs.
    ratio: entry and gateway loop together, as a multiple of the bare echo.
    per_second: statements a second that one processor carries, all parts together.
    """

    kind: str
    entry: float
    gateway: float
    workers: float
    ratio: float
    per_second: float


class CostReport(msgspec.Struct, frozen=True):
    """All figures. echo: processor microseconds; idle_bytes: memory of an idle connection."""

    echo: float
    statements: tuple[StatementCost, ...]
    idle_connections: int
    idle_bytes: float


def main(
    statements: Annotated[int, typer.Option(help="Statements in each round.")] = 2000,
    rounds: Annotated[int, typer.Option(help="Rounds, of which the cheapest counts.")] = 5,
    connections: Annotated[int, typer.Option(help="Callers' busy connections.")] = 32,
    idle: Annotated[int, typer.Option(help="Idle connections to weigh.")] = 3900,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Measure what statements and idle connections cost a proxy."""
    report = measure(statements, rounds, connections, idle)
    if as_json:
        typer.echo(json.dumps(msgspec.to_builtins(report), indent=2))
        return
    typer.echo(f"bare echo: {report.echo:.1f} us")
    for cost in report.statements:
        typer.echo(
            f"{cost.kind}: entry {cost.entry:.0f} us, gateway {cost.gateway:.0f} us, "
            f"workers {cost.workers:.0f} us, {cost.ratio:.1f} echoes, "
            f"{cost.per_second:.0f} statements/s on one processor"
        )
    count = report.idle_connections
    typer.echo(f"idle connection: {report.idle_bytes:.0f} bytes (over {count} of them)")


def measure(statements: int, rounds: int, connections: int, idle: int) -> CostReport:
    """Measures everything once."""
    nodes: list[_Node] = []
    try:
        echo_node = _start(nodes, "echo")
        gateway = _start(nodes, "gateway")
        entry = _start(nodes, "entry", gateway.ready.platform, gateway.ready.gossip)
        apply_resources(entry.ready.callers)
        session = await_session(entry.ready.callers)

        def run(address: str, data: bytes) -> Callable[[int], None]:
            return lambda count: call(address, data, count, connections)

        request = statement_request("read", CALLER_TOKEN, session)
        echo = _cheapest([echo_node], run(echo_node.ready.callers, request), statements, rounds)[0]
        costs = []
        for kind, access, token in (
            ("read from a replica", "read", session),
            ("read without a session", "read", None),
            ("write", "write", session),
        ):
            request = statement_request(access, CALLER_TOKEN, token)
            spent = _cheapest(
                [entry, gateway], run(entry.ready.callers, request), statements, rounds
            )
            costs.append(_cost(kind, spent, echo))
        held, weight = _weigh_idle(entry, idle)
    finally:
        for node in nodes:
            node.end()
    return CostReport(echo, tuple(costs), held, weight)


def _cost(kind: str, spent: list[float], echo: float) -> StatementCost:
    entry, gateway, entry_workers, gateway_workers = spent
    total = entry + gateway + entry_workers + gateway_workers
    ratio = (entry + gateway) / echo
    return StatementCost(kind, entry, gateway, gateway_workers, ratio, MICROSECONDS / total)


class _Node:
    """A process under measurement."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "dewledge.shell.cost_nodes", *arguments]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, stdin=subprocess.PIPE)
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        self.ready = msgspec.json.decode(line, type=NodeReady)

    def loop_seconds(self) -> float:
        """Returns the processor time of the loop's thread."""
        return self._thread_seconds(str(self.ready.thread))

    def all_seconds(self) -> float:
        """Returns the processor time of all threads."""
        threads = os.listdir(f"/proc/{self._process.pid}/task")
        return sum(self._thread_seconds(thread) for thread in threads)

    def resident_bytes(self) -> int:
        """Returns the memory of the process."""
        with open(f"/proc/{self._process.pid}/statm", encoding="ascii") as stream:
            return int(stream.read().split()[1]) * resource.getpagesize()

    def end(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()

    def _thread_seconds(self, thread: str) -> float:
        path = f"/proc/{self._process.pid}/task/{thread}/schedstat"
        with open(path, encoding="ascii") as stream:
            return int(stream.read().split()[0]) / NANOSECONDS


def _start(nodes: list[_Node], *arguments: str) -> _Node:
    node = _Node(*arguments)
    nodes.append(node)
    return node


def _cheapest(
    nodes: list[_Node], run: Callable[[int], None], count: int, rounds: int
) -> list[float]:
    """Returns microseconds for each statement: of each node's loop, then of its other threads."""
    run(count // WARM_UP_SHARE)
    best: list[float] = []
    for _ in range(rounds):
        loops = [node.loop_seconds() for node in nodes]
        totals = [node.all_seconds() for node in nodes]
        run(count)
        loops = [node.loop_seconds() - earlier for node, earlier in zip(nodes, loops, strict=True)]
        totals = [node.all_seconds() - earlier for node, earlier in zip(nodes, totals, strict=True)]
        workers = [total - loop for total, loop in zip(totals, loops, strict=True)]
        found = [seconds / count * MICROSECONDS for seconds in (*loops, *workers)]
        if not best or sum(found) < sum(best):
            best = found
    return best


def _weigh_idle(node: _Node, wanted: int) -> tuple[int, float]:
    """Returns how many idle connections were held, and the proxy's bytes for each."""
    before = node.resident_bytes()
    held = hold_idle(node.ready.callers, wanted)
    weight = (node.resident_bytes() - before) / len(held)
    for descriptor in held:
        socket.close(descriptor)
    return len(held), weight


if __name__ == "__main__":
    typer.run(main)
