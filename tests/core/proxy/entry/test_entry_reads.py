"""Read routing through the entry: rules that leave the primary out, held reads, refreshes."""

import unittest

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest, StatementRequest
from dewledge.errors import ErrorCode
from tests.core.proxy.entry.entry_harness import (
    CODEC,
    GROUP,
    EntryHarness,
    configuration,
    position,
    status,
)

REPLICA = DatabaseRole.REPLICA


class ReadIndexTest(unittest.TestCase):
    """Callers whose rules let reads go to b only; the primary is a."""

    def setUp(self) -> None:
        self.harness = EntryHarness(config=configuration(readable=("b",)))

    def answer_question(self, ages: tuple[float, ...], offsets: tuple[int, ...]) -> None:
        """Answers the latest status request with received offsets of a, b, c."""
        peer, question = self.harness.sent_of(GroupStatusRequest)[-1]
        shown = tuple(
            status(name, offset=offset)
            for name, offset in zip(("b", "c", "a"), offsets, strict=False)
        )
        self.harness.receive(
            peer, GroupStatusAnswer(question.correlation, GROUP, shown, ages[: len(shown)])
        )

    def test_floor_comes_from_a_majority_asked_after_arrival(self) -> None:
        """Rows: name, ages and offsets of the statuses, floor of the read that follows."""
        cases = [
            ("one round", (0.01, 0.01, 0.01), (20, 25, 22), position(1, 25)),
            ("an older reading does not count", (0.01, 0.01, 0.4), (20, 21, 30), position(1, 21)),
            ("no majority in the newest round", (0.01, 0.4, 0.4), (20, 21, 30), None),
            ("one answer", (0.01,), (20,), None),
        ]
        for name, ages, offsets, floor in cases:
            with self.subTest(name):
                self.setUp()
                self.harness.read()
                self.assertEqual(self.harness.sent_of(StatementRequest), [])
                self.answer_question(ages, offsets)
                sent = [message for _, message in self.harness.sent_of(StatementRequest)]
                self.assertEqual([item.floor for item in sent], [floor] if floor else [])
                self.assertEqual([item.database for item in sent], ["b"] if floor else [])

    def test_reads_that_came_later_wait_for_the_next_round(self) -> None:
        first, second = self.harness.read(), self.harness.read()
        self.assertEqual(len(self.harness.sent_of(GroupStatusRequest)), 1)
        self.answer_question((0.0,) * 3, (20, 20, 20))
        self.harness.answer_done(position(1, 20), REPLICA)
        self.assertEqual(self.harness.answer(first).outcome, Outcome.DONE)
        self.assertIsNone(self.harness.answer(second))
        self.answer_question((0.0,) * 3, (21, 21, 21))
        self.assertEqual(self.harness.last_request()[1].floor, position(1, 21))

    def test_lost_question_is_asked_again_and_in_the_end_refused(self) -> None:
        request_id = self.harness.read(deadline=2.0)
        self.harness.advance(1.2)
        self.assertGreaterEqual(len(self.harness.sent_of(GroupStatusRequest)), 3)
        self.harness.advance(0.79)
        answer = self.harness.answer(request_id)
        expected = (Outcome.NOT_RUN, ErrorCode.NO_FRESH_REPLICA)
        self.assertEqual((answer.outcome, answer.code), expected)
        self.answer_question((0.0,) * 3, (20, 20, 20))
        self.assertIs(self.harness.answer(request_id), answer)

    def test_floored_read_waits_for_its_replica(self) -> None:
        request_id = self.harness.read(position(1, 10))
        for _ in range(3):
            self.assertEqual(self.harness.last_request()[1].database, "b")
            self.harness.answer_not_run(ErrorCode.NOT_FRESH)
            self.harness.advance(0.5)
        self.harness.answer_done(position(1, 10), REPLICA)
        self.assertEqual(self.harness.answer(request_id).served_by, "b")


