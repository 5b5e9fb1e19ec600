"""The group model: what it promises to those who test against it."""

from collections.abc import Callable
from typing import NamedTuple

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.shared.positions import TermStart, is_cut_off, satisfies
from dewledge.errors import (
    ConnectionBroken,
    ConnectionLimitReached,
    ConnectRefused,
    DatabaseError,
    ErrorCode,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)
from dewledge.standin.checkpoints import CHECKPOINT_INTERVAL
from dewledge.standin.group_types import (
    DatabaseNotAnswering,
    LagStage,
)
from tests.standin.group_model_case import NAMES, SETTLE, GroupModelCase, insert


class ReplacedPrimary(NamedTuple):
    name: str
    fault: Callable[[GroupModelCase], None]
    mend: Callable[[GroupModelCase], None]
    accepts_meanwhile: bool


REPLACED_PRIMARY = (
    ReplacedPrimary(
        "cut off from its group only",
        lambda case: case.model.cut_off("a", False, case.now),
        lambda case: case.model.heal("a", case.now),
        True,
    ),
    ReplacedPrimary(
        "cut off from callers too",
        lambda case: case.model.cut_off("a", True, case.now),
        lambda case: case.model.heal("a", case.now),
        False,
    ),
    ReplacedPrimary(
        "frozen",
        lambda case: case.model.freeze("a", case.now),
        lambda case: case.model.thaw("a", case.now),
        False,
    ),
    ReplacedPrimary(
        "killed",
        lambda case: case.model.kill("a", case.now),
        lambda case: case.model.restart("a", case.now),
        False,
    ),
)


class FailoverTest(GroupModelCase):
    def test_replaced_primary_rejoins_with_the_surviving_log(self) -> None:
        for row in REPLACED_PRIMARY:
            with self.subTest(row.name):
                self.setUp()
                self.write(insert("kept"))
                self.wait(0.1)
                row.fault(self)
                if row.accepts_meanwhile:
                    self.write(insert("dropped"))
                    self.write(insert("dropped too"))
                else:
                    with self.assertRaises(DatabaseError):
                        self.write(insert("never"))
                self.wait()
                primary = self.model.primaries()[0]
                self.assertNotEqual(primary, "a")
                self.write(insert("later"), self.open(primary))
                row.mend(self)
                self.wait()
                self.assertEqual(self.model.primaries(), (primary,))
                for name in NAMES:
                    self.assertEqual(self.bodies(self.open(name)), ["kept", "later"])

    def test_position_that_was_cut_off_is_known_as_such(self) -> None:
        start = self.status("a").received
        self.wait(0.1)
        self.model.cut_off("a", False, self.now)
        dropped = self.write(insert("dropped"))
        self.wait()
        primary = self.model.primaries()[0]
        starts = self.status(primary).term_starts
        self.assertEqual(starts, (TermStart(1, 0), TermStart(2, start.offset)))
        self.assertTrue(is_cut_off(dropped, starts))
        self.assertFalse(is_cut_off(start, starts))

    def test_checkpoint_of_a_branch_that_was_cut_off_is_not_used(self) -> None:
        for _ in range(CHECKPOINT_INTERVAL - 10):
            self.write(insert("kept"))
        self.wait(0.1)
        self.model.cut_off("a", False, self.now)
        for _ in range(20):
            self.write(insert("dropped"))
        self.wait()
        self.model.heal("a", self.now)
        self.wait()
        for fault in (lambda: None, lambda: self.model.kill("a", self.now)):
            fault()
            self.model.restart("a", self.now)
            self.assertEqual(set(self.bodies(self.open("a"))), {"kept"})

    def test_majority_is_needed_for_an_election(self) -> None:
        for name in ("a", "b"):
            self.model.kill(name, self.now)
        self.wait(10 * SETTLE)
        self.assertEqual(self.model.primaries(), ())
        self.model.restart("a", self.now)
        self.wait()
        self.assertEqual(len(self.model.primaries()), 1)

    def test_replica_cut_off_and_back_does_not_disturb_the_term(self) -> None:
        self.model.cut_off("c", False, self.now)
        self.wait(10 * SETTLE)
        self.model.heal("c", self.now)
        self.wait()
        self.assertEqual(self.model.primaries(), ("a",))
        self.assertEqual(self.status("c").term, 1)

    def test_frozen_primary_thaws_into_the_old_term_and_then_learns(self) -> None:
        self.model.freeze("a", self.now)
        self.wait(60.0)
        self.model.thaw("a", self.now)
        old = self.write(insert("late word"))
        self.assertEqual(old.term, 1)
        self.wait()
        self.assertEqual(self.status("a").role, DatabaseRole.REPLICA)
        self.assertNotIn(old, [entry.position for entry in self.model.surviving_log()])
        self.assertIn(old, [entry.position for entry in self.model.history])


class LagTest(GroupModelCase):
    def test_lagging_replica_is_behind_and_catches_up(self) -> None:
        for stage, received_at_once in ((LagStage.RECEIVE, False), (LagStage.APPLY, True)):
            with self.subTest(stage):
                self.setUp()
                self.wait(0.1)
                self.model.set_lag("b", 5.0, self.now, stage)
                position = self.write(insert("new"))
                self.wait(1.0)
                behind = self.status("b")
                self.assertEqual(behind.received == position, received_at_once)
                self.assertFalse(satisfies(behind.applied, position, behind.term_starts))
                self.assertEqual(self.status("c").applied, position)
                self.wait(5.0)
                self.assertEqual(self.status("b").applied, position)

    def test_lag_does_not_cause_an_election(self) -> None:
        self.model.set_lag("b", 30.0, self.now)
        self.wait(60.0)
        self.assertEqual(self.model.primaries(), ("a",))

    def test_ended_lag_is_made_good_at_once(self) -> None:
        self.model.set_lag("b", 60.0, self.now)
        position = self.write(insert("new"))
        self.wait(1.0)
        self.model.set_lag("b", 0.0, self.now)
        self.wait(1.0)
        self.assertEqual(self.status("b").applied, position)


