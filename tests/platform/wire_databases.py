"""Stand-in databases that speak the wire on loopback, with one log, terms and promotions."""

import contextlib
import socket
import threading
import time
from collections.abc import Callable

from tests.platform.table_store import TableStore

ROLE_WORDS = {True: "primary", False: "replica"}
ROLE_STATEMENTS = ("STATUS", "STEPDOWN", "PAUSE", "RESUME")
NO_ANSWER = [""]
"""Lines of a commit that waits for a synchronous replica until the connection ends."""


class WireDatabase:
    """One database of a group; a thread for each connection."""

    def __init__(self, group: "WireGroup", name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.leads = False
        self.applied = (1, 0)
        self.values: dict[str, str] = {}
        self.state = "ready"
        self.lose_answers = 0
        self.late_answers: list[float] = []
        """Seconds by which the next answers to clients' statements come late."""
        self.row_count = 1
        """Rows of an answer."""
        self.slots = 1000
        self.busy = 0
        self.work_seconds = 0.0
        self.lag_seconds = 0.0
        self.alive = True
        self.silent = False
        """Whether open connections get no answer."""
        self.receives = True
        self.stopped_term = 0
        """Term under which replication stopped, 0 while it goes on."""
        self.status_seconds = 0.0
        """Seconds by which answers on role and replication come late."""
        self.log: list[str] = []
        self.ran: list[str] = []
        self.callers: list[str] = []
        """What each STARTUP said of whose statements come."""
        self._sequence = 0
        self._connections: set[socket.socket] = set()
        self._listen(0)

    def fall_silent(self) -> None:
        """Answers nothing more on open connections, and accepts none, until `wake`."""
        self.silent = True
        self._close_listener()

    def wake(self) -> None:
        """Answers again, also what was asked meanwhile."""
        self._listen(int(self.address.rpartition(":")[2]))
        self.silent = False

    def _listen(self, port: int) -> None:
        self._listener = socket.create_server(("127.0.0.1", port))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def come_back(self) -> None:
        """Starts again after a crash, as a replica with its log."""
        self.alive = True
        self.leads = False
        self._connections.clear()
        self._listen(0)
        self.announce()

    def announce(self) -> None:
        self._sequence += 1
        self.group.store.put(
            "servers",
            self.name,
            {
                "service": self.group.name,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "coldRemainingMs": 0,
                "dbRole": ROLE_WORDS[self.leads],
                "callSeq": self._sequence,
            },
        )

    def crash(self) -> None:
        self.alive = False
        self._close_listener()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _close_listener(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        listener = self._listener
        while self.alive:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(target=_WireSession(self, connection).run, daemon=True).start()


class _WireSession:
    def __init__(self, database: WireDatabase, connection: socket.socket) -> None:
        self.database = database
        self.connection = connection
        self.state = "I"
        self.plain = False
        self.names: dict[str, str] = {}
        self.written: list[str] = []

    def run(self) -> None:
        try:
            for line in self.connection.makefile("r", encoding="latin-1", newline="\r\n"):
                if not self._take(line.rstrip("\r\n")):
                    return
        except (OSError, ValueError):
            return

    def _take(self, line: str) -> bool:
        while self.database.silent and self.database.alive:
            time.sleep(0.02)
        word, _, rest = line.partition(" ")
        if word == "STARTUP":
            fields = rest.split(" ")
            self.database.callers.append(fields[1] if len(fields) > 1 else "")
            wrong = fields[0] != self.database.group.name
            wrong = wrong or (len(fields) > 2 and fields[2] != self.database.name)
            self._send("ERROR WRONGNODE -" if wrong else self._ready())
            return not wrong
        statement_id, _, text = rest.partition(" ")
        if text.split(" ")[0] in ROLE_STATEMENTS:
            time.sleep(self.database.status_seconds)
        if not self._enter_slot(text):
            self._send("ERROR BUSY -", self._ready())
            return True
        try:
            with self.database.group.lock:
                lines = self._run(statement_id, text)
        finally:
            self._leave_slot(text)
        if lines == NO_ANSWER:
            return True
        if statement_id != "-" and self.database.late_answers:
            time.sleep(self.database.late_answers.pop(0))
        if statement_id != "-" and self.database.lose_answers:
            self.database.lose_answers -= 1
            return True
        self._send(*lines, self._ready())
        return True

    def _enter_slot(self, text: str) -> bool:
        if not _holds_slot(text):
            return True
        with self.database.group.lock:
            if self.database.busy >= self.database.slots:
                return False
            self.database.busy += 1
        time.sleep(self.database.work_seconds)
        return True

    def _leave_slot(self, text: str) -> None:
        if _holds_slot(text):
            with self.database.group.lock:
                self.database.busy -= 1

    def _run(self, statement_id: str, text: str) -> list[str]:
        database = self.database
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = position.split(".")
            if database.applied < (int(term), int(number)):
                return ["ERROR LAGGING -"]
        word, _, rest = text.partition(" ")
        if word == "BEGIN":
            if not rest and not database.leads:
                return [f"ERROR READONLY {database.name}"]
            self.state, self.plain = "T", not rest
        elif word == "ROLLBACK":
            self.state, self.written = "I", []
        elif word in ROLE_STATEMENTS:
            return self._run_role_statement(word, rest)
        elif word == "PARSE":
            name, access, _ = rest.split(" ", 2)
            self.names[name] = access
        elif word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return self._work(statement_id, word, rest)
        return ["COMPLETE -"]

    def _run_role_statement(self, word: str, argument: str) -> list[str]:
        database = self.database
        term, number = database.applied
        if word == "STEPDOWN":
            database.group.stepped_down.append(database.name)
            database.leads = database.leads and term >= int(argument)
        elif word == "PAUSE" and term < int(argument) and not database.leads:
            database.stopped_term = int(argument)
        elif word == "RESUME":
            database.stopped_term = 0
        role = ROLE_WORDS[database.leads]
        row = f"{role} {term} {term}.{number} {database.stopped_term} 0 0 1"
        return [f"DATAROW {row}", "COMPLETE -"]

    def _work(self, statement_id: str, word: str, rest: str) -> list[str]:
        database = self.database
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.names:
                return ["ERROR NOSTMT -"]
            writes = self.names[name] == "WRITE"
        if not database.leads and (writes or (self.state == "T" and self.plain)):
            if self.state == "T":
                self.state = "E"
            return [f"ERROR READONLY {database.name}"]
        database.ran.append(f"{statement_id} {word} {rest}")
        if word == "COMMIT":
            self.state = "I"
            written, self.written = self.written, []
            if not database.group.commit(written, database):
                return NO_ANSWER
        elif writes and self.state == "T":
            self.written.append(rest)
        elif writes and not database.group.commit([rest], database):
            return NO_ANSWER
        thing = rest.partition(" ")[0]
        value = database.values.get(thing, "none")
        rows = [f"DATAROW {value}"] * database.row_count
        return [*rows, f"COMPLETE signed.{statement_id}"]

    def _ready(self) -> str:
        term, number = self.database.applied
        return f"READY {self.state} {term}.{number}"

    def _send(self, *lines: str) -> None:
        self.connection.sendall("".join(f"{line}\r\n" for line in lines).encode("latin-1"))


def _holds_slot(text: str) -> bool:
    words = text.split(" ")
    word = words[2] if words[0] == "AFTER" else words[0]
    return word in ("READ", "WRITE", "EXECUTE", "COMMIT")


class WireGroup:
    """Three databases; replicas have a commit at once, or `lag_seconds` later.

    fences: a promotion takes the lead from the old primary; else that goes on until it is told to
    step down, or for a second. synchronous_replicas: how many replicas must receive a commit before
    it is answered.
    """

    def __init__(
        self,
        name: str,
        store: TableStore,
        promote_seconds: float = 0.1,
        fences: bool = True,
        synchronous_replicas: int = 0,
    ) -> None:
        self.name = name
        self.fences = fences
        self.synchronous_replicas = synchronous_replicas
        self.stepped_down: list[str] = []
        self.committed_late: list[str] = []
        """What an old primary committed after another had taken the lead."""
        self.store = store
        self.lock = threading.Lock()
        self._promote_seconds = promote_seconds
        self.databases = {
            zone: WireDatabase(self, f"i-{zone}", zone) for zone in ("north", "middle", "south")
        }
        self.databases["north"].leads = True
        for database in self.databases.values():
            database.announce()
        store.on_promote = self.promote

    def commit(self, written: list[str], origin: WireDatabase) -> bool:
        """Returns whether the commit is answered: enough replicas have received it."""
        if not written:
            return True
        newest = max(database.applied[0] for database in self.databases.values())
        if origin.applied[0] < newest:
            self.committed_late += written
            self._apply(origin, written)
            return True
        received = 0
        for database in self.databases.values():
            if not database.alive:
                continue
            if not database.leads and (not database.receives or database.stopped_term):
                continue
            if database.leads or not database.lag_seconds:
                self._apply(database, written)
                received += not database.leads
            else:
                timer = threading.Timer(
                    database.lag_seconds, self._apply_later, (database, written)
                )
                timer.daemon = True
                timer.start()
        return received >= self.synchronous_replicas

    def _apply_later(self, database: WireDatabase, written: list[str]) -> None:
        with self.lock:
            self._apply(database, written)

    def _apply(self, database: WireDatabase, written: list[str]) -> None:
        database.applied = (database.applied[0], database.applied[1] + 1)
        for each in written:
            thing, _, value = each.partition(" ")
            database.values[thing] = value
            database.log.append(value)

    def promote(self, name: str) -> bool:
        chosen = next(d for d in self.databases.values() if d.name == name)
        if not chosen.alive:
            return False

        def take_over() -> None:
            time.sleep(self._promote_seconds)
            with self.lock:
                if chosen.leads:
                    return
                applied = (chosen.applied[0] + 1, chosen.applied[1])
                for database in self.databases.values():
                    if database.leads and not self.fences:
                        self._end_later(database)
                        continue
                    database.leads = database is chosen
                    if not database.alive:
                        continue
                    database.applied = applied
                    database.stopped_term = 0
            for database in self.databases.values():
                if database.alive:
                    database.announce()

        threading.Thread(target=take_over, daemon=True).start()
        return True

    def _end_later(self, database: WireDatabase) -> None:
        """An old primary that nobody tells becomes a replica a second later."""

        def end() -> None:
            with self.lock:
                database.leads = False
                database.applied = max(each.applied for each in self.databases.values())

        timer = threading.Timer(1.0, end)
        timer.daemon = True
        timer.start()

    def close(self) -> None:
        for database in self.databases.values():
            database.crash()


class WireClient:
    """A client of the wire, for tests."""

    def __init__(
        self, address: str, database: str, timeout: float = 5.0, key: str = "test"
    ) -> None:
        host, port = address.rsplit(":", 1)
        self.connection = socket.create_connection((host, int(port)), timeout=timeout)
        self._lines = self.connection.makefile("r", encoding="latin-1", newline="\r\n")
        self._next = 0
        self.send(f"STARTUP {database} {key}")
        self.greeting = self.line()

    def send(self, line: str) -> None:
        self.connection.sendall(f"{line}\r\n".encode("latin-1"))

    def line(self) -> str:
        return self._lines.readline().rstrip("\r\n")

    def ask(self, text: str) -> list[str]:
        self._next += 1
        self.send(f"QUERY {self._next:016x} {text}")
        lines = [self.line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(self.line())
        return lines

    def close(self) -> None:
        self._lines.close()
        self.connection.close()


def wait_until(condition: Callable[[], bool], seconds: float = 5.0) -> bool:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return condition()
