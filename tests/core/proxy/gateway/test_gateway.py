"""The gateway's contract: where requests go, which outcome is true, who gets which answer."""

import unittest
from collections.abc import Callable
from typing import NamedTuple

from dewledge.core.proxy.calls import Access, Operation, Statement
from dewledge.core.proxy.configuration.configuration import ChangeSet
from dewledge.core.proxy.configuration.resources import DatabaseSpec, Kind, Resource
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.jobs import JobDone
from dewledge.core.proxy.messages import (
    CancelRequest,
    StatementDone,
    StatementNotRun,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import (
    PRIMARY,
    FixedPlacement,
    FixedPolicy,
    GatewayHarness,
    make_configuration,
)


def ready(slots: int = 2) -> GatewayHarness:
    """A gateway with open connections and a known primary."""
    harness = GatewayHarness()
    harness.configure(make_configuration(slots=slots))
    harness.tick(0.05)
    return harness


class Refused(NamedTuple):
    """A request that must be refused, what makes it so, and the expected answer."""

    name: str
    prepare: Callable[[GatewayHarness], object]
    fields: dict[str, object]
    code: ErrorCode
    gateway: str | None = None


REFUSED = (
    Refused("another gateway is active", lambda h: h.configure(placement=FixedPlacement("there")),
            {}, ErrorCode.WRONG_GATEWAY, "there"),
    Refused("this proxy leaves", lambda h: h.take(h.gateway.leave(h.now)),
            {}, ErrorCode.LEAVING, "there"),
    Refused("this proxy is cut off", lambda h: h.take(h.gateway.set_serving(False, h.now)),
            {}, ErrorCode.ISOLATED),
    Refused("database drained", lambda h: h.configure(policy=FixedPolicy(PRIMARY)),
            {}, ErrorCode.DATABASE_DRAINED),
    Refused("database unknown", lambda h: None, {"database": "other"}, ErrorCode.UNKNOWN_GROUP),
    Refused("no time left", lambda h: None, {"remaining": 0.0}, ErrorCode.DEADLINE_EXCEEDED),
    Refused("no statement", lambda h: None, {"statement": None}, ErrorCode.MALFORMED_REQUEST),
    Refused("commit without transaction", lambda h: None,
            {"operation": Operation.COMMIT}, ErrorCode.MALFORMED_REQUEST),
    Refused("transaction of another gateway", lambda h: None,
            {"transaction": "there:0123456789abcdef"}, ErrorCode.WRONG_GATEWAY, "there"),
    Refused("transaction never begun", lambda h: None,
            {"transaction": "here:0123456789abcdef"}, ErrorCode.UNKNOWN_TRANSACTION),
    Refused("transaction id malformed", lambda h: None,
            {"transaction": "x"}, ErrorCode.UNKNOWN_TRANSACTION),
)  # fmt: skip


class RefusalTest(unittest.TestCase):
    def test_refused_at_once_and_nothing_runs(self) -> None:
        for row in REFUSED:
            with self.subTest(row.name):
                harness = ready()
                row.prepare(harness)
                key = harness.send(**row.fields)
                answer = harness.answer(key)
                assert isinstance(answer, StatementNotRun), answer
                self.assertEqual((answer.code, answer.gateway), (row.code, row.gateway))
                self.assertEqual(harness.every_job, [])

    def test_without_configuration(self) -> None:
        harness = GatewayHarness()
        self.assertEqual(harness.outcome(harness.send()), "not run: not_ready")


class Ending(NamedTuple):
    """How a job ends, and what read and write are told; None stands for waiting on proof."""

    name: str
    end: Callable[[GatewayHarness], object]
    read: str
    write: str
    connection_kept: bool


ENDINGS = (
    Ending("done", lambda h: h.finish(), "done", "waiting", True),
    Ending("refused", lambda h: h.refuse(ErrorCode.NOT_PRIMARY),
           "not run: not_primary", "not run: not_primary", True),
    Ending("failed", lambda h: h.refuse(ErrorCode.STATEMENT_FAILED),
           "not run: statement_failed", "not run: statement_failed", True),
    Ending("refused, connection doubtful", lambda h: h.refuse(ErrorCode.NOT_PRIMARY, usable=False),
           "not run: not_primary", "not run: not_primary", False),
    Ending("broken", lambda h: h.break_job(),
           "not run: connection_lost", "unknown: connection_lost", False),
    Ending("never reported", lambda h: h.run_until(h.now + 6.1),
           "not run: connection_lost", "unknown: connection_lost", False),
)  # fmt: skip


class OutcomeTest(unittest.TestCase):
    def test_three_outcomes(self) -> None:
        for row in ENDINGS:
            for access, expected in ((Access.READ, row.read), (Access.WRITE, row.write)):
                with self.subTest(row.name, access=access):
                    harness = ready()
                    key = harness.send(access)
                    connection = harness.jobs[0].connection_id
                    row.end(harness)
                    self.assertEqual(harness.outcome(key), expected)
                    self.assertEqual(connection not in harness.closed, row.connection_kept)

    def test_late_and_doubled_results_are_dropped(self) -> None:
        harness = ready(slots=1)
        first = harness.send()
        job = harness.finish()
        second = harness.send()
        harness.finish(job)
        self.assertEqual(harness.outcome(second), "waiting")
        harness.break_job(job)
        self.assertEqual((harness.outcome(first), harness.outcome(second)), ("done", "waiting"))
        given_up = harness.jobs[0]
        harness.run_until(harness.now + 7)
        harness.finish(given_up)
        self.assertEqual(harness.outcome(second), "not run: connection_lost")

    def test_swapped_results_reach_their_own_requests(self) -> None:
        harness = ready()
        keys = [harness.send(caller=name) for name in ("anna", "ben")]
        jobs = list(harness.jobs)
        for job in reversed(jobs):
            harness.finish(job)
        for key, job in zip(keys, jobs, strict=True):
            answer = harness.answer(key)
            assert isinstance(answer, StatementDone) and answer.rows is not None
            self.assertEqual(answer.rows.rows, ((job.job_id,),))

    def test_doubled_request_runs_once(self) -> None:
        harness = ready()
        harness.write(correlation=7)
        harness.write(correlation=7)
        harness.finish(position=LogPosition(1, 11))
        harness.write(correlation=7)
        harness.answer_rounds(offset=11)
        harness.tick(0.01)
        harness.answer_rounds(offset=11)
        harness.write(correlation=7)
        self.assertEqual(len(harness.every_job), 1)
        self.assertEqual(harness.outcome(("entry", 7)), "done")

    def test_new_process_of_a_peer_may_use_old_correlations(self) -> None:
        harness = ready()
        harness.take(harness.gateway.handle_peer_connected("entry", 1, harness.now))
        harness.send(correlation=1)
        harness.take(harness.gateway.handle_peer_connected("entry", 2, harness.now))
        harness.send(correlation=1)
        old, new = list(harness.jobs)
        harness.finish(old)
        self.assertEqual(harness.outcome(("entry", 1)), "waiting")
        harness.finish(new)
        self.assertEqual(harness.outcome(("entry", 1)), "done")

    def test_keyed_write_carries_key_and_fingerprint(self) -> None:
        harness = ready(slots=3)
        harness.write(idempotency_key="k")
        harness.write(idempotency_key="k")
        harness.write(idempotency_key="k", statement=Statement("insert into t values (?)", (2,)))
        records = [job.idempotency for job in harness.jobs]
        assert records[0] is not None and records[2] is not None
        self.assertEqual((records[0].caller, records[0].key), ("anna", "k"))
        self.assertEqual(records[0], records[1])
        self.assertNotEqual(records[0].fingerprint, records[2].fingerprint)

    def test_read_below_its_floor_is_thrown_away(self) -> None:
        for seen, floor, expected in (
            (LogPosition(1, 10), LogPosition(1, 10), "done"),
            (LogPosition(1, 10), LogPosition(1, 11), "not run: not_fresh"),
            (LogPosition(1, 10), LogPosition(2, 1), "not run: not_fresh"),
            (LogPosition(2, 10), LogPosition(1, 11), "done"),
        ):
            with self.subTest(seen=seen, floor=floor):
                harness = ready()
                key = harness.send(database="cases-2", floor=floor)
                harness.finish(position=seen, role=DatabaseRole.REPLICA)
                self.assertEqual(harness.outcome(key), expected)

    def test_not_fresh_tells_the_position_that_the_read_saw(self) -> None:
        harness = ready()
        key = harness.send(database="cases-2", floor=LogPosition(1, 30))
        harness.finish(position=LogPosition(1, 25), role=DatabaseRole.REPLICA)
        answer = harness.answer(key)
        assert isinstance(answer, StatementNotRun) and answer.status is not None
        self.assertEqual(answer.status.applied, LogPosition(1, 25))


class CancelTest(unittest.TestCase):
    def test_cancel(self) -> None:
        harness = ready(slots=1)
        running, queued = harness.write(), harness.write()
        for key in (running, queued, queued, ("entry", 999)):
            cancel = CancelRequest(key[1])
            harness.take(harness.gateway.handle_cancel("entry", cancel, harness.now))
        self.assertEqual(harness.outcome(running), "waiting")
        self.assertEqual(harness.outcome(queued), "not run: cancelled")
        harness.finish(position=LogPosition(1, 11))
        self.assertEqual(len(harness.every_job), 1)

    def test_cancelled_begin_leaves_no_transaction(self) -> None:
        harness = ready()
        key = harness.send(Access.WRITE, Operation.BEGIN)
        harness.take(harness.gateway.handle_cancel("entry", CancelRequest(key[1]), harness.now))
        harness.finish()
        self.assertEqual(harness.outcome(key), "not run: cancelled")
        self.assertTrue(harness.gateway.is_idle)

    def test_cancelled_begin_leaves_the_queue_of_statements_as_it_is(self) -> None:
        harness = ready(slots=1)
        harness.write(caller="busy")
        begin = harness.send(Access.WRITE, Operation.BEGIN, caller="beginner")
        queued = harness.write(caller="patient")
        harness.take(harness.gateway.handle_cancel("entry", CancelRequest(begin[1]), harness.now))
        self.assertEqual(harness.outcome(begin), "not run: cancelled")
        for offset in (11, 12):
            harness.finish(position=LogPosition(1, offset))
            harness.confirm_all(offset=offset)
        self.assertEqual(harness.outcome(queued), "done")
        self.assertTrue(harness.gateway.is_idle)

    def test_lost_peer(self) -> None:
        harness = ready(slots=1)
        running = harness.write(peer="lost")
        queued = harness.write(peer="lost")
        other = harness.write(peer="entry")
        harness.take(harness.gateway.handle_peer_lost("lost", harness.now))
        harness.finish(position=LogPosition(1, 11))
        harness.finish(position=LogPosition(1, 12))
        harness.confirm_all(offset=12)
        self.assertEqual(harness.outcome(running), "waiting")
        self.assertEqual(harness.outcome(queued), "waiting")
        self.assertEqual(harness.outcome(other), "done")
        self.assertEqual(len(harness.every_job), 2)
        self.assertTrue(harness.gateway.is_idle)


class DeadlineTest(unittest.TestCase):
    def test_queued_past_its_deadline_never_runs(self) -> None:
        for name, thaw in (("timer", False), ("frozen until a connection was free", True)):
            with self.subTest(name):
                harness = ready(slots=1)
                harness.send(remaining=60.0)
                key = harness.write(remaining=0.5)
                if thaw:
                    harness.now += 60.0
                    harness.finish()
                else:
                    harness.run_until(harness.now + 0.5)
                self.assertEqual(harness.outcome(key), "not run: deadline_exceeded")
                self.assertEqual(len(harness.every_job), 1)


class PlacementTest(unittest.TestCase):
    def test_moved_away_finishes_what_it_accepted(self) -> None:
        harness = ready(slots=1)
        keys = [harness.send(), harness.send()]
        harness.configure(make_configuration(slots=1), placement=FixedPlacement("there", "third"))
        self.assertEqual(harness.outcome(harness.send()), "not run: wrong_gateway")
        harness.finish()
        harness.finish()
        self.assertEqual([harness.outcome(key) for key in keys], ["done", "done"])
        self.assertEqual(sum(report.connections for report in harness.gateway.reports()), 0)
        self.assertEqual(len(harness.closed), 3)

    def test_standby_keeps_one_connection_and_opens_the_rest_when_active(self) -> None:
        harness = GatewayHarness()
        harness.configure(placement=FixedPlacement("there", "here"))
        self.assertEqual([report.connections for report in harness.gateway.reports()], [1, 1, 1])
        harness.configure(placement=FixedPlacement())
        self.assertEqual([report.connections for report in harness.gateway.reports()], [2, 2, 2])

    def test_next_gateway_stands_in_only_if_asked_to(self) -> None:
        """Rows: name, placement, fallback, outcome while the read waits for its job."""
        refused = "not run: wrong_gateway"
        cases = [
            ("next, not asked to", ("there", "here"), False, refused),
            ("next", ("there", "here"), True, "waiting"),
            ("neither active nor next", ("there", "third", "here"), True, refused),
        ]
        for name, order, fallback, outcome in cases:
            with self.subTest(name):
                harness = GatewayHarness()
                harness.configure(placement=FixedPlacement(*order))
                key = harness.send(database="cases-2", fallback=fallback)
                self.assertEqual(harness.outcome(key), outcome)

    def test_standing_in_opens_all_connections_and_gives_them_back(self) -> None:
        harness = GatewayHarness()
        harness.configure(placement=FixedPlacement("there", "here"))
        harness.write(fallback=True)
        harness.open_all()
        self.assertEqual([report.connections for report in harness.gateway.reports()], [2, 1, 1])
        harness.finish(position=LogPosition(1, 11))
        harness.confirm_all(offset=11)
        self.assertEqual(harness.gateway.reports()[0].connections, 2)
        harness.run_until(harness.now + harness.settings.stand_in_linger)
        self.assertEqual(harness.gateway.reports()[0].connections, 1)

    def test_cut_off_from_the_whole_group_is_not_taken_for_a_lost_primary(self) -> None:
        harness = ready()
        key = harness.send(confirm=True)
        for status_round in list(harness.rounds):
            for database in status_round.databases:
                harness.read_status(status_round, database, None)
        self.assertNotEqual(harness.outcome(key), "done")
        self.assertEqual(harness.outcome(harness.write()), "not run: database_unreachable")

    def test_drained_database(self) -> None:
        harness = ready(slots=1)
        running, queued = harness.send(), harness.send()
        harness.configure(make_configuration(slots=1), policy=FixedPolicy(PRIMARY))
        self.assertEqual(harness.outcome(queued), "not run: database_drained")
        harness.finish()
        self.assertEqual(harness.outcome(running), "done")
        harness.run_until(harness.now + 10)
        self.assertEqual(harness.gateway.reports()[0].connections, 0)
        self.assertEqual(len(harness.every_job), 1)
        self.assertEqual([item.database for item in harness.opening], [])
        harness.configure(make_configuration(slots=1))
        key = harness.send()
        harness.finish()
        self.assertEqual(harness.outcome(key), "done")

    def test_leaving_finishes_what_it_accepted(self) -> None:
        harness = ready(slots=1)
        keys = [harness.send(), harness.send()]
        harness.take(harness.gateway.leave(harness.now))
        self.assertFalse(harness.gateway.is_idle)
        harness.finish()
        harness.finish()
        self.assertEqual([harness.outcome(key) for key in keys], ["done", "done"])
        self.assertTrue(harness.gateway.is_idle)

    def test_cut_off_proxy_gives_up_what_waits(self) -> None:
        harness = ready(slots=1)
        running, queued = harness.send(), harness.send()
        harness.take(harness.gateway.set_serving(False, harness.now))
        harness.finish()
        self.assertEqual(harness.outcome(running), "done")
        self.assertEqual(harness.outcome(queued), "not run: isolated")

    def test_database_that_changes_group_ends_in_the_old_one_first(self) -> None:
        harness = ready()
        running = harness.write()
        moved = Resource(Kind.DATABASE, PRIMARY, (), DatabaseSpec("other", "cases-1:1", "zone"))
        change = ChangeSet(2, "change", "operator", put=(moved,))
        configuration = make_configuration().with_change(change)
        harness.configure(configuration)
        self.assertEqual(harness.outcome(harness.send(group="other")), "not run: not_ready")
        harness.finish(position=LogPosition(1, 11))
        harness.confirm_all(offset=11)
        self.assertEqual(harness.outcome(running), "done")
        key = harness.send(group="other")
        harness.open_all()
        harness.finish()
        self.assertEqual(harness.outcome(key), "done")


class UnknownReportTest(unittest.TestCase):
    def test_result_for_an_unknown_job_is_dropped(self) -> None:
        harness = ready()
        result = JobDone(12345, DatabaseRole.PRIMARY, LogPosition(1, 1))
        self.assertEqual(harness.gateway.handle_job_result(result, harness.now), [])


if __name__ == "__main__":
    unittest.main()
