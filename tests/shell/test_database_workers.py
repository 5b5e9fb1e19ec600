"""Threads of databases: results, faults, closing, and that a slow database holds up no other."""

import threading
import time
import unittest
from collections.abc import Callable
from unittest.mock import patch

from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.effects import CloseConnection, OpenConnection, ReadStatuses, RunJob
from dewledge.core.proxy.jobs import Job, JobDone, JobNotRun, JobResult, JobUnknown, StatusReading
from dewledge.core.proxy.ports import DatabaseConnection, DatabaseDriver, ExecutionResult
from dewledge.core.shared.positions import LOG_START, LogPosition
from dewledge.errors import ConnectionLimitReached, DatabaseError, ErrorCode
from dewledge.shell.proxy.database_workers import LATEST_START_SECONDS, DatabaseWorkers
from dewledge.shell.shared.event_loop import EventLoop

PATIENCE_SECONDS = 10.0
FREEZE_SECONDS = 60.0
POLL_SECONDS = 0.005
POSITION = LogPosition(1, 4)
SLOW, GOOD, FULL, DEAD = "slow", "good", "full", "dead"
THREAD_NAMES = (f"jobs-{GOOD}", f"status-{GOOD}")


class Connection(DatabaseConnection):
    def __init__(self, driver: "Driver", address: str) -> None:
        self._driver = driver
        self._address = address

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        if self._address == SLOW:
            self._driver.go_on.wait(PATIENCE_SECONDS)
        if statement.sql == "fault":
            raise ZeroDivisionError("a fault of the driver")
        return ExecutionResult(Rows(), DatabaseRole.PRIMARY, POSITION)

    def begin(self, timeout: float) -> ExecutionResult:
        return ExecutionResult(Rows(), DatabaseRole.PRIMARY, POSITION)

    commit = rollback = begin

    def send_new_work_before(self, limit: float) -> None:
        super().send_new_work_before(limit)
        self._driver.limits.append(limit)

    def close(self) -> None:
        self._driver.closed.append(self._address)


class Driver(DatabaseDriver):
    def __init__(self) -> None:
        self.go_on = threading.Event()
        self.closed: list[str] = []
        self.connected: list[str] = []
        self.limits: list[float] = []

    def connect(self, address: str, timeout: float) -> Connection:
        self.connected.append(address)
        if address == FULL:
            raise ConnectionLimitReached("full")
        if address == DEAD:
            raise ZeroDivisionError("a fault of the driver")
        return Connection(self, address)

    def read_status(self, address: str, timeout: float) -> DatabaseStatus:
        if address == SLOW:
            self.go_on.wait(PATIENCE_SECONDS)
        if address == DEAD:
            raise DatabaseError("no answer")
        return DatabaseStatus(address, DatabaseRole.PRIMARY, 1, LOG_START, LOG_START)


class ThreadsFrozen:
    """A clock. While `frozen`, threads other than the loop's see the time after a freeze."""

    def __init__(self) -> None:
        self.frozen = False
        self._loop_thread = threading.current_thread()

    def __call__(self) -> float:
        is_late = self.frozen and threading.current_thread() is not self._loop_thread
        return time.monotonic() + (FREEZE_SECONDS if is_late else 0.0)


class WorkersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ThreadsFrozen()
        self.loop = EventLoop(self.clock)
        self.driver = Driver()
        self.workers = DatabaseWorkers(self.loop, self.driver, self)
        self.opened: list[int] = []
        self.failed: list[tuple[int, ErrorCode]] = []
        self.results: list[JobResult] = []
        self.readings: list[StatusReading] = []
        self.addCleanup(self.end)

    def end(self) -> None:
        self.driver.go_on.set()
        self.workers.shut_down()
        self.loop.close()

    # DatabaseHandler.

    def connection_opened(self, connection_id: int) -> None:
        self.opened.append(connection_id)

    def connection_failed(self, connection_id: int, code: ErrorCode) -> None:
        self.failed.append((connection_id, code))

    def job_result(self, result: JobResult) -> None:
        self.results.append(result)

    def status_reading(self, round_id: int, reading: StatusReading) -> None:
        self.readings.append(reading)

    # Steps.

    def run_until(self, what: str, is_reached: Callable[[], bool]) -> None:
        give_up_at = time.monotonic() + PATIENCE_SECONDS
        while not is_reached():
            self.assertLess(time.monotonic(), give_up_at, what)
            self.loop.call_later(POLL_SECONDS, lambda: None)
            self.loop.run_once()

    def open(self, connection_id: int, address: str) -> None:
        self.workers.open(OpenConnection(connection_id, address, address))
        self.run_until("open", lambda: connection_id in self.opened)

    def submit(
        self,
        job_id: int,
        connection_id: int,
        sql: str = "x",
        operation: Operation = Operation.EXECUTE,
    ) -> None:
        job = Job(job_id, connection_id, operation, Access.WRITE, 5.0, Statement(sql))
        self.workers.run(RunJob(job))

    def test_job_runs_on_its_connection(self) -> None:
        self.open(1, GOOD)
        self.submit(7, 1)
        self.run_until("the result", lambda: bool(self.results))
        self.assertEqual(self.results, [JobDone(7, DatabaseRole.PRIMARY, POSITION, Rows())])

    def test_open_failures_are_coded(self) -> None:
        self.workers.open(OpenConnection(1, FULL, FULL))
        self.workers.open(OpenConnection(2, DEAD, DEAD))
        self.run_until("both", lambda: len(self.failed) == 2)
        expected = {(1, ErrorCode.CONNECTION_LIMIT), (2, ErrorCode.INTERNAL)}
        self.assertEqual(set(self.failed), expected)
        self.assertEqual(self.workers.connection_count, 0)

    def test_fault_of_a_driver_leaves_the_outcome_unknown(self) -> None:
        self.open(1, GOOD)
        self.submit(7, 1, "fault")
        self.run_until("the result", lambda: bool(self.results))
        self.assertIsInstance(self.results[0], JobUnknown)

    def test_slow_database_holds_up_no_other(self) -> None:
        for connection_id in range(1, 21):
            self.open(connection_id, SLOW)
            self.submit(connection_id, connection_id)
        self.open(100, GOOD)
        self.submit(100, 100)
        self.run_until("the good one's result", lambda: bool(self.results))
        self.assertEqual([result.job_id for result in self.results], [100])

    def test_status_round_reports_each_database_by_itself(self) -> None:
        names = (SLOW, GOOD, DEAD)
        self.workers.read_statuses(ReadStatuses(1, "g", names, names, 0.5))
        self.run_until("two readings", lambda: len(self.readings) == 2)
        found = {item.database: item.status is not None for item in self.readings}
        self.assertEqual(found, {GOOD: True, DEAD: False})

    def test_closing_waits_for_the_job(self) -> None:
        self.open(1, SLOW)
        self.submit(7, 1)
        self.workers.close(CloseConnection(1))
        self.assertEqual(self.driver.closed, [])
        self.driver.go_on.set()
        self.run_until("the result", lambda: bool(self.results))
        self.run_until("the end", lambda: self.driver.closed == [SLOW])

    def test_connection_closed_while_it_opens(self) -> None:
        self.workers.open(OpenConnection(1, GOOD, GOOD))
        self.workers.close(CloseConnection(1))
        self.run_until("the end", lambda: self.driver.closed == [GOOD])
        self.assertEqual(self.opened, [])

    def test_effects_after_the_end_start_no_thread(self) -> None:
        self.workers.shut_down()
        self.run_until("threads of other tests end", lambda: not self.threads())
        self.workers.open(OpenConnection(1, GOOD, GOOD))
        self.workers.read_statuses(ReadStatuses(1, "g", (GOOD,), (GOOD,), 0.5))
        self.assertEqual(self.workers.connection_count, 0)
        self.assertEqual(self.threads(), [])

    def threads(self) -> list[str]:
        names = [thread.name for thread in threading.enumerate()]
        return [name for name in names if name.startswith(THREAD_NAMES)]

    def test_thread_frozen_before_its_job_begins_no_new_work(self) -> None:
        begun = {
            Operation.EXECUTE: JobNotRun,
            Operation.BEGIN: JobNotRun,
            Operation.COMMIT: JobDone,
            Operation.ROLLBACK: JobDone,
        }
        self.open(1, GOOD)
        self.clock.frozen = True
        for operation, expected in begun.items():
            with self.subTest(operation):
                self.results.clear()
                self.submit(7, 1, operation=operation)
                self.run_until("the result", lambda: bool(self.results))
                self.assertIsInstance(self.results[0], expected)
                self.assertTrue(getattr(self.results[0], "connection_usable", True))

    def test_connection_sends_no_new_work_later_than_the_latest_start(self) -> None:
        self.open(1, GOOD)
        earliest = self.loop.now()
        self.submit(7, 1)
        latest = self.loop.now()
        self.run_until("the result", lambda: bool(self.results))
        self.assertLessEqual(earliest + LATEST_START_SECONDS, self.driver.limits[0])
        self.assertLessEqual(self.driver.limits[0], latest + LATEST_START_SECONDS)

    def test_thread_frozen_before_it_connects_opens_nothing(self) -> None:
        self.clock.frozen = True
        self.workers.open(OpenConnection(1, GOOD, GOOD))
        self.run_until("the failure", lambda: bool(self.failed))
        self.assertEqual(self.failed, [(1, ErrorCode.DATABASE_UNREACHABLE)])
        self.assertEqual(self.driver.connected, [])

    def test_event_that_began_before_a_freeze_begins_no_new_work(self) -> None:
        """What counts is when the event came, not when its effects were carried out."""
        self.open(1, GOOD)
        self.loop.call_later(0.0, self._submit_after_freeze)
        self.run_until("the result", lambda: bool(self.results))
        self.assertIsInstance(self.results[0], JobNotRun)

    def _submit_after_freeze(self) -> None:
        frozen = patch.object(self.loop, "now", lambda: time.monotonic() + FREEZE_SECONDS)
        frozen.start()
        self.addCleanup(frozen.stop)
        self.submit(7, 1)

    def test_job_without_a_connection(self) -> None:
        self.submit(7, 99)
        self.run_until("the result", lambda: bool(self.results))
        self.assertIsInstance(self.results[0], JobUnknown | JobNotRun)


if __name__ == "__main__":
    unittest.main()