class FirstReadTest(unittest.TestCase):
    """With `first_read_lag_limit`, a read without a floor starts on a replica."""

    def setUp(self) -> None:
        self.harness = EntryHarness(settings=EntrySettings(first_read_lag_limit=0.1))

    def test_read_index_from_the_own_zone_leads_to_a_replica(self) -> None:
        request_id = self.harness.read()
        peer, question = self.harness.sent_of(GroupStatusRequest)[-1]
        self.assertEqual((peer, question.fresh), ("ga", True))
        shown = (status("a", DatabaseRole.PRIMARY, offset=12), status("b"), status("c"))
        answer = GroupStatusAnswer(question.correlation, GROUP, shown, (0.0,) * 3)
        self.harness.receive(peer, answer)
        _, message = self.harness.last_request()
        self.assertIn(message.database, ("b", "c"))
        self.assertEqual(message.floor, position(1, 12))
        self.harness.answer_done(position(1, 12), REPLICA)
        self.assertEqual(self.harness.answer(request_id).outcome, Outcome.DONE)

    def test_without_an_answer_the_confirmed_primary_serves_it(self) -> None:
        self.harness.read()
        self.harness.advance(0.25)
        _, message = self.harness.last_request()
        self.assertEqual((message.database, message.confirm, message.floor), ("a", True, None))

    def test_lagging_replicas_are_not_waited_for(self) -> None:
        for offset in range(11, 30):
            self.harness.call()
            self.harness.answer_done(position(1, offset))
            self.harness.advance(0.5)
            self.harness.show("a", offset=offset, b=10, c=10)
        self.harness.read()
        self.assertEqual(self.harness.last_request()[1].database, "a")


class FreshnessTest(unittest.TestCase):
    def test_read_is_held_for_a_replica_about_to_be_fresh(self) -> None:
        """Replicas lag by 20 ms; a read of what was written 17 ms ago waits, within read_wait."""
        harness = EntryHarness()
        for offset in range(11, 111):
            harness.call()
            harness.answer_done(position(1, offset))
            harness.advance(0.01)
            harness.show("a", offset=offset, b=offset - 2, c=offset - 2)
        harness.call()
        harness.answer_done(position(1, 111))
        harness.advance(0.017)
        sent = len(harness.sent_of(StatementRequest))
        harness.read(position(1, 111))
        self.assertEqual(len(harness.sent_of(StatementRequest)), sent)
        harness.advance(0.01)
        self.assertIn(harness.last_request()[1].database, ("b", "c"))

    def test_session_roams_and_never_reads_below_its_floor(self) -> None:
        """Three entries; each answer's token goes to the next one."""
        entries = [EntryHarness(seed=seed) for seed in range(3)]
        applied = {"a": 10, "b": 10, "c": 10}
        session, floor = None, position(0, 0)
        for step in range(60):
            harness = entries[step % 3]
            if step % 4 == 0:
                request_id = harness.call(session=session)
                applied["a"] += 1
            else:
                request_id = harness.read(**({"session": session} if session else {}))
            while harness.answer(request_id) is None:
                _, message = harness.last_request()
                at = position(1, applied[message.database])
                applied["b" if step % 2 else "c"] = applied["a"]
                if message.floor is not None and at < message.floor:
                    shown = status(message.database, offset=at.offset)
                    harness.answer_not_run(ErrorCode.NOT_FRESH, status=shown)
                else:
                    harness.answer_done(at)
                harness.advance(0.02)
            session = harness.answer(request_id).session or session
            raised = CODEC.open(session, "app").floor(GROUP)
            self.assertGreaterEqual(raised, floor)
            floor = raised


class RefreshTest(unittest.TestCase):
    def test_views_in_use_are_refreshed_at_a_bounded_rate(self) -> None:
        harness = EntryHarness(settings=EntrySettings(poll_rate=2.0, poll_interval=0.1))
        for _ in range(50):
            harness.read(position(1, 10))
            harness.answer_done(position(1, 10), REPLICA)
            harness.advance(0.1)
        refreshes = len(harness.sent_of(GroupStatusRequest))
        self.assertTrue(5 <= refreshes <= 11, refreshes)

    def test_idle_groups_cost_nothing(self) -> None:
        harness = EntryHarness()
        harness.advance(60.0)
        harness.sent.clear()
        harness.advance(600.0)
        self.assertEqual(harness.sent, [])
        self.assertIsNone(harness.entry.next_wake())
