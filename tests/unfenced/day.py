"""A random day before databases that nothing fences: faults, and what must hold of all that ran."""

import random
from dataclasses import dataclass

from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole
from dewledge.core.pooler.failover.messages import Phase
from dewledge.core.pooler.failover.primary_lease import Fencing
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import StatementKind
from tests.core.pooler.harness import ModelDatabase, ModelScheduler, SessionProbe
from tests.core.pooler.random_day import STEP_SECONDS, RandomClient, RandomDay
from tests.unfenced.model_databases import UnfencedGroup
from tests.unfenced.model_network import PLATFORM, STORE, ModelNetwork
from tests.unfenced.model_process import ModelProcess
from tests.unfenced.model_store import ModelPromotions, ModelStore

PROCESSES = ("a", "b", "c", "d", "e")
SETTLE_SECONDS = 6.0
RECOVER_SECONDS = 25.0
FAULTS = (
    "cut",
    "cut",
    "split",
    "split",
    "cut_leader",
    "minority",
    "minority",
    "minority",
    "minority",
    "freeze",
    "freeze",
    "kill",
    "kill_many",
    "store_down",
    "store_lost",
    "store_late",
    "store_cut",
    "platform_down",
    "crash",
    "dark",
    "drain",
    "drain",
    "lag",
    "heal",
    "heal",
)


@dataclass
class _Harness:
    """What a session's probe needs of a process."""

    services: object
    scheduler: ModelScheduler


