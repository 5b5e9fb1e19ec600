"""The job runner: what it says of a job's outcome must be true."""

import unittest
from random import Random
from typing import NamedTuple

from dewledge.adapters.job_runner import CREATE_RECORD_TABLE, run_job
from dewledge.core.proxy.calls import Access, Operation, Statement
from dewledge.core.proxy.jobs import (
    IdempotencyRecord,
    Job,
    JobDone,
    JobNotRun,
    JobResult,
    JobUnknown,
)
from dewledge.errors import ErrorCode
from dewledge.simulation.model_connection import ModelConnection
from dewledge.standin.group_model import GroupModel
from dewledge.standin.group_types import GroupTiming, ModelDatabase
from tests.adapters.faulty_connection import CallFault, FaultyConnection

CREATE = Statement("CREATE TABLE orders (item TEXT UNIQUE)")
COUNT = Statement("SELECT COUNT(*) FROM orders")
ORDER_FISH = Statement("INSERT INTO orders VALUES ('fish') RETURNING item")
ORDER_RICE = Statement("INSERT INTO orders VALUES ('rice') RETURNING item")
TIMEOUT = 1.0
NOW = 0.0

BEGIN, STATEMENT, RECORD, COMMIT = range(4)
"""The calls of a keyed write, in their order."""

ROLLBACK_AFTER_STATEMENT, LOOKUP_AFTER_STATEMENT = range(STATEMENT + 1, STATEMENT + 3)
"""The calls that follow a statement that failed."""


def keyed(statement: Statement, key: str = "key", fingerprint: str = "print") -> Job:
    record = IdempotencyRecord("kitchen", key, fingerprint)
    return Job(1, 1, Operation.EXECUTE, Access.WRITE, TIMEOUT, statement, record)


def plain(operation: Operation, access: Access = Access.WRITE) -> Job:
    statement = ORDER_FISH if access is Access.WRITE else COUNT
    chosen = statement if operation is Operation.EXECUTE else None
    return Job(1, 1, operation, access, TIMEOUT, chosen)


class JobRunnerCase(unittest.TestCase):
    def setUp(self) -> None:
        databases = tuple(ModelDatabase(name, name, name) for name in "abc")
        self.model = GroupModel("group", databases, GroupTiming(), Random(1))
        connection = self.connect()
        connection.execute(CREATE, Access.WRITE, TIMEOUT)
        connection.execute(CREATE_RECORD_TABLE, Access.WRITE, TIMEOUT)

    def connect(self, faults: dict[int, CallFault] | None = None) -> FaultyConnection:
        session = self.model.open_session("a", NOW)
        return FaultyConnection(ModelConnection(self.model, session, lambda: NOW), faults or {})

    def orders(self) -> int:
        found = self.connect().execute(COUNT, Access.READ, TIMEOUT)
        count = found.rows.rows[0][0]
        assert isinstance(count, int)
        return count

    def open_transaction_count(self) -> int:
        return sum(1 for item in self.model._sessions.values() if item.steps is not None)


class KeyedFault(NamedTuple):
    fault: CallFault
    call: int
    outcome: type[JobResult]
    code: ErrorCode | None
    usable: bool
    effects: int


KEYED_FAULTS = (
    KeyedFault(CallFault.REFUSED, BEGIN, JobNotRun, ErrorCode.NOT_PRIMARY, True, 0),
    KeyedFault(CallFault.REFUSED, STATEMENT, JobNotRun, ErrorCode.NOT_PRIMARY, False, 0),
    KeyedFault(CallFault.REFUSED, RECORD, JobNotRun, ErrorCode.NOT_PRIMARY, False, 0),
    KeyedFault(CallFault.FAILED, STATEMENT, JobNotRun, ErrorCode.STATEMENT_FAILED, True, 0),
    KeyedFault(CallFault.CONFLICT, STATEMENT, JobDone, None, True, 1),
    KeyedFault(CallFault.CONFLICT, RECORD, JobDone, None, True, 1),
    KeyedFault(CallFault.CONFLICT, COMMIT, JobDone, None, True, 1),
    *(
        KeyedFault(fault, call, JobNotRun, ErrorCode.CONNECTION_LOST, False, 0)
        for fault in (
            CallFault.CLOSED_BEFORE_SENDING,
            CallFault.BROKEN_BEFORE,
            CallFault.BROKEN_AFTER,
        )
        for call in (BEGIN, STATEMENT, RECORD)
    ),
    KeyedFault(
        CallFault.CLOSED_BEFORE_SENDING, COMMIT, JobNotRun, ErrorCode.CONNECTION_LOST, False, 0
    ),
    KeyedFault(CallFault.BROKEN_BEFORE, COMMIT, JobUnknown, ErrorCode.CONNECTION_LOST, False, 0),
    KeyedFault(CallFault.BROKEN_AFTER, COMMIT, JobUnknown, ErrorCode.CONNECTION_LOST, False, 1),
)


