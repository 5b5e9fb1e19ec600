"""Rounds that overlap: a result that comes while one is under way does not wait for its end."""

import unittest

from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest
from dewledge.core.shared.positions import LogPosition
from tests.core.proxy.gateway.gateway_harness import DATABASES, GROUP, GatewayHarness

ONE, TWO, THREE = DATABASES
ROUND_TIME = 0.04
AT_ONCE = GatewaySettings().rounds_at_once
SPACING = ROUND_TIME / AT_ONCE
QUESTION = 1_000_000


def ready(rounds_at_once: int = AT_ONCE) -> GatewayHarness:
    """A gateway that has learned how long a round takes."""
    harness = GatewayHarness(GatewaySettings(rounds_at_once=rounds_at_once))
    harness.configure()
    for _ in range(40):
        harness.write()
        harness.finish()
        harness.run_until(harness.now + ROUND_TIME)
        harness.answer_rounds(offset=100)
        harness.run_until(harness.now + 0.01)
    harness.answer_rounds(offset=100)
    return harness


def write(harness: GatewayHarness, offset: int) -> tuple[str, int]:
    key = harness.write()
    harness.finish(position=LogPosition(1, offset))
    return key


class OverlapTest(unittest.TestCase):
    def test_second_write_gets_a_round_of_its_own_before_the_first_one_ends(self) -> None:
        for rounds_at_once, expected in ((1, "waiting"), (AT_ONCE, "done")):
            with self.subTest(rounds_at_once=rounds_at_once):
                harness = ready(rounds_at_once)
                first = write(harness, 101)
                harness.run_until(harness.now + SPACING / 2)
                second = write(harness, 102)
                harness.run_until(harness.now + 2 * SPACING)
                harness.answer_rounds(offset=102)
                self.assertEqual(harness.outcome(first), "done")
                self.assertEqual(harness.outcome(second), expected)

    def test_answer_of_the_earlier_round_does_not_confirm_the_later_write(self) -> None:
        harness = ready()
        first = write(harness, 101)
        harness.run_until(harness.now + SPACING / 2)
        second = write(harness, 102)
        harness.run_until(harness.now + 2 * SPACING)
        early, late = harness.rounds
        harness.read(early, ONE, offset=102)
        harness.read(early, TWO, offset=102)
        self.assertEqual(harness.outcome(first), "done")
        self.assertEqual(harness.outcome(second), "waiting")
        harness.read(late, ONE, offset=102)
        harness.read(late, TWO, offset=102)
        self.assertEqual(harness.outcome(second), "done")

    def test_answers_out_of_order_confirm_both(self) -> None:
        harness = ready()
        first = write(harness, 101)
        harness.run_until(harness.now + 2 * SPACING)
        second = write(harness, 102)
        early, late = harness.rounds
        for database in (ONE, TWO):
            harness.read(late, database, offset=102)
        self.assertEqual(harness.outcome(first), "done")
        self.assertEqual(harness.outcome(second), "done")
        for database in (ONE, TWO):
            harness.read(early, database, offset=101)
        harness.run_until(harness.now + 1.0)
        self.assertEqual(harness.outcome(first), "done")

    def test_a_burst_starts_rounds_evenly_spaced(self) -> None:
        harness = ready()
        started: list[float] = []
        begin = harness.now
        for offset in range(101, 131):
            write(harness, offset)
            harness.run_until(harness.now + 0.001)
            if len(harness.rounds) > len(started):
                started.append(harness.now - begin)
        self.assertEqual(len(started), AT_ONCE)
        pauses = [later - earlier for earlier, later in zip(started, started[1:], strict=False)]
        self.assertGreater(min(pauses), 0.8 * SPACING)

    def test_silent_database_has_few_reads_pending(self) -> None:
        harness = ready()
        pending = 0
        for offset in range(101, 151):
            write(harness, offset)
            harness.run_until(harness.now + SPACING)
            rounds, harness.rounds = harness.rounds, []
            for status_round in rounds:
                pending += THREE in status_round.databases
                harness.read(status_round, ONE, offset=offset)
                harness.read(status_round, TWO, offset=offset)
        self.assertLessEqual(pending, AT_ONCE)


class NewPrimaryTest(unittest.TestCase):
    """Who is told "no primary" looks again later, so the new one should show at once."""

    def ask(self, harness: GatewayHarness) -> None:
        message = GroupStatusRequest(QUESTION, GROUP, fresh=True)
        harness.run_until(harness.now + 0.1)
        harness.answer_rounds(offset=100)
        harness.take(harness.gateway.handle_group_status_request("entry", message, harness.now))
        harness.run_until(harness.now + 0.03)

    def test_word_of_a_primary_in_a_later_term_is_passed_on_at_once(self) -> None:
        harness = ready()
        self.ask(harness)
        harness.read(harness.rounds[-1], TWO, term=2, primary=TWO)
        answer = harness.answer(("entry", QUESTION))
        assert isinstance(answer, GroupStatusAnswer)
        self.assertEqual([item.term for item in answer.statuses if item.database == TWO], [2])

    def test_word_of_a_primary_in_the_known_term_waits_for_a_majority(self) -> None:
        harness = ready()
        self.ask(harness)
        harness.read(harness.rounds[-1], ONE, offset=100)
        self.assertIsNone(harness.answer(("entry", QUESTION)))
        harness.read(harness.rounds[-1], TWO, offset=100)
        self.assertIsNotNone(harness.answer(("entry", QUESTION)))

    def test_candidate_in_a_later_term_is_no_primary(self) -> None:
        harness = ready()
        self.ask(harness)
        harness.read(harness.rounds[-1], TWO, term=2, primary="nobody")
        self.assertIsNone(harness.answer(("entry", QUESTION)))

    def test_word_of_the_new_primary_confirms_no_write(self) -> None:
        harness = ready()
        key = write(harness, 101)
        harness.run_until(harness.now + SPACING)
        harness.read(harness.rounds[-1], TWO, term=2, primary=TWO, offset=101)
        self.assertEqual(harness.outcome(key), "unknown: not_confirmed")


if __name__ == "__main__":
    unittest.main()
