"""Case 1: with `syncReplicas` 1, a planned change of the primary loses acknowledged commits."""

import asyncio
import math
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from deployment import (  # noqa: E402
    Database,
    Duty,
    Pooler,
    Record,
    Service,
    Session,
    Store,
    end_on_signals,
    ignore_loop_errors,
    new_id,
    settings_of,
    temporary_folder,
    until_ready,
)

ZONES = {"accra-hall-a": "accra", "kumasi-hall-b": "kumasi", "tamale-hall-c": "tamale"}
BOUNDS = {"drainTimeoutMs": 7000, "graceS": 6, "configApplyMs": 4000, "fencingRequired": True}
ROUNDS = 6
DEAF_AFTER_SECONDS = 0.3
DEAF_SECONDS = 6.0
DRAIN_SECONDS = 8.0
ROUND_SECONDS = 13.0
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Kind:
    """A kind of requests of the sheet, for one service of three."""

    def __init__(self, host, per_s, work_ms, work_max_ms, write_share, sessions, give_up):
        self.host, self.per_s, self.work_ms, self.work_max_ms = host, per_s, work_ms, work_max_ms
        self.write_share, self.sessions, self.give_up = write_share, sessions, give_up

    def work(self) -> float:
        spread = 0.7
        drawn = random.lognormvariate(math.log(self.work_ms) - spread**2 / 2, spread)
        return min(drawn, self.work_max_ms) / 1000


KINDS = [
    Kind("permits", 33.8 / 3, 6, 45, 0.35, 12, 4.0),
    Kind("lookup", 33.8 / 3, 30, 220, 0.0, 12, 6.0),
    Kind("amend", 158 / 3, 18, 45, 0.12, 24, 4.0),
]


class Clients:
    """Sessions that send single statements at the sheet's rates."""

    def __init__(self, service: Service, poolers: list[Pooler], record: Record) -> None:
        self.service, self.poolers, self.record = service, poolers, record
        self.acknowledged: list[str] = []
        self.answers: dict[str, int] = {}
        self.factor = 1.0
        self.ended = False

    async def run(self, kind: Kind, number: int) -> None:
        pooler = self.poolers[number % len(self.poolers)]
        session = None
        while not self.ended:
            pause = random.expovariate(kind.per_s * self.factor / kind.sessions)
            await asyncio.sleep(pause)
            try:
                if session is None:
                    session = await Session.open(pooler.client_address, kind.host)
                await self._operation(session, kind)
            except (OSError, asyncio.TimeoutError) as error:
                self._count(f"{kind.host} {type(error).__name__}")
                if session is not None:
                    session.close()
                session = None

    async def _operation(self, session: Session, kind: Kind) -> None:
        """One operation, retried whole with a new id after a promise, twice at most."""
        writes = random.random() < kind.write_share
        began = time.monotonic()
        for _ in range(3):
            statement_id = new_id()
            self.service.works[statement_id] = kind.work()
            text = (
                f"WRITE t{random.randrange(2000)} d"
                if writes
                else f"READ t{random.randrange(2000)}"
            )
            lines = await session.ask(statement_id, text, kind.give_up)
            word = lines[-2].split(" ")[0 if lines[-2].startswith("COMPLETE") else 1]
            self._count(f"{kind.host} {'write' if writes else 'read'} {word}")
            if writes:
                self.record.line(f"answer {statement_id} {kind.host} {word}")
            if word == "COMPLETE":
                if writes:
                    self.acknowledged.append(statement_id)
                return
            if word not in ("BUSY", "ABORTED", "LAGGING", "READONLY"):
                return
            if time.monotonic() > began + kind.give_up:
                return
            await asyncio.sleep(0.1)

    def _count(self, answer: str) -> None:
        self.answers[answer] = self.answers.get(answer, 0) + 1


class Judge:
    """The rule LOST: the promoted database's log holds every acknowledged commit."""

    def __init__(self, clients: Clients, record: Record) -> None:
        self.clients, self.record = clients, record
        self.promotions = 0
        self.lost: list[str] = []

    def on_promoted(self, chosen: Database) -> None:
        self.promotions += 1
        log = set(chosen.log)
        lacking = [each for each in self.clients.acknowledged if each not in log]
        lacking = [each for each in lacking if each not in self.lost]
        self.lost += lacking
        self.record.line(f"judged promoted={chosen.name} acknowledged_but_lacking={len(lacking)}")
        for each in lacking:
            self.record.line(f"LOST {each}")