class KeyedWriteTest(JobRunnerCase):
    def test_each_fault_at_each_call_and_the_repeat_after_it(self) -> None:
        for row in KEYED_FAULTS:
            with self.subTest(row.fault, call=row.call):
                self.setUp()
                connection = self.connect({row.call: row.fault})
                result = run_job(connection, keyed(ORDER_FISH))
                self.assertIsInstance(result, row.outcome)
                self.assertEqual(getattr(result, "code", None), row.code)
                self.assertEqual(getattr(result, "connection_usable", row.usable), row.usable)
                self.assertEqual(self.orders(), row.effects)
                if row.usable:
                    self.assertEqual(self.open_transaction_count(), 0)
                repeat = run_job(self.connect(), keyed(ORDER_FISH))
                assert isinstance(repeat, JobDone)
                self.assertEqual(repeat.repeated, row.effects == 1)
                self.assertEqual(self.orders(), 1)

    def test_repeat_gets_the_recorded_rows_at_the_present_position(self) -> None:
        first = run_job(self.connect(), keyed(ORDER_FISH))
        later = self.connect().execute(ORDER_RICE, Access.WRITE, TIMEOUT)
        repeat = run_job(self.connect(), keyed(ORDER_FISH))
        assert isinstance(first, JobDone) and isinstance(repeat, JobDone)
        self.assertEqual(repeat.rows, first.rows)
        self.assertEqual(repeat.position, later.position)
        self.assertEqual((first.repeated, repeat.repeated), (False, True))

    def test_repeat_that_cannot_look_for_its_record_is_unknown(self) -> None:
        """Its first run has taken effect: "not run" would not be true of the key."""
        run_job(self.connect(), keyed(ORDER_FISH))
        for call in (ROLLBACK_AFTER_STATEMENT, LOOKUP_AFTER_STATEMENT):
            with self.subTest(call=call):
                connection = self.connect({call: CallFault.CLOSED_BEFORE_SENDING})
                self.assertIsInstance(run_job(connection, keyed(ORDER_FISH)), JobUnknown)
                self.assertEqual(self.orders(), 1)

    def test_key_used_for_another_statement_is_refused(self) -> None:
        run_job(self.connect(), keyed(ORDER_FISH))
        result = run_job(self.connect(), keyed(ORDER_RICE, fingerprint="other"))
        assert isinstance(result, JobNotRun)
        self.assertEqual(result.code, ErrorCode.IDEMPOTENCY_MISMATCH)
        self.assertTrue(result.connection_usable)
        self.assertEqual(self.orders(), 1)

    def test_failed_statement_is_not_recorded(self) -> None:
        self.connect().execute(ORDER_FISH, Access.WRITE, TIMEOUT)
        for _ in range(2):
            result = run_job(self.connect(), keyed(ORDER_FISH))
            assert isinstance(result, JobNotRun)
            self.assertEqual(result.code, ErrorCode.STATEMENT_FAILED)
        self.assertEqual(self.orders(), 1)

    def test_record_table_is_made_when_missing(self) -> None:
        connection = self.connect()
        connection.execute(Statement("DROP TABLE dewledge_requests"), Access.WRITE, TIMEOUT)
        self.assertIsInstance(run_job(connection, keyed(ORDER_FISH)), JobDone)
        repeat = run_job(connection, keyed(ORDER_FISH))
        assert isinstance(repeat, JobDone)
        self.assertTrue(repeat.repeated)

    def test_endless_conflicts_end_as_not_run(self) -> None:
        faults = dict.fromkeys(range(COMMIT, 1000, COMMIT + 1), CallFault.CONFLICT)
        result = run_job(self.connect(faults), keyed(ORDER_FISH))
        assert isinstance(result, JobNotRun)
        self.assertEqual(result.code, ErrorCode.DEADLINE_EXCEEDED)
        self.assertEqual(self.orders(), 0)

    def test_write_that_races_its_own_repeat_runs_once(self) -> None:
        first = self.connect()
        first.begin(TIMEOUT)
        first.execute(ORDER_FISH, Access.WRITE, TIMEOUT)
        self.assertIsInstance(run_job(self.connect(), keyed(ORDER_FISH)), JobDone)
        with self.assertRaisesRegex(Exception, "conflict"):
            first.commit(TIMEOUT)
        self.assertEqual(self.orders(), 1)


