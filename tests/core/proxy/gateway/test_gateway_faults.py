"""Promises of the gateway under faults drawn at random, over many seeds.

Elections, cut-off primaries, lost, late, doubled and reordered results and readings, and a gateway
that is frozen between any two steps. The verdict comes from the databases' logs.
"""

import heapq
import unittest
from collections import Counter
from collections.abc import Callable
from random import Random

from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.effects import ReadStatuses
from dewledge.core.proxy.jobs import Job, JobDone, JobNotRun, JobResult, JobUnknown
from dewledge.core.proxy.messages import StatementDone, StatementNotRun
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_group_model import ModelDatabase, ModelGroup
from tests.core.proxy.gateway.gateway_harness import (
    DATABASES,
    GROUP,
    FixedPlacement,
    FixedPolicy,
    GatewayHarness,
    make_configuration,
)

SEEDS = 60
DURATION = 8.0
Key = tuple[str, int]


class FaultRun:
    """One seeded run: a gateway, a model group, and a queue of events between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.group = ModelGroup(self.random)
        self.harness = GatewayHarness(seed=seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.thaw_at = 0.0
        self.runs: Counter[int] = Counter()
        self.writes: dict[Key, int] = {}
        self.keyed: set[int] = set()
        self.reads: dict[Key, set[int]] = {}
        self.next_write = 0
        self.open_writes: dict[int, list[int]] = {}
        self.transaction_of: dict[int, Key] = {}
        self.commits: dict[Key, set[int]] = {}
        self.mixed: list[list[int]] = []
        self.drained: tuple[str, ...] = ()
        self.run_while_drained: list[Job] = []
        self.harness.configure(make_configuration(slots=3), ready=False)

    def run(self) -> None:
        """Runs faults and load, then heals everything and lets every request end."""
        start = self.harness.now
        for _ in range(250):
            self.at(start + self.random.uniform(0.1, DURATION), self.offer)
        for _ in range(240):
            self.at(start + self.random.uniform(0, DURATION), self.group.replicate)
        for _ in range(self.random.randrange(12)):
            self.at(start + self.random.uniform(0, DURATION), self.group.elect)
            self.at(start + self.random.uniform(0, DURATION), self.group.change_links)
        for _ in range(self.random.randrange(4)):
            self.at(start + self.random.uniform(0, DURATION), self.freeze)
            moved_at = start + self.random.uniform(0, DURATION)
            self.at(moved_at, lambda: self.to_gateway(self.reconfigure))
            back_at = moved_at + self.random.uniform(0.2, 1.5)
            self.at(back_at, lambda: self.to_gateway(self.restore))
        for _ in range(25):
            self.at(start + self.random.uniform(0.1, DURATION), self.offer_transaction)
        self.at(start + DURATION, self.heal)
        for step in range(20):
            self.at(start + DURATION + 0.5 * step, self.group.replicate)
        self.drain_events(start + DURATION + 200.0)

    def at(self, when: float, action: Callable[[], None]) -> None:
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, action))

    def later(self, action: Callable[[], None], longest: float = 0.02) -> None:
        delay = self.random.uniform(0.0005, longest)
        if self.random.random() < 0.03:
            delay *= 50
        self.at(self.harness.now + delay, action)

    def to_gateway(self, action: Callable[[], None]) -> None:
        """Delivers to the gateway, after its freeze if it is frozen."""
        if self.harness.now < self.thaw_at:
            self.at(self.thaw_at + self.random.uniform(0, 0.001), lambda: self.to_gateway(action))
        else:
            action()

    def freeze(self) -> None:
        length = self.random.choice((0.05, 0.5, 3.0, 60.0))
        self.thaw_at = max(self.thaw_at, self.harness.now + length)

    def reconfigure(self) -> None:
        """Moves the databases to another gateway, or drains one, or both, or neither."""
        away = self.random.random() < 0.3
        self.drained = (self.random.choice(DATABASES),) if self.random.random() < 0.5 else ()
        self.harness.configure(
            make_configuration(slots=3),
            FixedPolicy(*self.drained),
            FixedPlacement("there", "here") if away else FixedPlacement(),
            ready=False,
        )

    def restore(self) -> None:
        self.drained = ()
        self.harness.configure(make_configuration(slots=3), ready=False)

    def heal(self) -> None:
        self.group.cut_off = set()
        self.group.elect()

    def drain_events(self, end: float) -> None:
        while True:
            self.carry_out()
            wake = self.harness.gateway.next_wake()
            wake = end if wake is None else max(wake, self.thaw_at, self.harness.now)
            event = self.events[0][0] if self.events else end
            when = min(wake, event)
            if when >= end:
                return
            self.harness.now = max(self.harness.now, when)
            if event <= wake:
                heapq.heappop(self.events)[2]()
            else:
                self.harness.tick()

    def carry_out(self) -> None:
        """Lets the shell carry out the gateway's effects, each in its own time."""
        harness = self.harness
        for opening in harness.opening:
            identity = opening.connection_id
            self.later(lambda identity=identity: self.to_gateway(lambda: self.opened(identity)))
        for job in harness.jobs:
            database = harness.connection_databases[job.connection_id]
            if database in self.drained and job.connection_id not in self.open_writes:
                self.run_while_drained.append(job)
            self.later(lambda job=job: self.to_gateway(lambda: self.execute(job)))
        for status_round in harness.rounds:
            for name in status_round.databases:
                self.later(
                    lambda each=status_round, name=name: self.to_gateway(
                        lambda: self.read_status(each, name)
                    )
                )
        harness.opening, harness.jobs, harness.rounds = [], [], []

    def opened(self, connection: int) -> None:
        self.harness.take(
            self.harness.gateway.handle_connection_opened(connection, self.harness.now)
        )

    def read_status(self, status_round: ReadStatuses, name: str) -> None:
        found = self.group.databases[name].status() if self.random.random() < 0.95 else None
        for _ in range(self.copies()):
            self.later(
                lambda: self.to_gateway(lambda: self.harness.read_status(status_round, name, found))
            )

    def copies(self) -> int:
        return 2 if self.random.random() < 0.05 else 1

    def execute(self, job: Job) -> None:
        result = self.result_of(job)
        for _ in range(self.copies()):
            self.later(lambda: self.to_gateway(lambda: self.report(job, result)))

    def report(self, job: Job, result: JobResult) -> None:
        self.harness.report(job, result)

    def result_of(self, job: Job) -> JobResult:
        database = self.group.databases[self.harness.connection_databases[job.connection_id]]
        lost = JobUnknown(job.job_id, ErrorCode.CONNECTION_LOST, "lost")
        if job.connection_id in self.harness.closed or self.random.random() < 0.03:
            return lost
        role = DatabaseRole.PRIMARY if database.primary else DatabaseRole.REPLICA
        if job.access is Access.READ:
            rows = Rows(("id",), tuple((item,) for item in sorted(database.ids)))
            return JobDone(job.job_id, role, database.end, rows)
        if not database.primary:
            return JobNotRun(job.job_id, ErrorCode.NOT_PRIMARY, "replica", True)
        if job.operation is Operation.BEGIN:
            self.open_writes[job.connection_id] = []
            return JobDone(job.job_id, role, database.end)
        if job.operation is Operation.COMMIT:
            position = self.commit(database, self.open_writes.pop(job.connection_id))
            return lost if self.random.random() < 0.03 else JobDone(job.job_id, role, position)
        assert job.statement is not None
        write = int(str(job.statement.parameters[0]))
        if write in self.keyed and write in database.ids:
            return JobDone(job.job_id, role, database.end, Rows(), repeated=True)
        if job.connection_id in self.open_writes:
            self.open_writes[job.connection_id].append(write)
            return JobDone(job.job_id, role, database.end, Rows())
        self.runs[write] += 1
        position = database.append(write)
        if self.random.random() < 0.03:
            return lost
        return JobDone(job.job_id, role, position, Rows())

    def commit(self, database: ModelDatabase, writes: list[int]) -> LogPosition:
        if len({self.transaction_of.get(write) for write in writes}) > 1:
            self.mixed.append(writes)
        for write in writes:
            self.runs[write] += 1
            database.append(write)
        return database.end

    def offer_transaction(self) -> None:
        self.to_gateway(self.begin)

    def begin(self) -> None:
        name = self.group.newest_primary.name
        begun = self.harness.send(Access.WRITE, Operation.BEGIN, database=name)
        self.later(lambda: self.to_gateway(lambda: self.go_on(begun, [], set())), longest=0.2)

    def go_on(self, begun: Key, sent: list[Key], writes: set[int]) -> None:
        """Sends a transaction's next write, or its COMMIT after two, once the last was done."""
        answers = [self.harness.answer(key) for key in (begun, *sent)]
        first = answers[0]
        if not all(isinstance(item, StatementDone) for item in answers):
            return
        assert isinstance(first, StatementDone)
        identity = first.transaction
        if len(sent) == 2:
            key = self.harness.send(Access.WRITE, Operation.COMMIT, transaction=identity)
            self.commits[key] = writes
            return
        write = self.next_write
        self.next_write += 1
        self.transaction_of[write] = begun
        statement = Statement("insert into t values (?)", (write,))
        key = self.harness.write(transaction=identity, statement=statement)
        self.later(
            lambda: self.to_gateway(lambda: self.go_on(begun, [*sent, key], writes | {write})),
            longest=0.2,
        )

    def offer(self) -> None:
        database = self.group.newest_primary.name
        if self.random.random() < 0.2:
            database = self.random.choice(DATABASES)
        remaining = self.random.choice((0.05, 0.5, 2.0, 10.0))
        if self.random.random() < 0.3:
            self.to_gateway(lambda: self.offer_read(database, remaining))
            return
        write = self.next_write
        self.next_write += 1
        if self.random.random() < 0.3:
            self.keyed.add(write)
        self.to_gateway(lambda: self.offer_write(database, write, remaining))
        if write in self.keyed:
            self.later(lambda: self.repeat(write, remaining), longest=2.0)

    def repeat(self, write: int, remaining: float) -> None:
        database = self.group.newest_primary.name
        self.to_gateway(lambda: self.offer_write(database, write, remaining))

    def offer_write(self, database: str, write: int, remaining: float) -> None:
        statement = Statement("insert into t values (?)", (write,))
        name = f"key-{write}" if write in self.keyed else None
        key = self.harness.write(
            database=database, statement=statement, remaining=remaining, idempotency_key=name
        )
        self.writes[key] = write

    def offer_read(self, database: str, remaining: float) -> None:
        acknowledged = self.with_outcome(StatementDone)
        key = self.harness.send(database=database, confirm=True, remaining=remaining)
        self.reads[key] = acknowledged

    def with_outcome(self, kind: type[StatementDone] | type[StatementNotRun]) -> set[int]:
        """Returns the writes that have an answer of this kind."""
        answered = {key: self.harness.answer(key) for key in self.writes}
        return {self.writes[key] for key, answer in answered.items() if isinstance(answer, kind)}


