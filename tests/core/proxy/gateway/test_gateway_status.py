"""What a gateway tells of its groups, and how it finds out that something failed."""

import unittest

from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest, StatementNotRun
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import (
    DATABASES,
    GROUP,
    PRIMARY,
    GatewayHarness,
    status,
)


def ready() -> GatewayHarness:
    """A gateway with open connections and a known primary."""
    harness = GatewayHarness()
    harness.configure()
    harness.tick(0.05)
    return harness


class GroupStatusTest(unittest.TestCase):
    def ask(self, harness: GatewayHarness, correlation: int, fresh: bool) -> None:
        message = GroupStatusRequest(correlation, GROUP, fresh)
        harness.take(harness.gateway.handle_group_status_request("entry", message, harness.now))

    def test_cached_and_fresh(self) -> None:
        harness = ready()
        self.ask(harness, 1, fresh=False)
        cached = harness.answer(("entry", 1))
        assert isinstance(cached, GroupStatusAnswer)
        self.assertEqual([item.database for item in cached.statuses], list(DATABASES))
        self.assertAlmostEqual(cached.ages[0], 0.05)
        self.ask(harness, 2, fresh=True)
        self.ask(harness, 3, fresh=True)
        self.assertIsNone(harness.answer(("entry", 2)))
        self.assertEqual(len(harness.rounds), 1)
        harness.answer_rounds(term=2, primary="cases-2")
        harness.tick(0.05)
        harness.answer_rounds(term=2, primary="cases-2")
        for correlation in (2, 3):
            fresh = harness.answer(("entry", correlation))
            assert isinstance(fresh, GroupStatusAnswer)
            self.assertEqual(fresh.statuses[1], status("cases-2", term=2, primary="cases-2"))

    def test_many_requests_share_few_rounds(self) -> None:
        harness = ready()
        rounds = 0
        for correlation in range(1000):
            self.ask(harness, correlation, fresh=True)
            harness.run_until(harness.now + 0.001)
            rounds += harness.answer_rounds()
        self.assertLessEqual(rounds, 1.0 / harness.settings.look_spacing + 1)
        answered = sum(
            harness.answer(("entry", correlation)) is not None for correlation in range(1000)
        )
        self.assertGreater(answered, 950)

    def test_database_that_does_not_answer_is_left_out(self) -> None:
        harness = ready()
        self.ask(harness, 1, fresh=True)
        status_round = harness.rounds.pop()
        harness.read_status(status_round, PRIMARY, None)
        harness.read(status_round, "cases-2")
        harness.read(status_round, "cases-3")
        answer = harness.answer(("entry", 1))
        assert isinstance(answer, GroupStatusAnswer)
        self.assertEqual([item.database for item in answer.statuses], ["cases-2", "cases-3"])

    def test_unknown_group(self) -> None:
        harness = ready()
        message = GroupStatusRequest(1, "none")
        harness.take(harness.gateway.handle_group_status_request("entry", message, harness.now))
        self.assertEqual(harness.answer(("entry", 1)), GroupStatusAnswer(1, "none", (), ()))


class FailureDetectionTest(unittest.TestCase):
    def test_errors_start_a_round_at_once(self) -> None:
        for name, end in (
            ("broken", lambda h: h.break_job()),
            ("not primary", lambda h: h.refuse(ErrorCode.NOT_PRIMARY)),
            ("slow", lambda h: h.run_until(h.now + 0.5)),
            ("unreachable", lambda h: (h.break_job(), h.fail_opening(
                ErrorCode.DATABASE_UNREACHABLE))),
        ):  # fmt: skip
            with self.subTest(name):
                harness = ready()
                harness.write()
                self.assertEqual(harness.rounds, [])
                end(harness)
                self.assertEqual(len(harness.rounds), 1)

    def test_write_is_spared_where_another_primary_was_seen(self) -> None:
        harness = ready()
        harness.send()
        harness.run_until(harness.now + 0.5)
        harness.answer_rounds(term=2, primary="cases-2")
        key = harness.write()
        self.assertEqual(harness.outcome(key), "not run: not_primary")
        answer = harness.answer(key)
        assert isinstance(answer, StatementNotRun) and answer.status is not None
        self.assertEqual(answer.status.term, 2)

    def test_heartbeat_stays_within_the_control_budget(self) -> None:
        harness = ready()
        end = harness.now + 60
        rounds = 0
        while harness.now < end:
            harness.send()
            harness.finish(harness.jobs[-1])
            harness.run_until(harness.now + 0.1)
            rounds += harness.answer_rounds()
        self.assertLessEqual(rounds, 60 / 0.5 + 2)
        self.assertGreaterEqual(rounds, 60 / 0.7 - 2)

    def test_new_primary_is_seen_soon_while_the_old_one_is_frozen(self) -> None:
        for tenths in range(5):
            with self.subTest(elected_after=2.0 + tenths / 10):
                harness = ready()
                harness.send()
                elected_at = harness.now + 2.0 + tenths / 10
                while harness.now < elected_at + 1.0 and not harness.logs[1:]:
                    harness.run_until(harness.now + 0.005)
                    self.answer_for_others(harness, elected=harness.now >= elected_at)
                self.assertLess(harness.now, elected_at + 0.15)

    def answer_for_others(self, harness: GatewayHarness, elected: bool) -> None:
        rounds, harness.rounds = harness.rounds, []
        for status_round in rounds:
            for name in set(status_round.databases) - {PRIMARY}:
                if elected:
                    harness.read(status_round, name, term=2, primary="cases-2")
                else:
                    harness.read(status_round, name)

    def test_search_for_a_primary_slows_down(self) -> None:
        harness = ready()
        counts = []
        for _ in range(4):
            rounds = 0
            end = harness.now + 5
            while harness.now < end:
                harness.send(database="cases-2")
                harness.run_until(harness.now + 0.01)
                rounds += harness.answer_rounds(primary="none")
            counts.append(rounds)
        self.assertGreater(counts[0], 15)
        self.assertLess(counts[3], 12)


if __name__ == "__main__":
    unittest.main()