class PlainFault(NamedTuple):
    operation: Operation
    fault: CallFault
    outcome: type[JobResult]
    usable: bool


PLAIN_FAULTS = (
    PlainFault(Operation.EXECUTE, CallFault.REFUSED, JobNotRun, True),
    PlainFault(Operation.EXECUTE, CallFault.FAILED, JobNotRun, True),
    PlainFault(Operation.EXECUTE, CallFault.CLOSED_BEFORE_SENDING, JobNotRun, False),
    PlainFault(Operation.EXECUTE, CallFault.BROKEN_BEFORE, JobUnknown, False),
    PlainFault(Operation.EXECUTE, CallFault.BROKEN_AFTER, JobUnknown, False),
    PlainFault(Operation.BEGIN, CallFault.BROKEN_BEFORE, JobNotRun, False),
    PlainFault(Operation.BEGIN, CallFault.BROKEN_AFTER, JobNotRun, False),
    PlainFault(Operation.COMMIT, CallFault.CONFLICT, JobNotRun, True),
    PlainFault(Operation.COMMIT, CallFault.REFUSED, JobNotRun, True),
    PlainFault(Operation.COMMIT, CallFault.BROKEN_AFTER, JobUnknown, False),
    PlainFault(Operation.ROLLBACK, CallFault.BROKEN_AFTER, JobUnknown, False),
)


class PlainJobTest(JobRunnerCase):
    def test_each_fault(self) -> None:
        for row in PLAIN_FAULTS:
            with self.subTest(row.operation, fault=row.fault):
                self.setUp()
                connection = self.connect({1: row.fault})
                if row.operation in (Operation.COMMIT, Operation.ROLLBACK):
                    connection.begin(TIMEOUT)
                else:
                    connection.execute(COUNT, Access.READ, TIMEOUT)
                result = run_job(connection, plain(row.operation))
                self.assertIsInstance(result, row.outcome)
                self.assertEqual(getattr(result, "connection_usable", row.usable), row.usable)
                self.assertEqual(connection.calls, 2)

    def test_success_reports_role_position_and_rows(self) -> None:
        write = run_job(self.connect(), plain(Operation.EXECUTE))
        read = run_job(self.connect(), plain(Operation.EXECUTE, Access.READ))
        assert isinstance(write, JobDone) and isinstance(read, JobDone)
        assert write.rows is not None and read.rows is not None
        self.assertEqual(write.rows.rows, (("fish",),))
        self.assertEqual(read.rows.rows, ((1,),))
        self.assertEqual(read.position, write.position)

    def test_transaction_runs_on_one_connection(self) -> None:
        connection = self.connect()
        for operation in (Operation.BEGIN, Operation.EXECUTE, Operation.COMMIT):
            self.assertIsInstance(run_job(connection, plain(operation)), JobDone)
        self.assertEqual(self.orders(), 1)
        self.assertEqual(self.model.history[-1].time, NOW)


if __name__ == "__main__":
    unittest.main()