class TransactionTest(GroupModelCase):
    def test_open_transaction_is_seen_by_nobody_else(self) -> None:
        session = self.begin()
        self.write(insert("mine"), session)
        self.assertEqual(self.bodies(session), ["mine"])
        self.assertEqual(self.bodies(self.session), [])
        self.model.commit(session, self.now)
        self.assertEqual(self.bodies(self.session), ["mine"])

    def test_transaction_that_ends_without_commit_has_no_effect(self) -> None:
        endings: tuple[Callable[[int], object], ...] = (
            lambda session: self.model.rollback(session, self.now),
            lambda session: self.model.close_session(session, self.now),
            lambda session: self.model.reset_connections("a", self.now),
        )
        for end in endings:
            self.setUp()
            session = self.begin()
            self.write(insert("undone"), session)
            end(session)
            self.assertEqual(self.bodies(self.open("a")), [])

    def test_conflicting_transaction_is_undone_as_a_whole(self) -> None:
        session = self.begin()
        self.assertEqual(self.bodies(session), [])
        self.write(insert("second"), session)
        self.write(insert("first"))
        with self.assertRaises(TransactionConflict):
            self.model.commit(session, self.now)
        self.assertEqual(self.bodies(self.session), ["first"])

    def test_transaction_of_a_replaced_primary_is_refused_from_then_on(self) -> None:
        session = self.begin()
        self.write(insert("lost"), session)
        self.model.cut_off("a", False, self.now)
        self.wait()
        self.model.heal("a", self.now)
        self.wait()
        for attempt in (self.write, lambda _, session: self.model.commit(session, self.now)):
            with self.assertRaises(StatementRefused) as raised:
                attempt(insert("alone"), session)
            self.assertEqual(raised.exception.code, ErrorCode.TRANSACTION_LOST)
        self.assertEqual(self.bodies(session), [])

    def test_transaction_on_a_replica_is_refused(self) -> None:
        session = self.open("b")
        with self.assertRaises(StatementRefused) as raised:
            self.model.begin(session, self.now)
        self.assertEqual(raised.exception.code, ErrorCode.NOT_PRIMARY)


class StatementTest(GroupModelCase):
    def test_statements_that_fail_change_nothing(self) -> None:
        rows = (
            ("broken text", "SELEC 1", Access.READ),
            ("read that writes", "DELETE FROM notes", Access.READ),
            ("read that returns what it wrote", "DELETE FROM notes RETURNING id", Access.READ),
            ("own transaction control", "COMMIT", Access.WRITE),
            ("the same behind a comment", "/* */ begin", Access.WRITE),
            ("savepoint", "SAVEPOINT x", Access.WRITE),
            ("other database", "ATTACH ':memory:' AS other", Access.WRITE),
            ("engine setting", "PRAGMA query_only = 1", Access.WRITE),
            ("two statements", "DELETE FROM notes; DELETE FROM notes", Access.WRITE),
            ("not deterministic", "INSERT INTO notes (body) VALUES (random())", Access.WRITE),
            ("violated key", "INSERT INTO notes (id) VALUES (1)", Access.WRITE),
        )
        self.write(insert("one"))
        before = self.status("a").received
        for name, sql, access in rows:
            with self.subTest(name), self.assertRaises(StatementFailed):
                self.model.execute(self.session, Statement(sql), access, self.now)
        self.assertEqual(self.status("a").received, before)
        self.assertEqual(self.bodies(self.session), ["one"])

    def test_write_on_a_replica_is_refused(self) -> None:
        with self.assertRaises(StatementRefused):
            self.write(insert("no"), self.open("b"))

    def test_lost_answer_follows_a_commit_that_took_effect(self) -> None:
        self.model.lose_answers("a", 1, self.now)
        with self.assertRaises(ConnectionBroken):
            self.write(insert("done"))
        self.assertEqual(self.bodies(self.open("a")), ["done"])
        with self.assertRaises(ConnectionBroken):
            self.bodies(self.session)

    def test_connection_limit_is_hard_and_a_closed_one_comes_back(self) -> None:
        for _ in range(3):
            self.open("a")
        with self.assertRaises(ConnectionLimitReached):
            self.open("a")
        self.model.close_session(self.session, self.now)
        self.open("a")

    def test_database_that_does_not_answer(self) -> None:
        rows: tuple[tuple[str, Callable[[], None], type[DatabaseError]], ...] = (
            ("frozen", lambda: self.model.freeze("a", self.now), DatabaseNotAnswering),
            ("cut", lambda: self.model.cut_off("a", True, self.now), DatabaseNotAnswering),
            ("killed", lambda: self.model.kill("a", self.now), ConnectionBroken),
        )
        for name, fault, expected in rows:
            with self.subTest(name):
                self.setUp()
                fault()
                self.assertIsNone(self.model.status("a", self.now))
                with self.assertRaises(expected):
                    self.bodies(self.session)
                with self.assertRaises(ConnectRefused):
                    self.open("a")
