"""Stand-ins of a small deployment on loopback: store, duty calls, databases, clients, poolers.

Written from the users' pages (PROTOCOL, RULES, DEPLOY). One event loop runs all stand-ins; the
poolers are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
STORE_ANSWER_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.2

_held_ports: set[int] = set()


def free_port() -> int:
    """Returns a port that nobody listens at, each one once."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((LOOPBACK, port))
                if port not in _held_ports:
                    _held_ports.add(port)
                    return port


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="latin-1")
        self.started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.started

    def line(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        self._file.close()


class HttpServer:
    """HTTP/1.1 with kept connections; `handle` returns a status and a body."""

    def __init__(self) -> None:
        self.port = 0
        self._server = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{LOOPBACK}:{self.port}"

    async def _serve(self, reader, writer) -> None:
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while head := (await reader.readline()).decode().strip():
                    name, _, value = head.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, answer = await self.handle(method, target, headers, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: rows, one counter, conditional writes, a feed."""

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.rows: dict[tuple[str, str], dict] = {}
        self._changed = asyncio.Event()
        self.answer_seconds = STORE_ANSWER_SECONDS

    def put(self, table: str, key: str, value: object) -> int:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._set(table, key, base64.b64encode(data).decode(), False)

    def remove(self, table: str, key: str) -> int:
        return self._set(table, key, "", True)

    def _set(self, table: str, key: str, value: str, gone: bool) -> int:
        self.version += 1
        self._write(table, key, value, gone)
        return self.version

    def _write(self, table: str, key: str, value: str, gone: bool) -> None:
        row = {"table": table, "part": "", "tlsKey": key, "value": value, "ver": self.version}
        if gone:
            row["gone"] = True
        self.rows[table, key] = row
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(self.answer_seconds)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/dewledge/rows-get":
            return 200, self._get(query)
        if url.path == "/dewledge/rows-feed":
            return 200, await self._feed(query)
        if url.path == "/dewledge/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    def _body(self, rows, more=False):
        now = time.monotonic() * 1000
        return {"rows": rows, "hasMore": more, "ver": self.version, "now_ms": now}

    def _get(self, query):
        start, end = query.get("startRev", ""), query.get("targetVersion", "")
        limit = min(int(query.get("limit", "500")), 500)
        rows = sorted(
            (
                row
                for (table, key), row in self.rows.items()
                if table == query["table"]
                and not row.get("gone")
                and key >= start
                and (not end or key < end)
            ),
            key=lambda row: row["tlsKey"].encode(),
        )
        return self._body(rows[:limit], len(rows) > limit)

    async def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self._changed
            rows = [r for (t, _), r in self.rows.items() if t == table and r["ver"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return self._body(sorted(rows, key=lambda row: row["ver"]))
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left)

    def _transact(self, body):
        for expected in body["expectedRev"]:
            row = self.rows.get((expected["table"], expected["tlsKey"]))
            version = 0 if row is None or row.get("gone") else row["ver"]
            if version != expected["ver"]:
                return 412, self._body([row] if row else [])
        self.version += 1
        for put in body["put"]:
            self._write(put["table"], put["tlsKey"], put["value"], False)
        for removed in body["remove"]:
            self._write(removed["table"], removed["tlsKey"], "", True)
        return 200, self._body([])


class Duty(HttpServer):
    """The platform's duty calls: POST /promote under fencing tokens."""

    def __init__(self, group: "Service", record: Record, fenced: bool) -> None:
        super().__init__()
        self._group = group
        self._record = record
        self._fenced = fenced
        self.newest_fence = 0
        self.calls: list[tuple[float, str, str, int, int]] = []

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        wanted = json.loads(body)["id"]
        holder = headers["dewledge-lease-holder"]
        fence = int(headers["dewledge-fencing-token"])
        status = 200
        if self._fenced and fence < self.newest_fence:
            status = 409
        elif not self._group.databases[wanted].alive:
            status = 409
        self.newest_fence = max(self.newest_fence, fence)
        self.calls.append((self._record.now(), wanted, holder, fence, status))
        self._record.line(f"promote id={wanted} holder={holder} fence={fence} -> {status}")
        if status == 200:
            self._group.promote(wanted)
        return status, {}


class Database:
    """One database: slots, a log, and a role."""

    def __init__(self, service: "Service", name: str, zone: str) -> None:
        self.service, self.name, self.zone = service, name, zone
        self.leads = False
        self.alive = True
        self.deaf = False
        self.state = "ready"
        self.term = 1
        self.log: list[str] = []
        """Ids of the statements or transactions whose commits it received, oldest first."""
        self.applied = 0
        self.busy = 0
        self.slow = 1.0
        """Factor of the work."""
        self.connections: set = set()
        self.ran = 0
        self.refused = 0
        self.status_answers: dict[str, int] = {"row": 0, "BUSY": 0}
        self._sequence = 0
        self._server = None
        self.port = 0

    @property
    def received(self) -> int:
        return len(self.log)

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, self.port, limit=2**21, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.announce()

    def announce(self) -> None:
        self._sequence += 1
        role = "primary" if self.leads else "replica"
        entry = {
            "service": self.service.name,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "dbRole": role,
            "callSeq": self._sequence,
        }
        self.service.store.put("servers", self.name, entry)

    def crash(self) -> None:
        """Ends the process: its connections are reset, its address refuses."""
        self.alive = False
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.service.record.line(f"crash {self.name}")

        async def lapse() -> None:
            await asyncio.sleep(3 * HEARTBEAT_SECONDS)
            if not self.alive:
                self.service.store.remove("servers", self.name)

        self.service.spawn(lapse())

    async def come_back(self) -> None:
        """Starts again with its log; a replica if another was promoted."""
        self.alive = True
        leader = self.service.leader()
        self.leads = leader is None or leader is self
        self.busy = 0
        if not self.leads:
            self.service.follow(self, leader)
        await self.start()
        self.service.record.line(f"back {self.name} leads={self.leads}")

    async def _serve(self, reader, writer) -> None:
        if len(self.connections) >= self.service.max_connections:
            writer.write(b"ERROR TOOMANYCON -\r\n")
            writer.close()
            return
        self.connections.add(writer)
        session = DatabaseSession(self, writer)
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n"):
                    break
                if not await session.take(line[:-2].decode("latin-1")):
                    break
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class DatabaseSession:
    """One connection to a database."""

    def __init__(self, database: Database, writer) -> None:
        self.database, self.writer = database, writer
        self.state = "I"
        self.plain = False
        self.names: dict[str, bool] = {}
        self.writes: list[str] = []

    async def take(self, line: str) -> bool:
        database = self.database
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            wrong = fields[0] != database.service.name
            if wrong or (len(fields) > 2 and fields[2] != database.name):
                self._send("ERROR WRONGNODE -")
                return False
            database.busy += 1
            await asyncio.sleep(0.012)
            database.busy -= 1
            self._send(self._ready())
            return True
        if word == "TERMINATE":
            return False
        statement_id, _, text = rest.partition(" ")
        lines = await self._run(statement_id, text)
        if not database.alive:
            return False
        self._send(*lines, self._ready())
        return True

    def _ready(self) -> str:
        return f"READY {self.state} {self.database.term}.{self.database.applied}"

    def _send(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    async def _run(self, statement_id: str, text: str) -> list[str]:
        database = self.database
        if self.state == "E" and text not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = (int(part) for part in position.split("."))
            if (database.term, database.applied) < (term, number):
                return ["ERROR LAGGING -"]
        word, _, rest = text.partition(" ")
        if word == "BEGIN":
            if not rest and not database.leads:
                return [f"ERROR READONLY {database.name}"]
            self.state, self.plain, self.writes = "T", not rest, []
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["COMPLETE -"]
        if word == "PARSE":
            name, access, _ = rest.split(" ", 2)
            self.names[name] = access == "WRITE"
            return ["COMPLETE -"]
        if word == "DISCARD":
            self.names.clear()
            return ["COMPLETE -"]
        if word in ("SET", "CLOSE"):
            return ["COMPLETE -"]
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return await self._role_statement(word, rest)
        return await self._work(statement_id, word, rest)

    async def _role_statement(self, word: str, rest: str) -> list[str]:
        database = self.database
        if word == "STATUS":
            if database.busy >= database.service.slots:
                database.status_answers["BUSY"] += 1
                database.service.record.line(f"status {database.name} -> BUSY")
                return ["ERROR BUSY -"]
            database.busy += 1
            await asyncio.sleep(0.001)
            database.busy -= 1
            database.status_answers["row"] += 1
        elif word == "STEPDOWN" and int(rest) > database.term:
            database.leads = False
        role = "primary" if database.leads else "replica"
        row = (
            f"{role} {database.term} {database.term}.{database.received} 0 "
            f"{(database.received - database.applied) * 8} {database.busy} "
            f"{len(database.connections)}"
        )
        if word == "STATUS":
            database.service.record.line(f"status {database.name} -> {row}")
        return [f"DATAROW {row}", "COMPLETE -"]

    async def _work(self, statement_id: str, word: str, rest: str) -> list[str]:
        database = self.database
        writes = word == "WRITE"
        if word == "EXECUTE":
            name = rest.partition(" ")[0]
            if name not in self.names:
                return ["ERROR NOSTMT -"]
            writes = self.names[name]
        if database.busy >= database.service.slots:
            database.refused += 1
            return ["ERROR BUSY -"]
        lost_lead = not database.leads and (writes or (self.state == "T" and self.plain))
        if lost_lead and not (word == "COMMIT" and not self.writes):
            return self._refuse_readonly()
        database.busy += 1
        try:
            work = database.service.work_seconds(statement_id, word) * database.slow
            await asyncio.sleep(work)
            if not database.alive:
                return []
            if writes and self.state != "T":
                if not database.leads:
                    return self._refuse_readonly()
                if not await database.service.commit(database, statement_id):
                    return self._refuse_readonly()
            elif writes:
                self.writes.append(statement_id)
            elif word == "COMMIT":
                written, self.writes, self.state = self.writes, [], "I"
                if written and not database.leads:
                    return self._refuse_readonly()
                if written and not await database.service.commit(database, statement_id):
                    return self._refuse_readonly()
        finally:
            database.busy -= 1
        database.ran += 1
        database.service.asked.add(statement_id)
        rows = [f"DATAROW {row}" for row in database.service.rows(rest)]
        return [*rows, f"COMPLETE s.{statement_id}"]

    def _refuse_readonly(self) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR READONLY {self.database.name}"]


class Service:
    """A primary and its replicas, under `syncReplicas` 0 or 1."""

    def __init__(
        self,
        name: str,
        store: Store,
        record: Record,
        zones: list[str],
        slots: int,
        max_connections: int,
        sync_replicas: int,
        promote_seconds: float,
    ) -> None:
        self.name, self.store, self.record = name, store, record
        self.slots, self.max_connections = slots, max_connections
        self.sync_replicas = sync_replicas
        self.promote_seconds = promote_seconds
        self.asked: set[str] = set()
        """Ids of the clients' statements that reached a database and ran."""
        self.rows = lambda thing: [thing[:12] or "x"]
        """The rows of an answer."""
        self.works: dict[str, float] = {}
        """Work of a client's statement by its id, in seconds."""
        self.databases = {
            f"i-{zone}-{number}": Database(self, f"i-{zone}-{number}", zone)
            for number, zone in enumerate(zones)
        }
        next(iter(self.databases.values())).leads = True
        self._numbers = itertools.count(len(zones))
        self._promoting: str | None = None
        self._arrived = asyncio.Event()
        self.on_promoted = lambda database: None
        self._tasks: set = set()

    def spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        for database in self.databases.values():
            await database.start()
        self.spawn(self._replicate())

    def leader(self) -> Database | None:
        return next((each for each in self.databases.values() if each.leads), None)

    def work_seconds(self, statement_id: str, word: str) -> float:
        return 0.002 if word == "COMMIT" else self.works.get(statement_id, 0.004)

    async def commit(self, primary: Database, statement_id: str) -> bool:
        """Appends a commit; under `syncReplicas` 1 waits until one replica has received it."""
        primary.log.append(statement_id)
        primary.applied = primary.received
        number, term = primary.received, primary.term
        self.record.line(f"commit {primary.name} {term}.{number} id={statement_id}")
        if not self.sync_replicas:
            return True
        while primary.alive and primary.leads and primary.term == term:
            replicas = [d for d in self.databases.values() if d is not primary and d.alive]
            if any(d.received >= number for d in replicas):
                return True
            arrived = self._arrived
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(arrived.wait(), 0.05)
        return False

    async def _replicate(self) -> None:
        """Replicas get the log over the network (about 2 ms) and apply it 8 ms later."""
        to_apply: list[tuple[float, Database, int, int]] = []
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            primary = self.leader()
            for database in self.databases.values():
                if primary is None or database is primary or not primary.alive:
                    continue
                if database.deaf or not database.alive or database.received >= primary.received:
                    continue
                database.log += primary.log[database.received :]
                to_apply.append((now + 0.008, database, database.received, database.term))
                arrived, self._arrived = self._arrived, asyncio.Event()
                arrived.set()
            while to_apply and to_apply[0][0] <= now:
                _, database, number, term = to_apply.pop(0)
                if database.term == term:
                    database.applied = max(database.applied, min(number, database.received))

    async def replace(self, old: Database) -> None:
        """Ends a database that drained; a new one at its address gets its log."""
        old.crash()
        self.store.remove("servers", old.name)
        del self.databases[old.name]
        number = next(self._numbers)
        new = Database(self, f"i-{old.zone}-{number}", old.zone)
        new.port, new.log, new.term, new.applied = old.port, old.log, old.term, old.applied
        await asyncio.sleep(2.0)
        self.follow(new, self.leader())
        self.databases[new.name] = new
        await new.start()
        self.record.line(f"new {new.name} in place of {old.name}")

    def follow(self, database: Database, leader: Database) -> None:
        """Makes a database a replica of `leader`: what it had beyond the leader's log is gone."""
        common = 0
        for mine, theirs in zip(database.log, leader.log, strict=False):
            if mine != theirs:
                break
            common += 1
        del database.log[common:]
        database.applied = min(database.applied, common)
        database.term = leader.term
        database.leads = False

    def promote(self, name: str) -> None:
        chosen = self.databases[name]
        if chosen.leads or self._promoting == name:
            return
        self._promoting = name

        async def take_over() -> None:
            await asyncio.sleep(self.promote_seconds)
            if self._promoting != name or not chosen.alive:
                return
            self._promoting = None
            logs = " ".join(f"{d.name}={d.received}" for d in self.databases.values())
            self.record.line(f"leads {chosen.name} with {chosen.received}; received: {logs}")
            chosen.term = max(d.term for d in self.databases.values()) + 1
            chosen.applied = chosen.received
            for database in self.databases.values():
                if database is not chosen:
                    if database.alive:
                        self.follow(database, chosen)
                    database.leads = False
            chosen.leads = True
            self.on_promoted(chosen)
            for database in self.databases.values():
                if database.alive:
                    database.announce()

        self.spawn(take_over())


class Session:
    """A client's session: one connection, one statement at a time."""

    def __init__(self, reader, writer) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, address: str, database: str) -> "Session":
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port), limit=2**21)
        session = cls(reader, writer)
        writer.write(f"STARTUP {database} client\r\n".encode("latin-1"))
        greeting = await asyncio.wait_for(reader.readline(), 2.0)
        if not greeting.startswith(b"READY"):
            writer.close()
            raise ConnectionError(greeting.decode("latin-1"))
        return session

    async def ask(self, statement_id: str, text: str, seconds: float) -> list[str]:
        """Returns the lines of the answer, with READY last. Raises OSError without one."""
        self.writer.write(f"QUERY {statement_id} {text}\r\n".encode("latin-1"))

        async def lines() -> list[str]:
            answer: list[str] = []
            while not answer or not answer[-1].startswith("READY"):
                line = await self.reader.readline()
                if not line.endswith(b"\r\n"):
                    raise ConnectionError("closed")
                answer.append(line[:-2].decode("latin-1"))
            return answer

        return await asyncio.wait_for(lines(), seconds)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.writer.write(b"TERMINATE\r\n")
        self.writer.close()


