"""Stand-ins of a small deployment on loopback addresses: store, platform, databases, clients.

The poolers are the project's own processes, started with the command of the deploy file. The store,
the platform's promotions and the databases are threads of the test and do what the users' pages
say (PROTOCOL.md). Every event goes to the record with the seconds since the start.
"""

import base64
import contextlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SERVICE = "planning-core"
ZONES = {"accra-hall-a": "accra", "kumasi-hall-b": "kumasi", "tamale-hall-c": "tamale"}
LIMIT_SECONDS = 115.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
FIRST_PORT, LAST_PORT = 20_000, 32_000
"""Below the range from which the system takes ports of outgoing connections."""


class CaseNotRun(Exception):
    """The deployment did not get ready, so that the case says nothing."""


_given_ports = set()


def free_port():
    """Returns a port that nobody listens at and that was not given out before."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if port in _given_ports:
            continue
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            _given_ports.add(port)
            return port


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self._file = path.open("w")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, who, what):
        with self._lock:
            self._file.write(f"{time.monotonic() - self.started:8.3f} {who}: {what}\n")
            self._file.flush()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def do_GET(self):
        self.server.owner.serve(self, b"")

    def do_POST(self):
        self.server.owner.serve(self, self.rfile.read(int(self.headers["Content-Length"])))

    def log_message(self, *_):
        pass

    def answer(self, status, body, headers=()):
        data = json.dumps(body).encode()
        with contextlib.suppress(OSError):
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            for name, value in headers:
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)


class _HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def __init__(self, owner):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """Says nothing: a client that resets its connection is no fault of the store."""

    @property
    def ip_port(self):
        return f"127.0.0.1:{self.server_address[1]}"


class Store:
    """The platform's metadata store: rows, one version counter, a feed, an era."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._rows = {}
        self.version = 0
        self.era = 0
        self.away = False
        self._server = _HttpServer(self)
        self.address = self._server.ip_port

    def close(self):
        self._server.shutdown()

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self.version += 1
            self._rows[table, key] = (self.version, data, False)
            self._changed.notify_all()
            return self.version

    def remove(self, table, key):
        with self._changed:
            self.version += 1
            self._rows[table, key] = (self.version, b"", True)
            self._changed.notify_all()

    def copy(self):
        with self._changed:
            return dict(self._rows), self.version

    def restore(self, copy):
        """Comes back from an older copy: what was written since is gone, the era rises by one."""
        with self._changed:
            self._rows, self.version = dict(copy[0]), copy[1]
            self.era += 1
            self._changed.notify_all()

    def count_transaction(self):
        """Counts a transaction that changes no row that anybody reads."""
        with self._changed:
            self.version += 1
            self._changed.notify_all()

    def rows_of(self, table):
        with self._changed:
            return {k: v for (t, k), v in self._rows.items() if t == table and not v[2]}

    def serve(self, handler, body):
        if self.away:
            handler.answer(503, {}, self._headers())
            return
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/dewledge/rows-get":
            status, page = self._get(query)
        elif url.path == "/dewledge/rows-feed":
            status, page = self._feed(query)
        elif url.path == "/dewledge/rows-tx":
            time.sleep(0.004)
            status, page = self._transact(json.loads(body))
        else:
            status, page = 404, {}
        handler.answer(status, page, self._headers())

    def _headers(self):
        return [("Store-Era", str(self.era))] if self.era else []

    def _body(self, rows, more=False):
        shown = []
        for (table, key), (version, data, gone) in rows:
            row = {"table": table, "part": "", "tlsKey": key, "ver": version}
            row["value"] = base64.b64encode(data).decode()
            if gone:
                row["gone"] = True
            shown.append(row)
        now = time.monotonic() * 1000
        return {"rows": shown, "hasMore": more, "ver": self.version, "now_ms": now}

    def _get(self, query):
        start, end = query.get("startRev", ""), query.get("targetVersion", "")
        limit = int(query.get("limit", "500"))
        with self._changed:
            rows = sorted(
                (at, row)
                for at, row in self._rows.items()
                if at[0] == query["table"] and not row[2] and at[1] >= start
                if not end or at[1] < end
            )
            return 200, self._body(rows[:limit], len(rows) > limit)

    def _feed(self, query):
        after, table = int(query["after"]), query["table"]
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        era = self.era
        with self._changed:
            while True:
                if after > self.version or era != self.era or self.away:
                    return 410, {}
                rows = [
                    (at, row) for at, row in self._rows.items() if at[0] == table and row[0] > after
                ]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._body(sorted(rows, key=lambda each: each[1][0]))
                self._changed.wait(left)

    def _transact(self, body):
        with self._changed:
            for expected in body["expectedRev"]:
                at = (expected["table"], expected["tlsKey"])
                row = self._rows.get(at)
                version = 0 if row is None or row[2] else row[0]
                if version != expected["ver"]:
                    rows = [] if row is None or row[2] else [(at, row)]
                    return 412, self._body(rows)
            if any(each["table"] in ("op", "servers") for each in body["put"] + body["remove"]):
                return 403, {}
            self.version += 1
            for put in body["put"]:
                data = base64.b64decode(put["value"])
                self._rows[put["table"], put["tlsKey"]] = (self.version, data, False)
                self._record("store", f"{put['tlsKey']} written at version {self.version}")
            for removed in body["remove"]:
                self._rows[removed["table"], removed["tlsKey"]] = (self.version, b"", True)
            self._changed.notify_all()
            return 200, self._body([])


