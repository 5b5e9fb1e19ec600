"""The wait for a new primary: who waits, for how long, and what ends it."""

import unittest
from collections.abc import Callable

from dewledge.core.proxy.calls import Access, Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.messages import CancelRequest, GroupStatusRequest, StatementRequest
from dewledge.errors import ErrorCode
from tests.core.proxy.entry.entry_harness import EntryHarness, position, status

PRIMARY = DatabaseRole.PRIMARY


def cut_off(harness: EntryHarness, waiting: int = 3, deadline: float = 5.0) -> list[int]:
    """Hands writes in, and has the gateway say that it reaches no primary; returns the ids."""
    first = harness.call(deadline=deadline)
    harness.answer_not_run(ErrorCode.NO_PRIMARY)
    return [first] + [harness.call(deadline=deadline) for _ in range(waiting - 1)]


def show_twice(harness: EntryHarness) -> None:
    """Shows the old primary in office, twice, with all that it has replicated."""
    for _ in range(2):
        harness.advance(0.1)
        harness.show("a")


class FailoverTest(unittest.TestCase):
    def test_refused_writes_wait_and_go_to_the_new_primary_at_once(self) -> None:
        """Rows: code, gateways that say so before the primary is taken for lost."""
        cases = [
            (ErrorCode.NOT_PRIMARY, ["ga"]),
            (ErrorCode.NO_PRIMARY, ["ga"]),
            (ErrorCode.DATABASE_UNREACHABLE, ["ga", "gx"]),
        ]
        for code, gateways in cases:
            with self.subTest(code):
                harness = EntryHarness()
                request_id = harness.call()
                for _ in gateways:
                    harness.answer_not_run(code)
                others = [harness.call(), harness.call()]
                sent = harness.sent_of(StatementRequest)
                self.assertEqual([peer for peer, _ in sent], gateways)
                harness.advance(0.7)
                harness.show("b", term=2)
                sent = harness.sent_of(StatementRequest)[len(gateways) :]
                self.assertEqual([peer for peer, _ in sent], ["gb", "gb", "gb"])
                harness.answer_done(position(2, 11))
                self.assertEqual(harness.answer(others[1]).outcome, Outcome.DONE)
                self.assertIsNone(harness.answer(request_id))
                names = [event.name for event in harness.logs]
                self.assertEqual(names, ["failover_started", "failover_ended"])

    def test_next_gateway_serves_while_the_active_one_finds_no_way(self) -> None:
        """Rows: name, what tells that the active gateway is of no use."""
        unreachable = ErrorCode.GATEWAY_UNREACHABLE
        cases: list[tuple[str, Callable[[EntryHarness], None]]] = [
            ("no way to the gateway", lambda harness: harness.answer_not_run(unreachable)),
            (
                "no way from the gateway to the database",
                lambda harness: harness.answer_not_run(ErrorCode.DATABASE_UNREACHABLE),
            ),
        ]
        for name, tell in cases:
            with self.subTest(name):
                harness = EntryHarness()
                refused = harness.call()
                tell(harness)
                harness.answer_done(position(1, 11))
                later = harness.call()
                harness.answer_done(position(1, 12))
                harness.advance(EntrySettings().gateway_avoid_time)
                harness.call()
                sent = harness.sent_of(StatementRequest)
                ways = [(peer, message.fallback) for peer, message in sent]
                self.assertEqual(ways, [("ga", False), ("gx", True), ("gx", True), ("ga", False)])
                for request_id in (refused, later):
                    self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_silent_primary_is_tried_by_the_next_gateway(self) -> None:
        harness = EntryHarness()
        harness.call()
        harness.advance(0.3)
        harness.call()
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1, "the primary is doubted")
        show_twice(harness)
        peer, message = harness.last_request()
        self.assertEqual((peer, message.database, message.fallback), ("gx", "a", True))

    def test_gateways_are_probed_at_once_and_then_often(self) -> None:
        harness = EntryHarness()
        cut_off(harness)
        probes = harness.sent_of(GroupStatusRequest)
        self.assertEqual({peer for peer, _ in probes}, {"ga", "gb", "gc"})
        self.assertTrue(all(message.fresh for _, message in probes))
        harness.advance(1.0)
        rounds = len(harness.sent_of(GroupStatusRequest)) / 3
        self.assertTrue(10 <= rounds <= 21, rounds)

    def test_many_proxies_together_probe_no_gateway_too_often(self) -> None:
        for proxies in (4, 200, 850):
            with self.subTest(proxies=proxies):
                harness = EntryHarness()
                harness.placement.proxy_count = proxies
                cut_off(harness, deadline=30.0)
                harness.advance(9.0)
                probes = len(harness.sent_of(GroupStatusRequest)) / 3
                self.assertLessEqual(probes * proxies / 9.0, EntrySettings().probe_rate)
                self.assertGreaterEqual(probes, 5)

    def test_claims_that_are_not_believed(self) -> None:
        """Rows: name, statuses shown."""
        replica = DatabaseRole.REPLICA
        voters = (status("b", replica, 2, 10), status("c", replica, 2, 10))
        cases = [
            ("old primary, majority in a later term", (status("a", PRIMARY, 1, 10), *voters)),
            ("votes are counted", (status("b", replica, 2, 10), status("c", replica, 1, 10))),
            ("nobody answers", ()),
        ]
        for name, shown in cases:
            with self.subTest(name):
                harness = EntryHarness()
                cut_off(harness)
                harness.advance(0.05)
                harness.show_statuses(*shown)
                self.assertEqual(len(harness.sent_of(StatementRequest)), 1)

    def test_old_news_of_the_old_primary_are_ignored(self) -> None:
        harness = EntryHarness()
        cut_off(harness)
        harness.advance(0.05)
        harness.show_statuses(status("a", PRIMARY, 1, 10), age=1.0)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)

    def test_doubted_primary_gets_one_trial_at_a_time(self) -> None:
        harness = EntryHarness()
        waiting = cut_off(harness, 5)
        show_twice(harness)
        show_twice(harness)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 2, "one trial, not five")
        harness.answer_not_run(ErrorCode.NO_PRIMARY)
        show_twice(harness)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 3)
        harness.answer_done(position(1, 11))
        self.assertEqual(len(harness.sent_of(StatementRequest)), 7, "now all of them")
        self.assertEqual(sum(harness.answer(item) is not None for item in waiting), 1)

    def test_silent_primary_that_does_not_replicate_gets_no_write(self) -> None:
        """Rows: name, offsets of a, b, c at first, and later, whether one is sent."""
        cases = [
            ("cut off with a write of its own", (12, 10, 10), (12, 10, 10), False),
            ("one replica left behind", (12, 10, 10), (12, 12, 10), True),
            ("busy", (12, 10, 10), (14, 12, 13), True),
            ("nothing was written", (10, 10, 10), (10, 10, 10), True),
        ]
        for name, first, later, sent in cases:
            with self.subTest(name):
                harness = EntryHarness()
                harness.call()
                harness.advance(0.3)
                harness.call()
                harness.call()
                for a, b, c in (first, later):
                    harness.advance(0.1)
                    harness.show("a", offset=a, b=b, c=c)
                self.assertEqual(len(harness.sent_of(StatementRequest)), 2 if sent else 1)
                harness.read()
                self.assertTrue(harness.last_request()[1].confirm, "reads need not wait")

    def test_stuck_trial_does_not_keep_others_from_the_new_primary(self) -> None:
        harness = EntryHarness()
        cut_off(harness, 4)
        show_twice(harness)
        harness.show("b", term=2)
        peers = [peer for peer, _ in harness.sent_of(StatementRequest)]
        self.assertEqual(peers, ["ga", "ga", "gb", "gb", "gb"])

    def test_write_sent_before_the_cut_is_recalled_and_moves_only_if_it_had_not_started(
        self,
    ) -> None:
        for started in (True, False):
            with self.subTest(started=started):
                harness = EntryHarness()
                request_id = harness.call(deadline=2.0)
                _, message = harness.last_request()
                harness.advance(0.5)
                harness.show("b", term=2)
                recall = ("ga", CancelRequest(message.correlation))
                self.assertEqual(harness.sent_of(CancelRequest), [recall])
                self.assertEqual(len(harness.sent_of(StatementRequest)), 1)
                if started:
                    harness.advance(1.6)
                    self.assertEqual(harness.answer(request_id).outcome, Outcome.UNKNOWN)
                    continue
                harness.answer_not_run(ErrorCode.CANCELLED)
                self.assertEqual(harness.last_request()[0], "gb")
                harness.answer_done(position(2, 11))
                self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_confirmed_read_leaves_a_replaced_primary_at_once(self) -> None:
        harness = EntryHarness()
        harness.read()
        harness.advance(0.3)
        harness.show("b", term=2)
        self.assertEqual(harness.last_request()[0], "gb")

    def test_silent_primary_is_doubted_and_new_writes_wait(self) -> None:
        harness = EntryHarness()
        first = harness.call()
        harness.advance(0.3)
        self.assertTrue(harness.sent_of(GroupStatusRequest), "the silence has the group probed")
        second = harness.call()
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)
        harness.show("b", term=2)
        self.assertEqual(harness.last_request()[0], "gb")
        harness.answer_done(position(2, 11))
        self.assertEqual(harness.answer(second).outcome, Outcome.DONE)
        self.assertIsNone(harness.answer(first))
        third = harness.call()
        self.assertEqual(len(harness.sent_of(StatementRequest)), 3, "the new one is not doubted")
        self.assertIsNone(harness.answer(third))

    def test_silence_that_ends_lets_the_writes_go(self) -> None:
        harness = EntryHarness()
        harness.call()
        harness.advance(0.3)
        harness.call()
        harness.answer_done(position(1, 11))
        self.assertEqual(len(harness.sent_of(StatementRequest)), 2)

    def test_slow_primary_is_not_taken_for_a_lost_one(self) -> None:
        harness = EntryHarness()
        for offset in range(40):
            harness.call(deadline=5.0)
            harness.advance(0.3 if offset % 2 else 0.1)
            harness.answer_done(position(1, 11 + offset))
        harness.call(deadline=5.0)
        harness.advance(0.4)
        harness.call(deadline=5.0)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 42)

    def test_unconfirmed_write_casts_doubt(self) -> None:
        harness = EntryHarness()
        harness.call()
        harness.answer_unknown(ErrorCode.NOT_CONFIRMED)
        self.assertEqual(len(harness.sent_of(GroupStatusRequest)), 3)
        harness.call()
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)


