"""Transactions never mix: one caller, one connection, one operation at a time, a sure end."""

import unittest
from collections.abc import Callable
from typing import NamedTuple

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import (
    DATABASES,
    PRIMARY,
    FixedPlacement,
    FixedPolicy,
    GatewayHarness,
    make_configuration,
)

COMMIT, ROLLBACK, EXECUTE = Operation.COMMIT, Operation.ROLLBACK, Operation.EXECUTE
SLOTS = make_configuration(slots=5)


def ready() -> GatewayHarness:
    """A gateway with five slots, of which transactions may hold three."""
    harness = GatewayHarness()
    harness.configure(SLOTS)
    harness.tick(0.01)
    return harness


class Ending(NamedTuple):
    """How an operation of a transaction ends.

    answer: what it is told; later, repeated: what a later statement and COMMIT are told.
    """

    name: str
    operation: Operation
    end: Callable[[GatewayHarness], object]
    answer: str
    later: str
    repeated: str
    connection_kept: bool


LOST = "not run: transaction_lost"
MAYBE = "unknown: transaction_lost"
ENDINGS = (
    Ending("committed", COMMIT, lambda h: (h.finish(position=LogPosition(1, 11)),
           h.answer_rounds(offset=11)), "done", LOST, MAYBE, True),
    Ending("commit not confirmed", COMMIT, lambda h: (h.finish(position=LogPosition(1, 11)),
           h.answer_rounds(term=2, primary="cases-2")),
           "unknown: not_confirmed", LOST, MAYBE, True),
    Ending("commit refused", COMMIT, lambda h: h.refuse(ErrorCode.NOT_PRIMARY),
           "not run: not_primary", LOST, LOST, False),
    Ending("commit broken off", COMMIT, lambda h: h.break_job(),
           "unknown: connection_lost", LOST, MAYBE, False),
    Ending("rolled back", ROLLBACK, lambda h: h.finish(), "done", LOST, LOST, True),
    Ending("rollback broken off", ROLLBACK, lambda h: h.break_job(), LOST, LOST, LOST, False),
    Ending("statement broken off", EXECUTE, lambda h: h.break_job(),
           "unknown: connection_lost", LOST, LOST, False),
    Ending("statement failed, connection doubtful", EXECUTE,
           lambda h: h.refuse(ErrorCode.STATEMENT_FAILED, usable=False),
           "not run: statement_failed", LOST, LOST, False),
    Ending("statement failed", EXECUTE, lambda h: h.refuse(ErrorCode.STATEMENT_FAILED),
           "not run: statement_failed", "waiting", "not run: transaction_busy", True),
)  # fmt: skip


class EndingTest(unittest.TestCase):
    def test_endings(self) -> None:
        for row in ENDINGS:
            with self.subTest(row.name):
                harness = ready()
                transaction = harness.begin()
                connection = harness.every_job[-1].connection_id
                key = harness.send(Access.WRITE, row.operation, transaction=transaction)
                row.end(harness)
                self.assertEqual(harness.outcome(key), row.answer)
                later = harness.write(transaction=transaction)
                self.assertEqual(harness.outcome(later), row.later)
                repeated = harness.send(Access.WRITE, COMMIT, transaction=transaction)
                self.assertEqual(harness.outcome(repeated), row.repeated)
                self.assertEqual(connection not in harness.closed, row.connection_kept)

    def test_only_reads_need_no_proof_at_commit(self) -> None:
        for access, expected in ((Access.READ, "done"), (Access.WRITE, "waiting")):
            with self.subTest(access):
                harness = ready()
                begin = harness.send(Access.READ, Operation.BEGIN)
                harness.finish()
                transaction = harness.answer(begin).transaction
                harness.send(access, transaction=transaction)
                harness.finish()
                key = harness.send(Access.READ, COMMIT, transaction=transaction)
                harness.finish()
                self.assertEqual(harness.outcome(key), expected)


class Replaced(NamedTuple):
    """A primary is replaced while a transaction on it is open.

    running: the operation that it never answers, None if the transaction is idle.
    reachable: its status is still read. term: the one in which the new primary is.
    answer, repeated: what the running operation and a later COMMIT are told.
    """

    name: str
    running: Operation | None
    reachable: bool
    term: int
    answer: str
    repeated: str


GONE = "unknown: connection_lost"
BUSY = "not run: transaction_busy"
REPLACED = (
    Replaced("statement, unreachable", EXECUTE, False, 2, LOST, LOST),
    Replaced("statement, reachable", EXECUTE, True, 2, LOST, LOST),
    Replaced("rollback, unreachable", ROLLBACK, False, 2, LOST, LOST),
    Replaced("commit, unreachable", COMMIT, False, 2, GONE, MAYBE),
    Replaced("commit, reachable", COMMIT, True, 2, "waiting", BUSY),
    Replaced("idle", None, False, 2, "", LOST),
    Replaced("statement, term no later", EXECUTE, False, 1, "waiting", BUSY),
)


