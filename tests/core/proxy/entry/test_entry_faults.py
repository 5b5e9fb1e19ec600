"""The entry between random faults: one true answer for each request, over many seeds."""

import heapq
import unittest
from random import Random

from dewledge.core.proxy.calls import Access, Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.messages import (
    GroupStatusRequest,
    PeerMessage,
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)
from dewledge.errors import ErrorCode
from tests.core.proxy.entry.entry_harness import ZONES, EntryHarness, position, status

SEEDS = 150
REQUESTS = 60
REFUSALS = (
    ErrorCode.NOT_PRIMARY,
    ErrorCode.NO_PRIMARY,
    ErrorCode.WRONG_GATEWAY,
    ErrorCode.GATEWAY_UNREACHABLE,
    ErrorCode.CONNECTION_LIMIT,
    ErrorCode.OVERLOADED,
    ErrorCode.NOT_FRESH,
)


class FaultyGateways:
    """Gateways that refuse, run and lose the answer, answer late, twice, or to the wrong peer."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.harness = EntryHarness(seed)
        self.executed: dict[str, int] = {}
        self.offset = 10
        self.primary = "a"
        self.term = 1
        self._queue: list[tuple[float, int, str, PeerMessage]] = []
        self._queued = 0
        self._handled = 0

    def run(self) -> dict[int, tuple[Access, str]]:
        """Hands requests in between faults; returns what each request id was."""
        requests = {}
        for number in range(REQUESTS):
            access = self.random.choice((Access.READ, Access.WRITE))
            key = f"key-{number}"
            deadline = self.random.uniform(0.05, 2.0)
            requests[self.harness.call(access, deadline, key=key)] = (access, key)
            self._pass_time(self.random.uniform(0.0, 0.1))
            if self.random.random() < 0.05:
                self._change_primary()
            if self.random.random() < 0.05:
                self.harness.lose(self.random.choice(("ga", "gb", "gc", "gx")))
        self._pass_time(3.0)
        return requests

    def _change_primary(self) -> None:
        self.primary = self.random.choice(list(ZONES))
        self.term += 1

    def _pass_time(self, seconds: float) -> None:
        end = self.harness.now + seconds
        while self.harness.now < end:
            self._serve()
            self.harness.advance(min(0.01, end - self.harness.now))
            while self._queue and self._queue[0][0] <= self.harness.now:
                _, _, peer, message = heapq.heappop(self._queue)
                self.harness.receive(peer, message)

    def _serve(self) -> None:
        for effect in self.harness.sent[self._handled :]:
            message = effect.message
            if isinstance(message, StatementRequest):
                self._serve_statement(effect.peer, message)
            elif isinstance(message, GroupStatusRequest) and self.random.random() < 0.8:
                self.harness.show(self.primary, self.term, self.offset)
        self._handled = len(self.harness.sent)

    def _serve_statement(self, peer: str, request: StatementRequest) -> None:
        fate = self.random.random()
        correlation = request.correlation
        if fate < 0.3:
            code = self.random.choice(REFUSALS)
            gateway = self.random.choice(("ga", "gb", "gx", None))
            shown = status(request.database, offset=self.offset)
            refusal = StatementNotRun(correlation, code, status=shown, gateway=gateway)
            self._reply(peer, refusal)
            return
        if fate < 0.35:
            return
        key = request.idempotency_key or ""
        self.executed[key] = self.executed.get(key, 0) + 1
        self.offset += request.access is Access.WRITE
        if fate < 0.45:
            return
        if fate < 0.5:
            self._reply(peer, StatementUnknown(correlation, ErrorCode.NOT_CONFIRMED))
            return
        at = position(self.term, self.offset)
        done = StatementDone(correlation, request.database, DatabaseRole.PRIMARY, at)
        self._reply(peer, done)
        if fate < 0.6:
            self._reply(peer, done)
        if fate < 0.65:
            self._reply("gb" if peer != "gb" else "ga", done)

    def _reply(self, peer: str, message: PeerMessage) -> None:
        delay = self.random.expovariate(1 / 0.03)
        self._queued += 1
        heapq.heappush(self._queue, (self.harness.now + delay, self._queued, peer, message))


class RandomFaultTest(unittest.TestCase):
    def test_each_request_gets_one_true_answer(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                gateways = FaultyGateways(seed)
                requests = gateways.run()
                harness = gateways.harness
                self.assertEqual(harness.entry.in_flight, 0)
                self.assertEqual(set(harness.answers), set(requests))
                for request_id, (access, key) in requests.items():
                    self._check(harness, request_id, access, gateways.executed.get(key, 0))

    def _check(self, harness: EntryHarness, request_id: int, access: Access, runs: int) -> None:
        answer = harness.answer(request_id)
        if access is Access.WRITE:
            self.assertLessEqual(runs, 1, "a write was sent twice")
            if answer.outcome is Outcome.NOT_RUN:
                self.assertEqual(runs, 0, "not run, but it ran")
        if answer.outcome is Outcome.DONE:
            self.assertGreaterEqual(runs, 1)
        else:
            self.assertIsNotNone(answer.code)

    def test_same_seed_same_run(self) -> None:
        first, second = FaultyGateways(7), FaultyGateways(7)
        first.run()
        second.run()
        self.assertEqual(first.harness.answers, second.harness.answers)
