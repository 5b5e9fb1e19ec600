"""Health of connection holders: silence, stalls of this process, and probes."""

import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.load.holder_health import (
    LOST_AFTER_SECONDS,
    WITHOUT_PROBES,
    HolderHealth,
    HolderRules,
    HolderState,
)

RULES = HolderRules()
ROUND_TRIP = 0.02


class Holder:
    """A simulated link: health checks run when scheduled, and a live holder answers pings."""

    def __init__(
        self, rules: HolderRules = RULES, round_trip: float = ROUND_TRIP, jitter: float = 0.5
    ) -> None:
        self.health = HolderHealth(rules, lambda: jitter)
        self.round_trip = round_trip
        self.now = 100.0
        self.is_alive = True
        self.pings = 0
        self.is_lost = False
        self._check_at: float | None = None
        self._pong_at: float | None = None
        self.dial()

    def dial(self) -> None:
        self.health.on_dial(self.now)
        self.now += self.round_trip
        self.health.on_opened(self.now)

    def send(self) -> None:
        delay = self.health.on_sent(self.now)
        if delay is not None:
            self._check_at = self.now + delay

    def ping(self) -> None:
        """Pings the other end without an outstanding request."""
        delay = self.health.on_ping(self.now)
        if delay is not None:
            self.pings += 1
            self._check_at = self.now + delay
            if self.is_alive:
                self._pong_at = self.now + self.round_trip

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            event_times = [
                at for at in (self._check_at, self._pong_at) if at is not None and at <= end
            ]
            if not event_times:
                break
            self.now = max(min(event_times), self.now)
            if self._pong_at == min(event_times):
                self._pong_at = None
                self.health.on_received(self.now)
                self.health.on_pong(self.now)
            else:
                self._check()
        self.now = end

    def freeze(self, seconds: float) -> None:
        """Simulates a stall of this process: time passes, and received bytes stay unread."""
        self.now += seconds

    def _check(self) -> None:
        result = self.health.check(self.now)
        self._check_at = None if result.again is None else self.now + result.again
        self.is_lost = self.is_lost or result.is_lost
        if result.sends_ping:
            self.pings += 1
            if self.is_alive:
                self._pong_at = self.now + self.round_trip


class HolderStateTest(unittest.TestCase):
    def test_state_by_duration_of_silence(self) -> None:
        rows: Sequence[tuple[str, float, float, HolderState, bool]] = (
            ("near, ping in time", 0.02, 0.19, HolderState.USABLE, False),
            ("near, ping late", 0.02, 0.21, HolderState.SUSPECTED, False),
            ("near, ping overdue", 0.02, 0.31, HolderState.SILENT, False),
            ("far, longer timeout", 0.06, 0.27, HolderState.USABLE, False),
            ("far, ping late", 0.06, 0.29, HolderState.SUSPECTED, False),
            ("very far, timeout at its maximum", 0.15, 0.31, HolderState.SUSPECTED, False),
            ("link closed", 0.02, LOST_AFTER_SECONDS + 0.01, HolderState.SILENT, True),
        )  # fmt: skip
        for name, round_trip, after, state, is_lost in rows:
            with self.subTest(name):
                holder = Holder(round_trip=round_trip)
                holder.is_alive = False
                holder.send()
                holder.run(after)
                self.assertEqual((holder.health.state, holder.is_lost), (state, is_lost))

    def test_silence_is_detected_within_400_ms_at_any_distance(self) -> None:
        for round_trip in (0.001, 0.05, 0.2, 0.5):
            holder = Holder(round_trip=round_trip)
            holder.is_alive = False
            holder.send()
            holder.run(0.4)
            self.assertIsNot(holder.health.state, HolderState.USABLE, round_trip)

    def test_slow_database_does_not_make_its_holder_silent(self) -> None:
        holder = Holder()
        for _ in range(20):
            holder.send()
        for _ in range(300):
            holder.run(0.01)
            self.assertIs(holder.health.state, HolderState.USABLE)
        self.assertFalse(holder.is_lost)
        self.assertLessEqual(holder.pings, 30)

    def test_silence_without_outstanding_replies_is_ignored(self) -> None:
        holder = Holder()
        holder.is_alive = False
        holder.run(60.0)
        self.assertEqual((holder.health.state, holder.pings), (HolderState.USABLE, 0))

    def test_received_bytes_make_a_silent_holder_usable(self) -> None:
        holder = Holder()
        holder.is_alive = False
        holder.send()
        holder.run(0.5)
        self.assertFalse(holder.health.is_usable(holder.now))
        holder.health.on_received(holder.now)
        self.assertTrue(holder.health.is_usable(holder.now))

    def test_unanswered_ping_counts_after_statements_have_left(self) -> None:
        holder = Holder()
        holder.is_alive = False
        holder.send()
        holder.run(0.25)
        holder.health.on_replies()
        holder.run(1.5)
        self.assertTrue(holder.is_lost)