class ReplacedPrimaryTest(unittest.TestCase):
    def test_ends_as_soon_as_a_later_term_is_seen(self) -> None:
        for row in REPLACED:
            with self.subTest(row.name):
                harness = ready()
                transaction = harness.begin()
                connection = harness.every_job[-1].connection_id
                running = row.running
                key = running and harness.send(Access.WRITE, running, transaction=transaction)
                late = list(harness.jobs)
                self.replace_primary(harness, row)
                if key is not None:
                    self.assertEqual(harness.outcome(key), row.answer)
                self.assertEqual(connection in harness.closed, row.answer != "waiting")
                repeated = harness.send(Access.WRITE, COMMIT, transaction=transaction)
                self.assertEqual(harness.outcome(repeated), row.repeated)
                if row.answer not in ("", "waiting"):
                    harness.finish(late[0])
                    self.assertTrue(harness.gateway.is_idle)

    def replace_primary(self, harness: GatewayHarness, row: Replaced) -> None:
        """Answers the next round, the old primary last."""
        harness.run_until(harness.now + 0.6)
        status_round = harness.rounds.pop()
        for name in DATABASES[1:]:
            harness.read(status_round, name, term=row.term, primary="cases-2")
        if row.reachable:
            harness.read(status_round, PRIMARY, term=1)
        else:
            harness.read_status(status_round, PRIMARY, None)

    def test_reading_transaction_on_a_replica_goes_on(self) -> None:
        harness = ready()
        key = harness.send(Access.READ, Operation.BEGIN, database="cases-3")
        harness.finish()
        transaction = harness.answer(key).transaction
        running = harness.send(Access.READ, database="cases-3", transaction=transaction)
        self.replace_primary(harness, REPLACED[0])
        self.assertEqual(harness.outcome(running), "waiting")


class IsolationTest(unittest.TestCase):
    def test_every_operation_runs_on_its_own_connection(self) -> None:
        harness = ready()
        first, second = harness.begin(), harness.begin(caller="ben")
        own, other = (job.connection_id for job in harness.every_job)
        self.assertNotEqual(own, other)
        for _ in range(3):
            harness.write(transaction=first)
            harness.write(transaction=second, caller="ben")
            harness.send(caller="carl")
            used = [job.connection_id for job in harness.jobs]
            self.assertEqual(used[:2], [own, other])
            self.assertNotIn(used[2], (own, other))
            for _ in range(3):
                harness.finish()

    def test_id_of_another_caller_is_unknown(self) -> None:
        harness = ready()
        transaction = harness.begin()
        for operation in (EXECUTE, COMMIT, ROLLBACK):
            key = harness.send(Access.WRITE, operation, caller="ben", transaction=transaction)
            self.assertEqual(harness.outcome(key), "not run: unknown_transaction")
        self.assertEqual(len(harness.every_job), 1)
        harness.send(Access.WRITE, ROLLBACK, transaction=transaction)
        harness.finish()
        key = harness.send(Access.WRITE, COMMIT, caller="ben", transaction=transaction)
        self.assertEqual(harness.outcome(key), "not run: unknown_transaction")

    def test_any_entry_may_carry_an_operation(self) -> None:
        harness = ready()
        transaction = harness.begin(peer="entry")
        harness.take(harness.gateway.handle_peer_lost("entry", harness.now))
        key = harness.write(peer="other-entry", transaction=transaction)
        harness.finish()
        self.assertEqual(harness.outcome(key), "done")

    def test_one_operation_at_a_time(self) -> None:
        harness = ready()
        transaction = harness.begin()
        first = harness.write(transaction=transaction)
        second = harness.send(Access.WRITE, COMMIT, transaction=transaction)
        self.assertEqual(harness.outcome(second), "not run: transaction_busy")
        harness.finish()
        self.assertEqual(harness.outcome(first), "done")

    def test_late_result_does_not_touch_the_next_transaction(self) -> None:
        harness = ready()
        transaction = harness.begin()
        harness.write(transaction=transaction, remaining=1.0)
        late = harness.jobs[0]
        harness.run_until(harness.now + 2.5)
        following = harness.begin()
        key = harness.write(transaction=following)
        harness.finish(late)
        self.assertEqual(harness.outcome(key), "waiting")
        self.assertIn(late.connection_id, harness.closed)
        self.assertNotEqual(harness.jobs[0].connection_id, late.connection_id)

    def test_ids_differ_and_name_the_gateway(self) -> None:
        harness = ready()
        ids = {harness.begin() for _ in range(3)}
        self.assertEqual(len(ids), 3)
        self.assertTrue(all(item.startswith("here:") for item in ids))

    def test_key_inside_a_transaction_is_refused(self) -> None:
        harness = ready()
        transaction = harness.begin()
        key = harness.write(transaction=transaction, idempotency_key="k")
        self.assertEqual(harness.outcome(key), "not run: malformed_request")