class Platform:
    """The platform's duty calls: promotions, with or without a check of fencing tokens."""

    def __init__(self, record, service, is_fenced):
        self._record = record
        self._service = service
        self._is_fenced = is_fenced
        self._lock = threading.Lock()
        self.calls = []
        """Of each promotion that arrived: holder, token, database, status."""
        self._server = _HttpServer(self)
        self.address = self._server.ip_port

    def close(self):
        self._server.shutdown()

    def serve(self, handler, body):
        named = json.loads(body)
        token = int(handler.headers["Dewledge-Fencing-Token"])
        holder = handler.headers["Dewledge-Lease-Holder"]
        with self._lock:
            newest = max((call[1] for call in self.calls), default=0)
            if self._is_fenced and token < newest:
                status = 409
            else:
                status = 200 if self._service.promote(named["id"]) else 409
            self.calls.append((holder, token, named["id"], status))
        self._record("platform", f"promote {named['id']} by {holder} with token {token}: {status}")
        handler.answer(status, {})


class Entry:
    """A commit in a log: term, number, what it wrote, and when a replica has applied it."""

    def __init__(self, term, number, writes, applied_at):
        self.term, self.number, self.writes, self.applied_at = term, number, writes, applied_at

    @property
    def position(self):
        return (self.term, self.number)


class Database:
    """One database: a log, a role, and a thread for each connection."""

    def __init__(self, service, name, zone):
        self.service, self.name, self.zone = service, name, zone
        self.is_primary = False
        self.term = 1
        self.state = "ready"
        self.log = []
        self.paused_term = 0
        self.is_deaf = False
        """Whether it receives nothing from the primary."""
        self.is_alive = False
        self.connections = set()
        self.port = free_port()
        self._sequence = 0
        self.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def start(self):
        self.is_alive = True
        self._born = int(time.time() * 1000)
        self._listener = socket.create_server(("127.0.0.1", self.port), backlog=64)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def stop(self, why):
        """Ends the process: its connections are reset, what it has in its log stays."""
        self.service.record(self.name, why)
        with self.service.changed:
            self.is_alive = False
            self.service.changed.notify_all()
        for sock in [self._listener, *self.connections]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()
        self.connections.clear()

    def forget(self):
        """Loses all that it holds and knows; its counts start anew."""
        self.log, self.term, self.paused_term, self._sequence = [], 0, 0, 0

    def entry(self):
        self._sequence += 1
        return {
            "service": self.service.name,
            "address": self.address,
            "zone": self.zone,
            "version": "7.2",
            "slots": 3,
            "state": self.state,
            "coldRemainingMs": 0,
            "callSeq": self._sequence,
            "dbRole": "primary" if self.is_primary else "replica",
            "born": self._born,
        }

    def announce(self):
        self.service.store.put("servers", self.name, self.entry())

    @property
    def received(self):
        return self.log[-1].position if self.log else (self.term, 0)

    def applied(self):
        if self.is_primary:
            return self.received
        now = time.monotonic()
        position = (self.log[0].term if self.log else self.term, 0)
        for entry in self.log:
            if entry.applied_at > now:
                break
            position = entry.position
        return position

    def value(self, thing):
        now, found = time.monotonic(), "none"
        for entry in self.log:
            if not self.is_primary and entry.applied_at > now:
                break
            for name, data in entry.writes:
                if name == thing:
                    found = data
        return found

    def _accept(self, listener):
        while self.is_alive:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            _Session(self, sock).run()
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            with contextlib.suppress(OSError):
                sock.close()


