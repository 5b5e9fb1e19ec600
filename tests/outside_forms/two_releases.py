"""Poolers of two source trees at work together; run by hand, never by the tests.

    python -m tests.outside_forms.two_releases OLD_TREE NEW_TREE

Each tree is a folder with `src`. Four real processes, two of each tree, stand before the stand-in
store and databases of the tests, so that few hold connections and few read the store. All checks
are made twice, the trees changing places. Exits with 1 if one of them failed.
"""

import json
import re
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from collections.abc import Callable, Sequence
from pathlib import Path

from tests.platform.table_store import TableStore
from tests.platform.test_pooler_process import free_address
from tests.platform.wire_databases import WireClient, WireGroup, wait_until

READING = ("node-1", "node-3")
"""Of the four names the two whose processes read the store; the others follow the first."""
FOLLOWING = ("node-2", "node-4")
LATER = ("node-5", "node-6")
"""Started after the claim, one of each tree."""
KEY, LIMITED_KEY = "a-key-of-one", "a-key-of-two"
RATE, BURST, ASKED_SECONDS = 10.0, 5.0, 5.0
MOST_SERVED = RATE * ASKED_SECONDS + 2 * BURST + 1
LEAST_SERVED = RATE * ASKED_SECONDS * 0.75
START_SECONDS = 20.0
FAULT_WORDS = re.compile(
    r"link_refused|table_news_refused|_fault\b|effect_failed|callback_failed|_refused level"
    r"|Traceback|configuration_refused|database_entry_refused"
)


class Release:
    """One process of one tree."""

    def __init__(self, name: str, tree: Path, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.tree = tree
        self.client_address, self.metrics_address = free_address(), free_address()
        self.peer_address = free_address()
        self._log = folder / f"{name}.log"
        file = folder / f"{name}.toml"
        file.write_text(
            f'name = "{name}"\nzone = "{zone}"\nclient_address = "{self.client_address}"\n'
            f'ready_address = "{free_address()}"\npeer_address = "{self.peer_address}"\n'
            f'metrics_address = "{self.metrics_address}"\nstore_address = "{store}"\n'
            f'duty_address = "{store}"\npromotions_fenced = true\n'
            '[timings]\nstop_bound = 1.0\n[zones]\nnorth = "r"\nmiddle = "r"\nsouth = "r"\n'
        )
        command = [sys.executable, "src", "pooler", "--config", str(file)]
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=tree, env={"PYTHONPATH": str(tree / "src")}, stdout=log, stderr=log
            )

    def metric(self, name: str) -> float:
        url = f"http://{self.metrics_address}/metrics"
        try:
            with urllib.request.urlopen(url, timeout=2) as answer:
                text = answer.read().decode()
        except OSError:
            return -1.0
        found = re.search(rf"^dewledge_{name} (\S+)$", text, re.MULTILINE)
        return float(found[1]) if found else -1.0

    def client(self, database: str, key: str = KEY) -> WireClient:
        return WireClient(self.client_address, database, key=key)

    def lines(self, event: str) -> list[str]:
        return [line for line in self.log.splitlines() if f" event={event} " in f"{line} "]

    @property
    def log(self) -> str:
        return self._log.read_text()

    def stop(self) -> None:
        self._process.kill()
        self._process.wait(10.0)