class Bound(NamedTuple):
    """What bounds an open transaction, how long, and what later operations are told."""

    name: str
    start: Callable[[GatewayHarness], object]
    limit: float
    later: str


BOUNDS = (
    Bound("idle", lambda h: None, 10.0, LOST),
    Bound("drained", lambda h: h.configure(SLOTS, FixedPolicy(PRIMARY), ready=False), 5.0,
          "not run: database_drained"),
    Bound("leaving", lambda h: h.take(h.gateway.leave(h.now)), 5.0, "not run: leaving"),
    Bound("moved away", lambda h: h.configure(SLOTS, placement=FixedPlacement("there", "third"),
          ready=False), 10.0, LOST),
)  # fmt: skip


class BoundTest(unittest.TestCase):
    def test_open_transaction_goes_on_until_its_bound(self) -> None:
        for row in BOUNDS:
            with self.subTest(row.name):
                harness = ready()
                transaction = harness.begin()
                connection = harness.every_job[-1].connection_id
                row.start(harness)
                harness.run_until(harness.now + row.limit - 0.1)
                key = harness.send(transaction=transaction)
                harness.finish()
                self.assertEqual(harness.outcome(key), "done")
                harness.run_until(harness.now + row.limit + 0.1)
                self.assertIn(connection, harness.closed)
                key = harness.send(transaction=transaction)
                self.assertEqual(harness.outcome(key), row.later)
                self.assertTrue(harness.gateway.is_idle)

    def test_age(self) -> None:
        harness = ready()
        transaction = harness.begin()
        for _ in range(12):
            harness.run_until(harness.now + 5.0)
            key = harness.send(transaction=transaction)
            if harness.jobs:
                harness.finish()
        self.assertEqual(harness.outcome(key), LOST)

    def test_running_operation_finishes_before_the_bound_ends_it(self) -> None:
        harness = ready()
        transaction = harness.begin()
        harness.take(harness.gateway.leave(harness.now))
        harness.run_until(harness.now + 4.9)
        key = harness.send(Access.WRITE, COMMIT, transaction=transaction, remaining=5.0)
        harness.run_until(harness.now + 1.0)
        harness.finish(position=LogPosition(1, 11))
        harness.confirm_all(offset=11)
        self.assertEqual(harness.outcome(key), "done")
        self.assertTrue(harness.gateway.is_idle)

    def test_begin_that_was_running_when_the_proxy_left_is_bounded(self) -> None:
        harness = ready()
        key = harness.send(Access.WRITE, Operation.BEGIN)
        harness.take(harness.gateway.leave(harness.now))
        harness.finish()
        self.assertEqual(harness.outcome(key), "done")
        harness.run_until(harness.now + 5.1)
        self.assertTrue(harness.gateway.is_idle)


class ShareTest(unittest.TestCase):
    def test_transactions_leave_slots_for_statements(self) -> None:
        harness = ready()
        held = [harness.begin() for _ in range(3)]
        waiting = harness.send(Access.WRITE, Operation.BEGIN, remaining=5.0)
        self.assertEqual(harness.jobs, [])
        for _ in range(4):
            harness.send()
        self.assertEqual(len(harness.jobs), 2)
        for _ in range(4):
            harness.finish()
        harness.send(Access.WRITE, ROLLBACK, transaction=held[0])
        harness.finish()
        harness.finish()
        self.assertEqual(harness.outcome(waiting), "done")

    def test_begin_is_refused_when_transactions_last_too_long_for_it(self) -> None:
        harness = ready()
        for _ in range(60):
            transaction = harness.begin()
            harness.run_until(harness.now + 0.5)
            harness.send(Access.READ, ROLLBACK, transaction=transaction)
            harness.finish()
        held = [harness.begin() for _ in range(3)]
        self.assertEqual(len(held), 3)
        hasty = harness.send(Access.WRITE, Operation.BEGIN, remaining=0.1)
        patient = harness.send(Access.WRITE, Operation.BEGIN, remaining=5.0)
        self.assertEqual(harness.outcome(hasty), "not run: overloaded")
        self.assertEqual(harness.outcome(patient), "waiting")

    def test_begin_refused_below_its_floor_holds_nothing(self) -> None:
        harness = ready()
        key = harness.send(Access.READ, Operation.BEGIN, floor=LogPosition(1, 99))
        harness.finish()
        self.assertEqual(harness.outcome(key), "not run: not_fresh")
        self.assertTrue(harness.gateway.is_idle)

    def test_begin_that_asks_for_the_confirmed_primary(self) -> None:
        for fields, expected in (
            ({}, "done"),
            ({"term": 2, "primary": "x"}, "not run: not_primary"),
        ):
            with self.subTest(expected):
                harness = ready()
                key = harness.send(Access.READ, Operation.BEGIN, confirm=True)
                harness.finish()
                self.assertEqual(harness.outcome(key), "waiting")
                harness.answer_rounds(**fields)
                self.assertEqual(harness.outcome(key), expected)


if __name__ == "__main__":
    unittest.main()