_ids = itertools.count(random.randrange(2**40))


def new_id() -> str:
    return f"{next(_ids):016x}"


class Pooler:
    """One process of the system, started as the deploy file says."""

    def __init__(self, name: str, zone: str, settings: dict, folder: Path) -> None:
        self.name, self.zone = name, zone
        self.client_address = f"{LOOPBACK}:{free_port()}"
        self.ready_port = free_port()
        self.settings = settings
        self._folder = folder
        self._ports = [free_port(), free_port()]
        self._path = folder / f"{name}.toml"
        self._log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "listen": {"frontend": self.client_address, "ready": f"{LOOPBACK}:{self.ready_port}"},
            "ip": LOOPBACK,
            "internalPorts": self._ports,
            **self.settings,
        }
        template = (ROOT / "deploy" / "pooler.toml.template").read_text()
        self._path.write_text(fill(template, fields))
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        variables["DEWLEDGE_SETTINGS"] = str(self._path)
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = subprocess.Popen(
            ["python3", "-S", "src", "pooler"],
            cwd=ROOT,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection(LOOPBACK, self.ready_port)
            writer.write(b"GET /dewledge/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return b" 200 " in line
        return False

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_text(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


def fill(template: str, fields: dict) -> str:
    """Fills the template as DEPLOY says, as far as this template needs it."""
    import re

    def value(path: str):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                return None
        return found

    def section(match) -> str:
        given = value(match.group(1))
        if not given:
            return ""
        if isinstance(given, dict):
            return "".join(
                match.group(2).replace("{{@}}", key).replace("{{.}}", str(each))
                for key, each in given.items()
            )
        return match.group(2)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def gap(match) -> str:
        found = value(match.group(1))
        return json.dumps(found) if match.group(2) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


def settings_of(store: Store, duty: Duty, zones: dict[str, str], bounds: dict) -> dict:
    return {
        "platform": {"address": store.address},
        "cloudApi": {"address": duty.address},
        "zones": zones,
        "bounds": bounds,
    }


async def until_ready(poolers: list[Pooler], seconds: float = 20.0) -> bool:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if all([await pooler.is_ready() for pooler in poolers]):
            return True
        await asyncio.sleep(0.1)
    return False


def end_on_signals() -> None:
    """Lets a script that is ended by a signal end its processes first, and exit with 2."""

    def leave(_number: int, _frame: object) -> None:
        for number in (signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        raise SystemExit(2)

    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, leave)


def ignore_loop_errors() -> None:
    """At the end, connections are cut while they are served."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)


def temporary_folder() -> tempfile.TemporaryDirectory:
    return tempfile.TemporaryDirectory(prefix="dewledge-review-")
