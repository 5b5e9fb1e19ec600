"""No write is acknowledged for a replaced primary: the judgement, and the gateway that uses it."""

import unittest
from collections.abc import Callable
from typing import NamedTuple

from dewledge.core.proxy.configuration.resources import Confirmation
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.gateway.confirmation import Claim, RoundEvidence, Verdict, holds, judge
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import (
    DATABASES,
    PRIMARY,
    FixedPlacement,
    FixedPolicy,
    GatewayHarness,
    make_configuration,
    status,
)

ONE, TWO, THREE = DATABASES
POSITION = Confirmation.MAJORITY_POSITION
TERM = Confirmation.MAJORITY_TERM


class Judgement(NamedTuple):
    """A claim of a write at (2, 11), the readings of a round, and what they prove."""

    name: str
    readings: tuple[DatabaseStatus, ...]
    expected: Verdict
    policy: Confirmation = POSITION
    claim: Claim = Claim(ONE, LogPosition(2, 11), 2, True)


OLD_LOG = Claim(ONE, LogPosition(1, 11), 2, True)
READ = Claim(ONE, LogPosition(2, 11), 2, False)
JUDGEMENTS = (
    Judgement("held at a majority", (status(ONE, 2, 11), status(TWO, 2, 11)), Verdict.CONFIRMED),
    Judgement("held without the primary's own reading",
              (status(TWO, 2, 11), status(THREE, 2, 12)), Verdict.CONFIRMED),
    Judgement("primary alone", (status(ONE, 2, 11),), Verdict.UNDECIDED),
    Judgement("replicas lag", (status(ONE, 2, 11), status(TWO, 2, 10), status(THREE, 2, 10)),
              Verdict.UNDECIDED),
    Judgement("replicas lag, term asked for",
              (status(ONE, 2, 11), status(TWO, 2, 10)), Verdict.CONFIRMED, TERM),
    Judgement("one later term", (status(ONE, 2, 11), status(TWO, 3, 11)), Verdict.SUPERSEDED),
    Judgement("one later term beside a majority",
              (status(ONE, 2, 11), status(TWO, 2, 11), status(THREE, 3, 5)), Verdict.SUPERSEDED),
    Judgement("later term, term asked for",
              (status(ONE, 2, 11), status(TWO, 3, 11)), Verdict.SUPERSEDED, TERM),
    Judgement("a replica still in an earlier term",
              (status(ONE, 2, 11), status(TWO, 1, 30)), Verdict.UNDECIDED),
    Judgement("a replica whose longer log is of an earlier term",
              (status(ONE, 2, 11), status(TWO, 2, 30, log_term=1)), Verdict.UNDECIDED),
    Judgement("nothing new written, primary throughout",
              (status(ONE, 2, 11, log_term=1), status(TWO, 2, 11, log_term=1)),
              Verdict.CONFIRMED, POSITION, OLD_LOG),
    Judgement("nothing new written, primary not heard",
              (status(TWO, 2, 11, log_term=1), status(THREE, 2, 11, log_term=1)),
              Verdict.UNDECIDED, POSITION, OLD_LOG),
    Judgement("nothing new written, another database is primary of the term",
              (status(ONE, 2, 11, TWO, 1), status(TWO, 2, 11, TWO, 1)),
              Verdict.SUPERSEDED, POSITION, OLD_LOG),
    Judgement("term at the start not known",
              (status(ONE, 2, 11, log_term=1), status(TWO, 2, 11, log_term=1)),
              Verdict.SUPERSEDED, POSITION, Claim(ONE, LogPosition(1, 11), 0, True)),
    Judgement("a replica on a branch as long",
              (status(ONE, 3, 11, log_term=1), status(TWO, 3, 11, log_term=2)),
              Verdict.UNDECIDED, POSITION, Claim(ONE, LogPosition(1, 11), 3, True)),
    Judgement("read, primary with a majority",
              (status(ONE, 2, 11), status(TWO, 2, 3)), Verdict.CONFIRMED, POSITION, READ),
    Judgement("read, primary not heard",
              (status(TWO, 2, 11), status(THREE, 2, 11)), Verdict.UNDECIDED, POSITION, READ),
    Judgement("read, no longer primary",
              (status(ONE, 2, 11, TWO), status(TWO, 2, 11, TWO)),
              Verdict.SUPERSEDED, POSITION, READ),
)  # fmt: skip


class JudgementTest(unittest.TestCase):
    def test_judge(self) -> None:
        for row in JUDGEMENTS:
            with self.subTest(row.name):
                evidence = RoundEvidence(row.readings, len(DATABASES), row.policy)
                verdict = judge(row.claim, evidence)
                self.assertIs(verdict, row.expected)

    def test_majority_of_the_configured_group(self) -> None:
        readings = (status(ONE, 2, 11), status(TWO, 2, 11))
        claim = Claim(ONE, LogPosition(2, 11), 2, True)
        evidence = RoundEvidence(readings, 4, POSITION)
        self.assertIs(judge(claim, evidence), Verdict.UNDECIDED)

    def test_entry_that_the_log_is_about_to_cut_off_is_not_held(self) -> None:
        cut = status(TWO, 3, 12, log_term=2, term_starts=(TermStart(2, 5), TermStart(3, 11)))
        self.assertTrue(holds(cut, LogPosition(2, 11), 3))
        self.assertFalse(holds(cut, LogPosition(2, 12), 3))