class UnfencedDay(RandomDay):
    """Plays a day from a seed; `violations` tells what did not hold."""

    group_type: type[UnfencedGroup] = UnfencedGroup

    def __init__(self, seed: int, faults: tuple[str, ...] = FAULTS) -> None:
        self.random = random.Random(seed)
        self.faults = faults
        self.scheduler = ModelScheduler()
        self.network = ModelNetwork(self.scheduler, self.random)
        self.store = ModelStore(self.scheduler, self.random)
        self.databases = self.group_type(self.network)
        self.group = self.databases  # type: ignore[assignment]
        fences = self.databases.fencing is Fencing.PLATFORM
        self.promotions = ModelPromotions(self.network, self.databases.order, fences)
        self.acknowledged: dict[str, float] = {}
        self.statements: dict[str, tuple[RandomClient, object]] = {}  # type: ignore[assignment]
        self.transactions = 0
        self.clients: list[RandomClient] = []
        self.gone_clients: list[RandomClient] = []
        self.processes: dict[str, ModelProcess] = {}
        self._records: dict[str, DatabaseRecord] = {}
        self._draining: set[str] = set()
        self.played: list[str] = []
        self.databases.role_changed = self._register_databases
        for name in PROCESSES:
            self._start(name)
        self._register_databases()
        self._tell_databases()

    # Processes and their clients.

    def _start(self, name: str) -> None:
        process = ModelProcess(
            name, self.network, self.store, self.promotions, self.databases, self.processes.get
        )
        self.processes[name] = process
        process.start()
        process.configure()
        for consistency in Consistency:
            self._connect(process, consistency)

    def _connect(self, process: ModelProcess, consistency: Consistency) -> None:
        harness = _Harness(process.services, self.scheduler)
        probe = SessionProbe(harness, str(consistency))  # type: ignore[arg-type]
        self.clients.append(RandomClient(self, probe, consistency))

    def _reconnect_refused(self) -> None:
        """Clients whose session was refused come again."""
        for client in [c for c in self.clients if c.probe.client.refused is not None]:
            self.clients.remove(client)
            self.gone_clients.append(client)
            for process in self.processes.values():
                if process.services is client.probe.harness.services:
                    self._connect(process, client.consistency)

    def _kill(self, name: str) -> None:
        process = self.processes[name]
        if not process.loop.alive:
            return
        process.kill()
        kept = [c for c in self.clients if c.probe.harness.services is not process.services]
        self.gone_clients += [c for c in self.clients if c not in kept]
        self.clients = kept
        self.scheduler.call_later(self.random.uniform(0.5, 3.0), lambda: self._start(name))

    # The databases' own records.

    def _register_databases(self) -> None:
        for database in self.databases.databases.values():
            known = self._records.get(database.id)
            draining = database.id in self._draining
            told = None if known is None else (known.role, known.draining)
            serves = not database.silent and not database.refuse_connections
            reaches = self.network.reaches(database.id, STORE) and not self.store.is_down
            if told != (database.role, draining) and serves and reaches:
                self.store.version += 1
                record = self.databases.record(database.id, self.store.version, draining)
                self._records[database.id] = record
                self._tell(record)

    def _tell_databases(self) -> None:
        """The feed of the databases' table comes again and again."""
        self._register_databases()
        for record in self._records.values():
            self._tell(record)
        self.scheduler.call_later(0.7, self._tell_databases)

    def _tell(self, record: DatabaseRecord) -> None:
        if self.store.is_down:
            return
        for process in [each for each in self.processes.values() if self._learns(each)]:

            def deliver(process: ModelProcess = process) -> None:
                process.loop.run(lambda: process.learn(record))

            self.network.carry(STORE, process.name, deliver)

    def _learns(self, process: ModelProcess) -> bool:
        """Returns whether a process reads the databases' table now."""
        return True

    # The day.

    def play(self, seconds: float) -> "UnfencedDay":
        self._advance(SETTLE_SECONDS, with_faults=False)
        self._advance(seconds, with_faults=True)
        self._heal_all()
        self._advance(RECOVER_SECONDS, with_faults=False)
        return self

    def _advance(self, seconds: float, with_faults: bool) -> None:
        end = self.scheduler.time + seconds
        next_fault = self.scheduler.time + self.random.uniform(0.2, 1.0)
        while self.scheduler.time < end:
            self.scheduler.advance(STEP_SECONDS)
            self._reconnect_refused()
            for client in list(self.clients):
                client.act(self.scheduler.time)
            if with_faults and self.scheduler.time >= next_fault:
                self._fault()
                next_fault = self.scheduler.time + self.random.uniform(0.1, 1.5)

    def _fault(self) -> None:
        fault = self.random.choice(self.faults)
        self.played.append(f"{self.scheduler.time:.2f} {fault}")
        getattr(self, f"_fault_{fault}")()

    def _later(self, low: float, high: float, undo: object) -> None:
        self.scheduler.call_later(self.random.uniform(low, high), undo)  # type: ignore[arg-type]

    def _some(self, names: tuple[str, ...], share: float) -> list[str]:
        return [name for name in names if self.random.random() < share]

    def _others(self) -> tuple[str, ...]:
        return (*PROCESSES, *self.databases.databases, STORE, PLATFORM)

    def _fault_cut(self) -> None:
        one = self.random.choice((*PROCESSES, *self.databases.databases))
        cut = {frozenset((one, other)) for other in self._some(self._others(), 0.5) if other != one}
        self.network.cuts |= cut
        self._later(0.5, 6.0, lambda: self.network.cuts.difference_update(cut))

    def _fault_split(self) -> None:
        """Two halves that do not reach each other; both may reach the store."""
        names = (*PROCESSES, *self.databases.databases)
        half = set(self._some(names, 0.5))
        shared = self.random.random() < 0.6
        others = [name for name in names if name not in half]
        if not shared:
            others += [STORE, PLATFORM]
        cut = {frozenset((one, other)) for one in half for other in others}
        self.network.cuts |= cut
        self._later(1.0, 8.0, lambda: self.network.cuts.difference_update(cut))

    def _fault_minority(self) -> None:
        """The leader and a few processes on one side, all others on the other."""
        few = set(self.random.sample(PROCESSES, self.random.randrange(1, 3)))
        few.add(self.databases.leader.id)
        others = [n for n in (*PROCESSES, *self.databases.databases) if n not in few]
        if self.random.random() < 0.5:
            others += [STORE, PLATFORM]
        cut = {frozenset((one, other)) for one in few for other in others}
        self.network.cuts |= cut
        self._later(2.0, 8.0, lambda: self.network.cuts.difference_update(cut))

    def _fault_cut_leader(self) -> None:
        """The leader is cut from the other databases and from some processes."""
        leader = self.databases.leader.id
        names = [*self._some(PROCESSES, 0.6), *self.databases.databases]
        cut = {frozenset((leader, other)) for other in names if other != leader}
        self.network.cuts |= cut
        self._later(1.0, 8.0, lambda: self.network.cuts.difference_update(cut))

    def _fault_store_cut(self) -> None:
        cut = {frozenset((STORE, name)) for name in self._some(PROCESSES, 0.5)}
        self.network.cuts |= cut
        self._later(1.0, 8.0, lambda: self.network.cuts.difference_update(cut))

    def _holders(self) -> list[ModelProcess]:
        acting = (Phase.CLAIMING, Phase.CHOOSING, Phase.RELEASING, Phase.PROMOTING)
        return [
            process
            for process in self.processes.values()
            if process.loop.alive and process.phases and process.phases[-1].phase in acting
        ]

    def _chosen_process(self) -> str:
        holders = self._holders()
        if holders and self.random.random() < 0.7:
            return self.random.choice(holders).name
        return self.random.choice(PROCESSES)

    def _fault_freeze(self) -> None:
        loop = self.processes[self._chosen_process()].loop
        loop.frozen_until = self.scheduler.time + self.random.uniform(0.2, 4.0)

    def _fault_kill(self) -> None:
        self._kill(self._chosen_process())

    def _fault_kill_many(self) -> None:
        for name in self._some(PROCESSES, 0.7):
            self._kill(name)

    def _fault_store_down(self) -> None:
        self.store.is_down = True
        self._later(0.5, 6.0, lambda: setattr(self.store, "is_down", False))

    def _fault_store_lost(self) -> None:
        self.store.loses_answers = True
        self._later(0.5, 6.0, lambda: setattr(self.store, "loses_answers", False))

    def _fault_store_late(self) -> None:
        self.store.is_late = True
        self._later(0.5, 6.0, lambda: setattr(self.store, "is_late", False))

    def _fault_platform_down(self) -> None:
        self.promotions.is_down = True
        self._later(0.5, 4.0, lambda: setattr(self.promotions, "is_down", False))

    def _fault_crash(self) -> None:
        leader = self.databases.leader
        leader.refuse_connections = True
        for transport in self.databases.transports:
            if transport.database is leader:
                transport.break_off()
        self._later(0.3, 7.0, lambda: self._return(leader))

    def _fault_dark(self) -> None:
        database = self.random.choice(list(self.databases.databases.values()))
        database.silent = True
        self._later(0.3, 7.0, lambda: setattr(database, "silent", False))

    def _return(self, database: ModelDatabase) -> None:
        """A crashed database returns with its log, as a replica if another was promoted."""
        database.refuse_connections = False
        is_old = database.applied.term < self.databases.newest_term
        if is_old and database.role is DatabaseRole.PRIMARY:
            self.databases.become_replica(database)

    def _fault_drain(self) -> None:
        leader = self.databases.leader.id
        self._draining.add(leader)
        self._register_databases()

        def end() -> None:
            self._draining.discard(leader)
            self._register_databases()

        self._later(6.0, 7.0, end)

    def _fault_lag(self) -> None:
        name = self.random.choice(list(self.databases.databases))
        self.databases.lag[name] = self.random.choice((0.02, 0.3, 1.0))

    def _fault_heal(self) -> None:
        self.network.heal()
        self.databases.catch_up()

    def _heal_all(self) -> None:
        self.network.heal()
        self.store.is_down = self.store.loses_answers = self.store.is_late = False
        self.promotions.is_down = False
        for database in self.databases.databases.values():
            database.silent = False
            self._return(database)
            self.databases.lag[database.id] = 0.02

    # What must hold.

    def violations(self) -> list[str]:
        return [
            *self._replaced(),
            *self._lower_tokens(),
            *self._shared_tokens(),
            *self._not_serving(),
            *self.databases.brought_back,
            *super().violations(),
        ]

    def _replaced(self) -> list[str]:
        """Writes that a primary committed after another had taken the lead, acknowledged."""
        found = []
        for ran in self.databases.ran:
            _client, asked = self.statements[ran.statement.id]
            reply = asked.reply  # type: ignore[attr-defined]
            if reply is None or reply.failure is not None:
                continue
            kind = ran.statement.kind
            if kind not in (StatementKind.WRITE, StatementKind.COMMIT):
                continue
            if kind is StatementKind.WRITE and ran.in_transaction:
                continue
            later = [e for e in self.databases.effects if e[0] < ran.at]
            if any(term > ran.applied.term for _, _, term in later):
                found.append(f"{ran.database} committed {ran.statement.id} at {ran.at:.2f}")
        return found

    def _lower_tokens(self) -> list[str]:
        tokens = self.promotions.tokens
        return [
            f"token {token} after {max(tokens[:number])}"
            for number, token in enumerate(tokens)
            if number and token < max(tokens[:number])
        ]

    def _shared_tokens(self) -> list[str]:
        users: dict[int, set[str]] = {}
        for token, holder in zip(self.promotions.tokens, self.promotions.holders, strict=True):
            users.setdefault(token, set()).add(holder)
        return [f"token {token} of {names}" for token, names in users.items() if len(names) > 1]

    def _not_serving(self) -> list[str]:
        """Each process serves writes again once all is well."""
        found = []
        now = self.scheduler.time
        for process in self.processes.values():
            primary = process.group.usable_primary
            if primary is None or primary.id != self.databases.leader.id:
                known = None if primary is None else primary.id
                lease = process.leases.of("menus")
                found.append(
                    f"{process.name} uses {known}, {self.databases.leader.id} leads; "
                    f"word {now - lease.confirmed_at:.1f} s old, claim {lease.claim}, "
                    f"phase {process.phases[-1:]}"
                )
        return found