class BoundTest(unittest.TestCase):
    def test_too_many_waiting_are_refused_at_once(self) -> None:
        harness = EntryHarness(settings=EntrySettings(failover_wait_requests=2))
        waiting = cut_off(harness, 4)
        told = [harness.answer(item) for item in waiting]
        self.assertEqual([answer is None for answer in told], [True, True, False, False])
        self.assertEqual(told[2].code, ErrorCode.NO_PRIMARY)
        self.assertEqual(told[2].outcome, Outcome.NOT_RUN)
        self.assertGreater(told[2].retry_after, 0)

    def test_wait_ends_before_the_deadline(self) -> None:
        harness = EntryHarness()
        (request_id,) = cut_off(harness, 1, deadline=1.0)
        harness.advance(0.94)
        self.assertIsNone(harness.answer(request_id))
        harness.advance(0.02)
        answer = harness.answer(request_id)
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, ErrorCode.NO_PRIMARY))
        self.assertGreater(answer.retry_after, 0)
        self.assertEqual(harness.entry.in_flight, 0)

    def test_wait_is_bounded_in_time(self) -> None:
        harness = EntryHarness(settings=EntrySettings(failover_wait_limit=2.0))
        (request_id,) = cut_off(harness, 1, deadline=60.0)
        harness.advance(2.01)
        self.assertEqual(harness.answer(request_id).outcome, Outcome.NOT_RUN)

    def test_hopeless_wait_is_refused_at_once(self) -> None:
        """Once a failover took 4 s here, a request with 1 s left is told so."""
        harness = EntryHarness()
        cut_off(harness, 1, deadline=10.0)
        harness.advance(4.0)
        harness.show("b", term=2)
        harness.answer_done(position(2, 11))
        request_id = harness.call(deadline=1.0)
        harness.answer_not_run(ErrorCode.NO_PRIMARY)
        answer = harness.answer(request_id)
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, ErrorCode.NO_PRIMARY))
        self.assertGreater(answer.retry_after, 3.0)
        patient = harness.call(deadline=8.0)
        self.assertIsNone(harness.answer(patient))

    def test_caller_gone_leaves_the_wait(self) -> None:
        harness = EntryHarness()
        (request_id,) = cut_off(harness, 1)
        harness.run(harness.entry.handle_caller_gone(request_id, harness.now))
        harness.advance(0.1)
        harness.show("b", term=2)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)
        self.assertEqual(harness.entry.in_flight, 0)

    def test_probing_ends_with_the_wait(self) -> None:
        harness = EntryHarness()
        cut_off(harness, 1, deadline=0.5)
        harness.advance(30.0)
        harness.sent.clear()
        harness.advance(60.0)
        self.assertEqual(harness.sent, [])
        self.assertIsNone(harness.entry.next_wake())