def after_write(remaining: float = 2.0) -> tuple[GatewayHarness, tuple[str, int]]:
    """A gateway with a write that the database has just answered."""
    harness = GatewayHarness()
    harness.configure()
    harness.tick(0.01)
    key = harness.write(remaining=remaining)
    harness.finish(position=LogPosition(1, 11))
    return harness, key


def lose_two(harness: GatewayHarness) -> None:
    status_round = harness.rounds.pop()
    harness.read(status_round, ONE, offset=11)
    harness.read_status(status_round, TWO, None)
    harness.read_status(status_round, THREE, None)


def old_round_answers(harness: GatewayHarness) -> None:
    """A freeze between the readings of a round: the second comes a minute after the first."""
    status_round = harness.rounds.pop()
    harness.read(status_round, ONE, offset=11)
    harness.now += 60.0
    harness.read(status_round, TWO, offset=11)
    harness.read(status_round, THREE, offset=11)


def doubled_reading(harness: GatewayHarness) -> None:
    status_round = harness.rounds.pop()
    for _ in range(3):
        harness.read(status_round, ONE, offset=11)


def swapped_reading(harness: GatewayHarness) -> None:
    status_round = harness.rounds.pop()
    harness.read(status_round, ONE, offset=11)
    for database in (TWO, THREE):
        harness.read_status(status_round, database, status(ONE, offset=11))


def foreign_reading(harness: GatewayHarness) -> None:
    status_round = harness.rounds.pop()
    harness.read(status_round, ONE, offset=11)
    harness.read(status_round, "other", offset=11)


def one_answers(harness: GatewayHarness, database: str, **fields: object) -> None:
    harness.read(harness.rounds.pop(), database, **fields)


class Fault(NamedTuple):
    """A fault after the job's result, and what the caller may be told right after it."""

    name: str
    happen: Callable[[GatewayHarness], object]
    expected: str


FAULTS = (
    Fault("none", lambda h: h.answer_rounds(offset=11), "done"),
    Fault("no reading yet", lambda h: None, "waiting"),
    Fault("two databases do not answer", lose_two, "waiting"),
    Fault("replicas lag", lambda h: h.answer_rounds(offset=10), "waiting"),
    Fault("doubled reading", doubled_reading, "waiting"),
    Fault("readings swapped between databases", swapped_reading, "waiting"),
    Fault("reading of a database outside the group", foreign_reading, "waiting"),
    Fault("new primary seen by one",
          lambda h: one_answers(h, TWO, term=2, primary=TWO), "unknown: not_confirmed"),
    Fault("old primary has stepped down",
          lambda h: one_answers(h, ONE, term=2, offset=11, primary=TWO, log_term=1),
          "unknown: not_confirmed"),
    Fault("frozen between two readings", old_round_answers, "waiting"),
    Fault("frozen past the deadline", lambda h: h.tick(60.0), "unknown: not_confirmed"),
    Fault("primary and majority in time, then the deadline",
          lambda h: (h.answer_rounds(offset=11), h.tick(60.0)), "done"),
    Fault("never confirmed", lambda h: [h.confirm_all(offset=10) for _ in range(20)],
          "unknown: not_confirmed"),
    Fault("database moved elsewhere", lambda h: (
        h.configure(placement=FixedPlacement("there", "third"), ready=False),
        h.answer_rounds(offset=11)), "done"),
    Fault("database drained", lambda h: (
        h.configure(policy=FixedPolicy(PRIMARY), ready=False),
        h.answer_rounds(offset=11)), "done"),
)  # fmt: skip