class StallTest(unittest.TestCase):
    def test_stalled_process_draws_no_conclusion(self) -> None:
        for began in (0.0, 0.05, 0.12, 0.18):
            for seconds in (0.05, 0.15, 0.3, 0.39, 0.5, 3.0, 600.0):
                with self.subTest(began=began, seconds=seconds):
                    holder = Holder()
                    holder.send()
                    holder.run(began)
                    holder.freeze(seconds)
                    holder.run(0.3)
                    self.assertIs(holder.health.state, HolderState.USABLE)
                    self.assertFalse(holder.is_lost)

    def test_holder_lost_during_a_stall_is_detected(self) -> None:
        holder = Holder()
        holder.send()
        holder.is_alive = False
        holder.freeze(5.0)
        holder.run(0.5)
        self.assertIsNot(holder.health.state, HolderState.USABLE)


class ProbeTest(unittest.TestCase):
    def test_only_a_probe_makes_a_lost_holder_usable(self) -> None:
        holder = Holder()
        holder.health.on_ended(holder.now, is_dial=False)
        holder.run(3600.0)
        self.assertFalse(holder.health.is_usable(holder.now))
        self.assertTrue(holder.health.may_probe(holder.now))
        holder.dial()
        self.assertTrue(holder.health.is_usable(holder.now))

    def test_failing_probes_back_off_and_continue(self) -> None:
        holder = Holder()
        holder.health.on_ended(holder.now, is_dial=False)
        pauses = []
        for _ in range(8):
            began = holder.now
            while not holder.health.may_probe(holder.now):
                holder.now += 0.01
            pauses.append(holder.now - began)
            holder.health.on_dial(holder.now)
            holder.health.on_ended(holder.now, is_dial=True)
        expected = [0.0, 0.25, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0]
        for pause, wanted in zip(pauses, expected, strict=True):
            self.assertAlmostEqual(pause, wanted, delta=0.02)

    def test_jitter_spreads_probes(self) -> None:
        pauses = set()
        for jitter in (0.0, 0.25, 0.5, 0.75, 1.0):
            holder = Holder(jitter=jitter)
            holder.health.on_ended(holder.now, is_dial=True)
            begun = holder.now
            while not holder.health.may_probe(holder.now):
                holder.now += 0.005
            pauses.add(round(holder.now - begun, 2))
        self.assertEqual(len(pauses), 5)

    def test_without_probes_lost_holder_is_usable_after_a_pause(self) -> None:
        holder = Holder(WITHOUT_PROBES)
        holder.health.on_ended(holder.now, is_dial=True)
        self.assertFalse(holder.health.is_usable(holder.now))
        self.assertFalse(holder.health.may_probe(holder.now + 0.6))
        self.assertTrue(holder.health.is_usable(holder.now + 0.6))

    def test_without_probes_holder_is_silent_after_half_a_second(self) -> None:
        holder = Holder(WITHOUT_PROBES)
        holder.is_alive = False
        holder.send()
        holder.run(0.49)
        self.assertIs(holder.health.state, HolderState.USABLE)
        holder.run(0.02)
        self.assertIs(holder.health.state, HolderState.SILENT)


class PropertyTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.floats(0.001, 0.05),
        st.lists(st.tuples(st.sampled_from(["send", "answer", "run", "freeze"]),
                           st.floats(0.0, 2.0)), max_size=40),
    )  # fmt: skip
    def test_holder_that_answers_pings_stays_usable(
        self, round_trip: float, steps: list[tuple[str, float]]
    ) -> None:
        holder = Holder(round_trip=round_trip)
        for kind, seconds in steps:
            if kind == "send":
                holder.send()
            elif kind == "answer":
                holder.health.on_received(holder.now)
                holder.health.on_replies()
            elif kind == "run":
                holder.run(seconds)
            else:
                holder.freeze(seconds)
            self.assertIs(holder.health.state, HolderState.USABLE)
            self.assertFalse(holder.is_lost)


class VerifiedLinkTest(unittest.TestCase):
    """A link that carries no request whose reply is awaited, and is pinged on purpose."""

    def test_a_silent_end_is_lost(self) -> None:
        for rules in (RULES, WITHOUT_PROBES):
            with self.subTest(rules):
                holder = Holder(rules)
                holder.is_alive = False
                holder.ping()
                holder.run(LOST_AFTER_SECONDS + 0.1)
                self.assertTrue(holder.is_lost)

    def test_an_end_that_answers_stays_usable_without_further_pings(self) -> None:
        holder = Holder()
        holder.ping()
        holder.run(5.0)
        self.assertEqual((holder.pings, holder.is_lost), (1, False))
        self.assertIs(holder.health.state, HolderState.USABLE)

    def test_one_ping_is_under_way_at_a_time(self) -> None:
        holder = Holder()
        holder.is_alive = False
        holder.ping()
        holder.ping()
        self.assertEqual(holder.pings, 1)


if __name__ == "__main__":
    unittest.main()