class ReadsDuringFailoverTest(unittest.TestCase):
    def test_replicas_go_on_serving(self) -> None:
        harness = EntryHarness()
        cut_off(harness)
        harness.read(position(1, 10))
        self.assertIn(harness.last_request()[1].database, ("b", "c"))

    def test_waiting_read_goes_to_a_replica_that_caught_up(self) -> None:
        harness = EntryHarness()
        harness.show("a", offset=30, b=10, c=10)
        cut_off(harness)
        request_id = harness.read(position(1, 30), deadline=5.0)
        for _ in range(4):
            if harness.last_request()[1].access is Access.READ:
                harness.answer_not_run(ErrorCode.NOT_FRESH)
        harness.advance(0.1)
        sent = len(harness.sent_of(StatementRequest))
        harness.show_statuses(status("b", offset=30))
        self.assertIsNone(harness.answer(request_id))
        self.assertGreaterEqual(len(harness.sent_of(StatementRequest)), sent)

    def test_replicas_of_a_cut_off_branch_are_left_alone(self) -> None:
        """Term 2 began at offset 8: what c applied beyond that is on a branch that is lost."""
        harness = EntryHarness()
        starts = ((1, 0), (2, 8))
        harness.show_statuses(
            status("a", DatabaseRole.REPLICA, 1, 12),
            status("b", PRIMARY, 2, 9, starts),
            status("c", DatabaseRole.REPLICA, 1, 12),
        )
        harness.read(position(1, 12))
        _, message = harness.last_request()
        self.assertEqual((message.database, message.confirm), ("b", True))