class WriteConfirmationTest(unittest.TestCase):
    def test_faults_after_the_commit(self) -> None:
        for row in FAULTS:
            with self.subTest(row.name):
                harness, key = after_write()
                row.happen(harness)
                self.assertEqual(harness.outcome(key), row.expected)

    def test_round_begun_before_the_result_does_not_count(self) -> None:
        harness = GatewayHarness()
        harness.configure()
        key = harness.write()
        harness.run_until(harness.now + 0.5)
        early = harness.rounds.pop()
        harness.read(early, ONE, offset=11)
        harness.finish(position=LogPosition(1, 11))
        harness.read(early, TWO, offset=11)
        harness.read(early, THREE, offset=11)
        self.assertEqual(harness.outcome(key), "waiting")
        harness.confirm_all(offset=11)
        self.assertEqual(harness.outcome(key), "done")

    def test_late_round_is_thrown_away_and_another_one_confirms(self) -> None:
        harness, key = after_write(remaining=100.0)
        old_round_answers(harness)
        self.assertEqual(harness.outcome(key), "waiting")
        harness.confirm_all(offset=11)
        self.assertEqual(harness.outcome(key), "done")

    def test_one_round_confirms_all_that_came_before_it(self) -> None:
        harness = GatewayHarness()
        harness.configure(make_configuration(slots=10))
        harness.tick(0.01)
        keys = [harness.write() for _ in range(10)]
        for offset, _ in enumerate(keys, start=11):
            harness.finish(position=LogPosition(1, offset))
        self.assertEqual(harness.answer_rounds(offset=20), 1)
        harness.tick(0.01)
        self.assertEqual(harness.answer_rounds(offset=20), 1)
        self.assertEqual({harness.outcome(key) for key in keys}, {"done"})

    def test_dead_database_does_not_slow_confirmation_down(self) -> None:
        harness = GatewayHarness()
        harness.configure()
        harness.tick(0.01)
        asked: list[str] = []
        for offset in range(11, 31):
            key = harness.write()
            harness.finish(position=LogPosition(1, offset))
            harness.tick(0.002)
            status_round = harness.rounds.pop()
            asked.extend(status_round.databases)
            harness.read(status_round, ONE, offset=offset)
            harness.read(status_round, TWO, offset=offset)
            self.assertEqual(harness.outcome(key), "done")
        self.assertEqual(asked.count(THREE), 1)

    def test_repeated_outcome_is_confirmed_too(self) -> None:
        for name, fields, expected in (
            ("same primary", {"offset": 11}, "done"),
            ("other primary", {"term": 2, "primary": TWO}, "unknown: not_confirmed"),
        ):
            with self.subTest(name):
                harness = GatewayHarness()
                harness.configure()
                harness.tick(0.01)
                key = harness.write(idempotency_key="k")
                harness.finish(position=LogPosition(1, 11), repeated=True)
                self.assertEqual(harness.outcome(key), "waiting")
                harness.answer_rounds(**fields)
                self.assertEqual(harness.outcome(key), expected)

    def test_majority_term_does_not_wait_for_replicas(self) -> None:
        harness = GatewayHarness()
        harness.configure(make_configuration(confirmation=TERM))
        harness.tick(0.01)
        key = harness.write()
        harness.finish(position=LogPosition(1, 11))
        harness.answer_rounds(offset=10)
        self.assertEqual(harness.outcome(key), "done")

    def test_unconfirmed_writes_are_bounded(self) -> None:
        harness = GatewayHarness()
        harness.configure(make_configuration(slots=1))
        harness.tick(0.01)
        outcomes = set()
        for offset in range(harness.settings.max_unconfirmed + 5):
            key = harness.write()
            if harness.jobs:
                harness.finish(position=LogPosition(1, 11 + offset))
            outcomes.add(harness.outcome(key))
        self.assertEqual(outcomes, {"waiting", "not run: overloaded"})
        key = harness.send()
        harness.finish()
        self.assertEqual(harness.outcome(key), "done")


class ReadConfirmationTest(unittest.TestCase):
    def read(self, role: DatabaseRole = DatabaseRole.PRIMARY, **fields: object) -> str:
        harness = GatewayHarness()
        harness.configure()
        harness.tick(0.01)
        key = harness.send(confirm=True, remaining=1.0)
        harness.answer_rounds(**fields)
        harness.finish(role=role)
        return harness.outcome(key)

    def test_primary_read_without_floor(self) -> None:
        self.assertEqual(self.read(), "done")
        self.assertEqual(self.read(offset=3), "done")
        self.assertEqual(self.read(term=2, primary=TWO), "not run: not_primary")
        self.assertEqual(self.read(role=DatabaseRole.REPLICA), "not run: not_primary")

    def test_needs_a_round_begun_after_its_arrival(self) -> None:
        harness = GatewayHarness()
        harness.configure()
        harness.send()
        harness.run_until(harness.now + 0.5)
        early = harness.rounds.pop()
        key = harness.send(confirm=True, remaining=1.0)
        for database in DATABASES:
            harness.read(early, database)
        harness.finish(harness.jobs[-1])
        self.assertEqual(harness.outcome(key), "waiting")
        harness.run_until(harness.now + 1.0)
        self.assertEqual(harness.outcome(key), "not run: deadline_exceeded")

    def test_stale_round_does_not_confirm_after_a_freeze(self) -> None:
        harness = GatewayHarness()
        harness.configure()
        harness.tick(0.01)
        key = harness.send(confirm=True, remaining=100.0)
        harness.answer_rounds()
        harness.now += 60.0
        harness.finish()
        self.assertEqual(harness.outcome(key), "waiting")


class SparedWriteTest(unittest.TestCase):
    def test_no_majority_means_no_write(self) -> None:
        harness = GatewayHarness()
        harness.configure()
        harness.send()
        harness.run_until(harness.now + 0.5)
        lose_two(harness)
        self.assertEqual(harness.outcome(harness.write()), f"not run: {ErrorCode.NO_PRIMARY}")
        harness.run_until(harness.now + 0.1)
        harness.answer_rounds()
        self.assertEqual(harness.outcome(harness.write()), "waiting")


if __name__ == "__main__":
    unittest.main()