class Arrangement:
    """Four processes: one tree reads the store and stands in one zone, the other in another."""

    def __init__(self, reading: Path, following: Path, folder: Path) -> None:
        self.failed = 0
        self.store = TableStore()
        self.group = WireGroup("menus", self.store)
        self.version = 0
        self.configure("lists")
        self.place = (self.store.address, folder)
        self.near = [Release(name, reading, "north", *self.place) for name in READING]
        self.far = [Release(name, following, "south", *self.place) for name in FOLLOWING]
        self.all = [*self.near, *self.far]

    def configure(self, name: str) -> None:
        self.version += 1
        kinds = (("orders", "primary"), (name, "read_own_writes"))
        routes = [
            {
                "name": f"r-{host}",
                "host": host,
                "type": kind,
                "timeoutMs": 2000,
                "targetLatencyMs": 1000,
                "priority": 1,
                "service": "menus",
            }
            for host, kind in kinds
        ]
        tenants = [
            {"name": "one", "apiKeys": [KEY], "ratePerS": 5000, "burst": 5000},
            {"name": "two", "apiKeys": [LIMITED_KEY], "ratePerS": RATE, "burst": BURST},
        ]
        services = [{"name": "menus", "maxConnections": 10}]
        value = {"version": self.version, "routes": routes, "services": services}
        self.store.put("op", "config", {**value, "tenants": tenants})

    def check(self, text: str, done: Callable[[], bool | str]) -> None:
        try:
            found = done()
        except (OSError, ValueError, IndexError) as error:
            found = f"{type(error).__name__}: {error}"
        is_ok = found is True
        self.failed += not is_ok
        told = "" if isinstance(found, bool) else f" ({found})"
        print(f"{'ok' if is_ok else 'failed'}: {text}{told}", flush=True)

    def run(self) -> None:
        self.check("all four know each other", self._know_each_other)
        for writer, reader in ((self.far, self.near), (self.near, self.far)):
            self.check(
                f"written at {writer[0].name}, read at {reader[0].name}",
                lambda w=writer, r=reader: self._write_and_read(w[0], r[0]),  # type: ignore[misc]
            )
        self.check("statements went through a connection of the other tree", self._have_lent)
        self.check("one followed the other tree's tables", self._have_followed)
        self.check("a change of the configuration is in force at all", self._change)
        self.check("one rate limit is kept over both trees", self._limit)
        for alone in (self.near[0], self.far[0]):
            self.check(
                f"the whole limit is granted at {alone.name} alone, by the votes of both trees",
                lambda at=alone: self._whole_limit(at),  # type: ignore[misc]
            )
        self.check("a claim of one is known at the others", self._claim)
        self.check("a later process of each tree reads the claim's row", self._read_claim_row)
        self.check("no process refused another's bytes or failed", self._no_fault)

    def _know_each_other(self) -> bool:
        return wait_until(
            lambda: all(each.metric("members") == len(self.all) for each in self.all),
            START_SECONDS,
        ) and wait_until(lambda: all(each.metric("ready") == 1 for each in self.all))

    def _write_and_read(self, writer: Release, reader: Release) -> bool | str:
        value = f"v-{writer.name}"
        for database in ("orders", "lists"):
            session, other = writer.client(database), reader.client("orders")
            try:
                written = session.ask(f"WRITE fish {value}{database}")
                own = session.ask("READ fish")
                read = other.ask("READ fish")
            finally:
                session.close()
                other.close()
            wanted = f"DATAROW {value}{database}"
            if "COMPLETE" not in written[1] or own[0] != wanted or read[0] != wanted:
                return f"{written} {own} {read}"
        return True

    def _have_lent(self) -> bool | str:
        lent = {each.name: each.metric("channels_lent") for each in self.all}
        return max(lent[each.name] for each in self.near) > 0 or str(lent)

    def _have_followed(self) -> bool | str:
        sources = {each.peer_address for each in self.near} | {each.name for each in self.near}
        followed = [line for each in self.far for line in each.lines("tables_followed")]
        found = any(f"source={source} " in line for line in followed for source in sources)
        return found or str(followed)

    def _change(self) -> bool | str:
        self.configure("lists-2")
        for each in self.all:
            if not wait_until(lambda at=each: _is_let_in(at, "lists-2")):  # type: ignore[misc]
                return each.name
        return True

    def _limit(self) -> bool | str:
        served = self._served_in(self.all)
        print(f"    served at {RATE:.0f}/s in {ASKED_SECONDS:.0f} s: {json.dumps(served)}")
        total = sum(served.values())
        return (LEAST_SERVED <= total <= MOST_SERVED and all(served.values())) or str(total)

    def _served_in(self, asked: Sequence[Release]) -> dict[str, int]:
        """Returns what the limited tenant had served at each, asking all the time."""
        served = dict.fromkeys((each.name for each in asked), 0)
        end = time.monotonic() + ASKED_SECONDS

        def ask(each: Release) -> None:
            client = each.client("orders", LIMITED_KEY)
            while time.monotonic() < end:
                served[each.name] += "COMPLETE" in " ".join(client.ask("WRITE soup hot"))
            client.close()

        threads = [threading.Thread(target=ask, args=(each,), daemon=True) for each in asked]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(ASKED_SECONDS + 10)
        return served

    def _whole_limit(self, alone: Release) -> bool | str:
        """One process gets the whole limit; half of it where votes of the others don't count."""
        served = self._served_in([alone])[alone.name]
        print(f"    served at {alone.name} alone: {served}")
        return LEAST_SERVED <= served <= MOST_SERVED or str(served)

    def _claim(self) -> bool | str:
        self.group.databases["north"].crash()
        for each in self.all:
            if not wait_until(lambda at=each: _writes(at), 15.0):  # type: ignore[misc]
                return f"{each.name} writes no more"
        if not self.store.promotions:
            return "nothing was promoted"
        _, _, holder, fence = self.store.promotions[-1]
        print(f"    the claim was written by {holder} as token {fence}")
        others = [each for each in self.all if each.name != holder]

        def all_know() -> bool:
            return all(
                any(f"holder={holder} " in line for line in each.lines("claim_known"))
                for each in others
            )

        return wait_until(all_know) or str({e.name: e.lines("claim_known") for e in others})

    def _read_claim_row(self) -> bool | str:
        """Nobody tells these of the claim, so that they know it from the store."""
        for name, known in zip(LATER, (self.near[0], self.far[0]), strict=True):
            later = Release(name, known.tree, "middle", *self.place)
            self.all.append(later)
            if not wait_until(lambda at=later: bool(at.lines("claim_known")), START_SECONDS):  # type: ignore[misc]
                return f"{name}, of the tree of {known.name}, does not know it"
            if later.lines("claim_told"):
                return f"{name} was told of the claim, so that nothing is shown"
        return True

    def _no_fault(self) -> bool | str:
        found = [
            f"{each.name} {line}"
            for each in self.all
            for line in each.log.splitlines()
            if FAULT_WORDS.search(line) or " level=error " in f" {line}"
        ]
        return not found or str(found[:5])

    def close(self) -> None:
        for each in self.all:
            each.stop()
        self.group.close()
        self.store.close()


def _is_let_in(each: Release, database: str) -> bool:
    client = each.client(database)
    client.close()
    return client.greeting.startswith("READY")


def _writes(each: Release) -> bool:
    client = each.client("orders")
    try:
        return "COMPLETE" in " ".join(client.ask(f"WRITE fish after-{each.name}"))
    finally:
        client.close()


def main(arguments: Sequence[str]) -> int:
    old, new = (Path(path).resolve() for path in arguments)
    trees = {"old": old, "new": new}
    failed = 0
    for reading, following in (("old", "new"), ("new", "old")):
        print(f"{' '.join(READING)}: {reading}; {' '.join(FOLLOWING)}: {following}")
        with tempfile.TemporaryDirectory() as folder:
            arrangement = Arrangement(trees[reading], trees[following], Path(folder))
            try:
                arrangement.run()
            finally:
                arrangement.close()
            failed += arrangement.failed
    print(f"{failed} checks failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