class _Session:
    """One connection to a database."""

    def __init__(self, database, sock):
        self.database, self.sock = database, sock
        self.state = "I"
        self.is_plain = False
        self.writes = []
        self.names = {}

    def run(self):
        for line in self.sock.makefile("r", encoding="latin-1", newline="\r\n"):
            word, _, rest = line.rstrip("\r\n").partition(" ")
            if word == "TERMINATE":
                return
            if word == "STARTUP":
                time.sleep(0.012)
                fields = rest.split(" ")
                database = self.database
                if fields[0] != database.service.name or fields[2:] not in ([], [database.name]):
                    self._send(f"ERROR WRONGNODE {database.name}")
                    return
                self._send(self._ready())
                continue
            statement, _, text = rest.partition(" ")
            self._send(*self._answer(statement, text), self._ready())

    def _send(self, *lines):
        self.sock.sendall("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    def _ready(self):
        with self.database.service.changed:
            term, number = self.database.applied()
        return f"READY {self.state} {term}.{number}"

    def _answer(self, statement, text):
        database, service = self.database, self.database.service
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = tuple(int(part) for part in position.split("."))
        word, _, rest = text.partition(" ")
        if word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            time.sleep(0.006)
        with service.changed:
            if after is not None and database.applied() < after:
                return ["ERROR LAGGING -"]
            return self._run(statement, word, rest, text)

    def _run(self, statement, word, rest, text):
        database, service = self.database, self.database.service
        if word == "BEGIN":
            if not rest and not database.is_primary:
                return [f"ERROR READONLY {database.name}"]
            self.state, self.is_plain, self.writes = "T", not rest, []
        elif word == "ROLLBACK":
            self.state, self.writes = "I", []
        elif word == "PARSE":
            name, access, shape = rest.split(" ", 2)
            self.names[name] = (access, shape)
        elif word == "DISCARD":
            self.names = {}
        elif word in ("STATUS", "STEPDOWN", "PAUSE", "RESUME"):
            return self._role(word, rest)
        elif word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return self._work(statement, word, rest, text)
        return ["COMPLETE -"]

    def _role(self, word, rest):
        database, service = self.database, self.database.service
        if word == "STEPDOWN" and database.is_primary and database.term < int(rest):
            database.is_primary = False
            service.record(database.name, f"steps down for term {rest}")
            service.later(0.0, database.announce)
        elif word == "PAUSE" and not database.is_primary and int(rest) > database.term:
            database.paused_term = int(rest)
        elif word == "RESUME":
            database.paused_term = 0
        role = "primary" if database.is_primary else "replica"
        term, number = database.received
        row = f"{role} {database.term} {term}.{number} {database.paused_term} 8 0 1"
        return [f"DATAROW {row}", "COMPLETE -"]

    def _work(self, statement, word, rest, text):
        database, service = self.database, self.database.service
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.names:
                return ["ERROR NOSTMT -"]
            writes = self.names[name][0] == "WRITE"
        lost_lead = self.state == "T" and self.is_plain and not database.is_primary
        if (writes or lost_lead) and not database.is_primary:
            if not (word == "COMMIT" and not self.writes):
                self.state = "E" if self.state == "T" else "I"
                return [f"ERROR READONLY {database.name}"]
        thing, _, data = rest.partition(" ")
        service.ran.append((time.monotonic(), database.name, statement, text))
        service.record(database.name, f"runs {statement} {text}")
        if word == "COMMIT":
            self.state = "I"
            written, self.writes = self.writes, []
            if written and not service.commit(database, written):
                raise OSError("ends without an answer")
            return [f"COMPLETE sig.{statement}"]
        if writes and self.state == "T":
            self.writes.append((thing, data))
        elif writes and not service.commit(database, [(thing, data)]):
            raise OSError("ends without an answer")
        rows = [] if writes else [f"DATAROW {database.value(thing)}"]
        return [*rows, f"COMPLETE sig.{statement}"]


class Service:
    """A primary and its replicas; its condition guards their logs and roles."""

    def __init__(self, record, store, sync_replicas=0, promote_seconds=1.0, is_fenced=True):
        self.name = SERVICE
        self.record, self.store = record, store
        self.sync_replicas = sync_replicas
        self.promote_seconds, self.is_fenced = promote_seconds, is_fenced
        self.changed = threading.Condition()
        self.ran = []
        """Of each statement that ran: when, at which database, its id and its text."""
        self.promoted = []
        """Of each promotion that took effect: when, the database, and what its log holds."""
        self.committed = []
        """Of each commit: when, at which database, in which term, and the values written."""
        names = ("i-2b60c1d4", "i-5e93f07a", "i-8d17a3b9")
        self.databases = [Database(self, name, zone) for name, zone in zip(names, ZONES)]
        self.databases[0].is_primary = True
        for database in self.databases:
            database.announce()

    def close(self):
        for database in self.databases:
            if database.is_alive:
                database.stop("ends")

    def later(self, seconds, act):
        timer = threading.Timer(seconds, act)
        timer.daemon = True
        timer.start()

    def named(self, name):
        return next((each for each in self.databases if each.name == name), None)

    def commit(self, database, writes):
        """Commits at a primary; answers once enough replicas have received it.

        Returns whether there is an answer: none if the primary ends or loses the lead meanwhile.
        """
        term = database.term
        entry = Entry(term, database.received[1] + 1, writes, 0.0)
        database.log.append(entry)
        values = [data for _, data in writes]
        self.committed.append((time.monotonic(), database.name, database.term, values))
        while database.is_alive and database.is_primary and database.term == term:
            if sum(self._send_log(database, each) for each in self.databases) >= self.sync_replicas:
                return True
            self.changed.wait(0.02)
        return False

    def _send_log(self, primary, replica):
        """Lets a replica receive what it lacks; returns whether it has all."""
        if replica is primary or not replica.is_alive or replica.is_primary:
            return False
        if replica.term != primary.term or replica.is_deaf or replica.paused_term:
            return False
        applied_at = time.monotonic() + 0.008
        for entry in primary.log[len(replica.log) :]:
            replica.log.append(Entry(entry.term, entry.number, entry.writes, applied_at))
        return True

    def catch_up(self):
        """Lets each replica receive what it lacks, as a stream of replication does by itself."""
        with self.changed:
            for primary in self.databases:
                if primary.is_primary and primary.is_alive:
                    for each in self.databases:
                        self._send_log(primary, each)
            self.changed.notify_all()

    def promote(self, name):
        """Returns whether the database runs; it takes the lead for the next term later."""
        database = self.named(name)
        if database is None or not database.is_alive:
            return False
        if not database.is_primary:
            self.later(self.promote_seconds, lambda: self._take_lead(database))
        return True

    def _take_lead(self, database):
        with self.changed:
            if database.is_primary or not database.is_alive:
                return
            old = [each for each in self.databases if each.is_primary and each is not database]
            term = max(each.term for each in self.databases) + 1
            database.is_primary, database.term, database.paused_term = True, term, 0
            for each in self.databases:
                if each is database or not each.is_alive:
                    continue
                if each in old and not self.is_fenced:
                    self.later(1.0, lambda each=each: self._end_old_lead(each, database))
                    continue
                self._follow(each, database)
            held = {data for entry in database.log for _, data in entry.writes}
            self.promoted.append((time.monotonic(), database.name, held))
            self.changed.notify_all()
        self.record(database.name, f"leads term {term} from position {database.received}")
        for each in self.databases:
            if each.is_alive and each.name in self.store.rows_of("servers"):
                each.announce()

    def _end_old_lead(self, old, new):
        """An old primary that nothing fences follows the new one a second after it reaches it."""
        with self.changed:
            if old.is_alive and old.is_primary and old.term < new.term:
                self._follow(old, new)
                self.changed.notify_all()
        old.announce()

    def _follow(self, database, primary):
        """Makes a database a replica: what the new primary does not have is rolled back."""
        database.is_primary, database.term, database.paused_term = False, primary.term, 0
        common = 0
        for own, its in zip(database.log, primary.log, strict=False):
            if own.position != its.position:
                break
            common += 1
        del database.log[common:]

    def come_back(self, database):
        """Starts a crashed database again: it has its log, and follows another that leads."""
        with self.changed:
            leading = [each for each in self.databases if each.is_primary and each is not database]
            if leading:
                self._follow(database, leading[0])
        database.start()
        self.record(database.name, "is back")
        database.announce()
        self.catch_up()


class Client:
    """A client's session."""

    def __init__(self, record, name, address, database, timeout=10.0):
        host, port = address.rsplit(":", 1)
        self._record, self.name = record, name
        self._count = 0
        self._sock = socket.create_connection((host, int(port)), timeout=timeout)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._lines = self._sock.makefile("r", encoding="latin-1", newline="\r\n")
        self._send(f"STARTUP {database} u3f1")
        self.greeting = self._line()

    def _send(self, line):
        self._sock.sendall(f"{line}\r\n".encode("latin-1"))

    def _line(self):
        line = self._lines.readline()
        if not line:
            raise ConnectionError("the session ended")
        return line.rstrip("\r\n")

    def ask(self, text):
        """Sends a statement; returns its id and the lines of the answer."""
        self._count += 1
        statement = f"{self.name}{self._count:08x}"
        self._record(self.name, f"sends {statement} {text}")
        self._send(f"QUERY {statement} {text}")
        lines = [self._line()]
        while not lines[-1].startswith("READY"):
            lines.append(self._line())
        self._record(self.name, f"gets {statement} {' | '.join(lines)}")
        return statement, lines

    def close(self):
        with contextlib.suppress(OSError):
            self._sock.close()


def is_success(lines):
    return any(line.startswith("COMPLETE") for line in lines)


class Pooler:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone):
        self._deployment = deployment
        self.name, self.zone = name, zone
        self.client, self.ready, self.peer, self.metrics = (free_port() for _ in range(4))
        self.process = None

    @property
    def client_address(self):
        return f"127.0.0.1:{self.client}"

    def start(self):
        deployment = self._deployment
        settings = deployment.folder / f"{self.name}.toml"
        settings.write_text(deployment.settings_of(self))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["DEWLEDGE_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        log = (deployment.folder / f"{self.name}.log").open("a")
        self.process = subprocess.Popen(
            command["roles"]["pooler"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        deployment.record(self.name, f"starts as process {self.process.pid}")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait(10)
        self._deployment.record(self.name, "is killed")

    @property
    def is_ready(self):
        try:
            url = f"http://127.0.0.1:{self.ready}/dewledge/ready"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except (OSError, http.client.HTTPException):
            return False


class Deployment:
    """Three poolers, a store, a platform and a service of three databases."""

    def __init__(self, folder, bounds=None, sync_replicas=0, promote_seconds=1.0, routes=None):
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="dewledge-review-"))
        self.bounds = {
            "drainTimeoutMs": 7000,
            "graceS": 6,
            "configApplyMs": 4000,
            "contactMs": 5000,
            "recoveryS": 12,
            "fencingRequired": True,
            **(bounds or {}),
        }
        is_fenced = self.bounds["fencingRequired"]
        self.store = Store(self.record)
        self.service = Service(self.record, self.store, sync_replicas, promote_seconds, is_fenced)
        self.platform = Platform(self.record, self.service, is_fenced)
        self.version = 100
        self.routes = routes or {"lepu270": "primary", "huvo11a": "read_own_writes"}
        self.configure(sync_replicas)
        names = [f"frontend-{zone}-1" for zone in ZONES]
        self.poolers = [Pooler(self, name, zone) for name, zone in zip(names, ZONES)]

    def configure_again(self):
        """Writes the newest configuration once more, as the operator does after a restore."""
        self.store.put("op", "config", self.configuration)

    def configure(self, sync_replicas):
        self.version += 3
        routes = [
            {
                "name": f"r-{host}",
                "host": host,
                "service": SERVICE,
                "type": kind,
                "timeoutMs": 800,
                "targetLatencyMs": 600,
                "priority": 1,
                "maxStalenessMs": 0 if kind == "primary" else 2500,
            }
            for host, kind in self.routes.items()
        ]
        service = {"name": SERVICE, "maxConnections": 36, "syncReplicas": sync_replicas}
        self.configuration = {
            "version": self.version,
            "routes": routes,
            "services": [service],
            "limits": {"txIdleMs": 3000},
        }
        self.configure_again()

    def settings_of(self, pooler):
        """Fills the project's template from the fields of a small deployment."""
        fields = {
            "nodeName": pooler.name,
            "zone": pooler.zone,
            "ip": "127.0.0.1",
            "internalPorts": [pooler.peer, pooler.metrics],
            "listen": {
                "frontend": f"127.0.0.1:{pooler.client}",
                "ready": f"127.0.0.1:{pooler.ready}",
            },
            "platform": {"address": self.store.address},
            "cloudApi": {"address": self.platform.address},
            "zones": ZONES,
            "bounds": self.bounds,
        }
        return fill((ROOT / "deploy" / "pooler.toml.template").read_text(), fields)

    def start(self):
        for pooler in self.poolers:
            pooler.start()
        self.await_true(lambda: all(each.is_ready for each in self.poolers), 25, "not ready")
        claim = f"claim/{SERVICE}"
        self.await_true(lambda: claim in self.store.rows_of("dewledge"), 15, "no claim")
        time.sleep(2.0)

    def await_true(self, condition, seconds, otherwise):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise CaseNotRun(otherwise)

    def session(self, name, pooler, database, is_needed=True):
        client = Client(self.record, name, pooler.client_address, database)
        if is_needed and not client.greeting.startswith("READY"):
            raise CaseNotRun(f"no session: {client.greeting}")
        return client

    def close(self):
        for pooler in self.poolers:
            if pooler.process is not None and pooler.process.poll() is None:
                pooler.process.kill()
                pooler.process.wait(10)
        self.service.close()
        self.store.close()
        self.platform.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def fill(template, fields):
    """Fills a template of settings as the users' page on deploying says, as far as it is used."""

    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def block(match):
        value = find(match["name"])
        if not value:
            return ""
        if isinstance(value, dict):
            lines = (
                match["body"].replace("{{@}}", key).replace("{{.}}", str(each))
                for key, each in value.items()
            )
            return "".join(lines)
        return match["body"]

    def gap(match):
        value = find(match["name"])
        if match["json"]:
            return json.dumps(value)
        return "" if value is None else str(value)

    pattern = r"\{\{#(?P<name>[\w.]+)\}\}\n(?P<body>.*?)\{\{/(?P=name)\}\}\n"
    text = re.sub(pattern, block, template, flags=re.S)
    return re.sub(r"\{\{(?P<name>[\w.]+)(?P<json>\|json)?\}\}", gap, text)


def run_case(folder, build, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it did not run.

    build: returns the deployment for a folder. play: plays the case with or without the
    disruption, and returns what broke the rule, an empty list for nothing.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = None

    def give_up():
        print("not run: no end in time", flush=True)
        if deployment is not None:
            deployment.close()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    watchdog = threading.Timer(LIMIT_SECONDS, give_up)
    watchdog.daemon = True
    try:
        deployment = build(folder)
        watchdog.start()
        deployment.start()
        breaks = play(deployment, has_trouble)
    except Exception as error:
        print(f"not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    else:
        for each in breaks:
            deployment.record("check", each)
            print(each)
        print(f"{len(breaks)} breaks of the rule" if breaks else "the rule held")
        code = BROKEN if breaks else HELD
    finally:
        if deployment is not None:
            deployment.close()
    sys.stdout.flush()
    os._exit(code)