class FaultTest(unittest.TestCase):
    def test_promises_hold_for_every_seed(self) -> None:
        outcomes: Counter[str] = Counter()
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                run = FaultRun(seed)
                run.run()
                self.check(run)
                outcomes.update(run.harness.outcome(key).split(":")[0] for key in run.writes)
        # Without this a gateway that answers nothing would pass.
        self.assertGreater(outcomes["done"], 0.2 * outcomes.total())

    def check(self, run: FaultRun) -> None:
        surviving = run.group.newest_primary.ids
        acknowledged = run.with_outcome(StatementDone)
        self.assertEqual(acknowledged - surviving, set(), "acknowledged, then lost")
        refused = run.with_outcome(StatementNotRun) - run.keyed
        self.assertEqual({write for write in refused if run.runs[write]}, set(), "not run, yet ran")
        twice = {write for write, count in run.runs.items() if count > 1} - run.keyed
        self.assertEqual(twice, set(), "ran twice")
        for key in (*run.writes, *run.reads, *run.commits):
            self.assertNotEqual(run.harness.outcome(key), "waiting")
        self.check_reads(run)
        self.check_transactions(run)
        self.assertEqual(run.run_while_drained, [])
        self.assertTrue(run.harness.gateway.is_idle)

    def check_transactions(self, run: FaultRun) -> None:
        surviving = run.group.newest_primary.ids
        self.assertEqual(run.mixed, [], "two transactions in one")
        for key, writes in run.commits.items():
            answer = run.harness.answer(key)
            self.assertIn(writes & surviving, (set(), writes), "half of a transaction")
            if isinstance(answer, StatementDone):
                self.assertEqual(writes - surviving, set(), "committed, then lost")
            elif isinstance(answer, StatementNotRun):
                self.assertEqual([write for write in writes if run.runs[write]], [])

    def check_reads(self, run: FaultRun) -> None:
        for key, acknowledged in run.reads.items():
            answer = run.harness.answer(key)
            if isinstance(answer, StatementDone):
                assert answer.rows is not None
                seen = {row[0] for row in answer.rows.rows}
                self.assertEqual(acknowledged - seen, set(), f"read misses writes in {GROUP}")


if __name__ == "__main__":
    unittest.main()