async def play(record: Record, folder: Path) -> int:
    ignore_loop_errors()
    store = Store()
    await store.start()
    service = Service("core1", store, record, list(ZONES), 3, 36, 1, 1.0)
    duty = Duty(service, record, True)
    await duty.start()
    store.put(
        "op",
        "config",
        {
            "version": 7,
            "routes": [
                route("permits", "primary", 800, 600, 1, 0),
                route("lookup", "bounded_staleness", 2000, 1000, 2, 1500),
                route("amend", "read_own_writes", 800, 1000, 2, 2500),
            ],
            "services": [{"name": "core1", "maxConnections": 36, "syncReplicas": 1}],
            "limits": {"txIdleMs": 3000},
        },
    )
    await service.start()
    settings = settings_of(store, duty, ZONES, BOUNDS)
    poolers = [Pooler(f"frontend-{zone}-1", zone, settings, folder) for zone in ZONES]
    clients = Clients(service, poolers, record)
    judge = Judge(clients, record)
    service.on_promoted = judge.on_promoted
    try:
        for pooler in poolers:
            pooler.start()
        if not await until_ready(poolers):
            return 2
        await asyncio.sleep(3.0)
        tasks = [
            asyncio.create_task(clients.run(kind, number))
            for kind in KINDS
            for number in range(kind.sessions)
        ]
        await asyncio.sleep(3.0)
        for _ in range(ROUNDS):
            await play_round(service, clients, record)
        clients.ended = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    finally:
        for pooler in poolers:
            pooler.end()
    for answer, count in sorted(clients.answers.items()):
        record.line(f"answers {answer}: {count}")
    record.line(f"acknowledged {len(clients.acknowledged)} promotions {judge.promotions}")
    record.line(f"lost {len(judge.lost)}")
    summary = f"promotions {judge.promotions}, lost {len(judge.lost)}"
    print(f"acknowledged {len(clients.acknowledged)}, {summary}")
    if not clients.acknowledged or not judge.promotions:
        return 2
    return 1 if judge.lost else 0


async def play_round(service: Service, clients: Clients, record: Record) -> None:
    """Replaces the primary as planned work; a replica receives nothing for a while meanwhile."""
    started = time.monotonic()
    primary = service.leader()
    primary.state = "draining"
    primary.announce()
    record.line(f"draining {primary.name}")
    await asyncio.sleep(DEAF_AFTER_SECONDS)
    if HAS_TROUBLE:
        replicas = [each for each in service.databases.values() if each is not primary]
        deaf = random.choice(replicas)
        deaf.deaf = True
        record.line(f"deaf {deaf.name}")
        await asyncio.sleep(DEAF_SECONDS)
        deaf.deaf = False
        record.line(f"hears {deaf.name}")
    await asyncio.sleep(max(started + DRAIN_SECONDS - time.monotonic(), 0.0))
    if primary.leads:
        record.line(f"still leads {primary.name}")
        primary.state = "ready"
        primary.announce()
    else:
        await service.replace(primary)
    await asyncio.sleep(max(started + ROUND_SECONDS - time.monotonic(), 0.0))


def route(host, kind, timeout, target, priority, staleness) -> dict:
    return {
        "name": f"r-{host}",
        "host": host,
        "pathPrefix": "/",
        "type": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": target,
        "priority": priority,
        "service": "core1",
        "maxAttempts": 2,
        "maxStalenessMs": staleness,
    }


def main() -> int:
    end_on_signals()
    record = Record(Path(__file__).with_name("record.txt"))
    with temporary_folder() as folder:
        try:
            return asyncio.run(play(record, Path(folder)))
        except Exception as error:
            print(f"the case could not run: {error!r}", file=sys.stderr)
            return 2
        finally:
            record.close()


if __name__ == "__main__":
    sys.exit(main())
