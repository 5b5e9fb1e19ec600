"""A holder's health: a pattern of sends and signs of life in, the verdict out.

The loads: a region cut off for seconds while all statements go to the same few holders; a holder
whose database is full; a process that was frozen and wakes with old timers.
"""

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
    """A link in memory: looks come when planned; the holder answers pings while it is there."""

    def __init__(
        self, rules: HolderRules = RULES, round_trip: float = ROUND_TRIP, jitter: float = 0.5
    ) -> None:
        self.health = HolderHealth(rules, lambda: jitter)
        self.round_trip = round_trip
        self.now = 100.0
        self.is_there = True
        self.pings = 0
        self.is_lost = False
        self._look_at: float | None = None
        self._pong_at: float | None = None
        self.dial()

    def dial(self) -> None:
        self.health.dialled(self.now)
        self.now += self.round_trip
        self.health.opened(self.now)

    def send(self) -> None:
        delay = self.health.sent(self.now)
        if delay is not None:
            self._look_at = self.now + delay

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while True:
            due = [at for at in (self._look_at, self._pong_at) if at is not None and at <= end]
            if not due:
                break
            self.now = max(min(due), self.now)
            if self._pong_at == min(due):
                self._pong_at = None
                self.health.heard(self.now)
                self.health.ponged(self.now)
            else:
                self._look()
        self.now = end

    def freeze(self, seconds: float) -> None:
        """Time passes and nothing runs here; what the holder sends waits to be read."""
        self.now += seconds

    def _look(self) -> None:
        look = self.health.look(self.now)
        self._look_at = None if look.again is None else self.now + look.again
        self.is_lost = self.is_lost or look.is_lost
        if look.sends_ping:
            self.pings += 1
            if self.is_there:
                self._pong_at = self.now + self.round_trip


class VerdictTest(unittest.TestCase):
    def test_silence_by_time(self) -> None:
        rows: Sequence[tuple[str, float, float, HolderState, bool]] = (
            ("near, still in its time", 0.02, 0.19, HolderState.USABLE, False),
            ("near, its ping late", 0.02, 0.21, HolderState.DOUBTED, False),
            ("near, far too late", 0.02, 0.31, HolderState.SILENT, False),
            ("far: three round trips are more", 0.06, 0.27, HolderState.USABLE, False),
            ("far, late", 0.06, 0.29, HolderState.DOUBTED, False),
            ("very far: more than callers can afford", 0.15, 0.31, HolderState.DOUBTED, False),
            ("given up", 0.02, LOST_AFTER_SECONDS + 0.01, HolderState.SILENT, True),
        )  # fmt: skip
        for name, round_trip, after, state, is_lost in rows:
            with self.subTest(name):
                holder = Holder(round_trip=round_trip)
                holder.is_there = False
                holder.send()
                holder.run(after)
                self.assertEqual((holder.health.state, holder.is_lost), (state, is_lost))

    def test_a_statement_with_a_timeout_of_800_ms_has_half_of_it_left_at_any_distance(self) -> None:
        for round_trip in (0.001, 0.05, 0.2, 0.5):
            holder = Holder(round_trip=round_trip)
            holder.is_there = False
            holder.send()
            holder.run(0.4)
            self.assertIsNot(holder.health.state, HolderState.USABLE, round_trip)

    def test_a_slow_database_behind_a_holder_that_answers_pings_is_no_silence(self) -> None:
        holder = Holder()
        for _ in range(20):
            holder.send()
        for _ in range(300):
            holder.run(0.01)
            self.assertIs(holder.health.state, HolderState.USABLE)
        self.assertFalse(holder.is_lost)
        self.assertLessEqual(holder.pings, 30)

    def test_nothing_due_means_nothing(self) -> None:
        holder = Holder()
        holder.is_there = False
        holder.run(60.0)
        self.assertEqual((holder.health.state, holder.pings), (HolderState.USABLE, 0))

    def test_a_sign_of_life_makes_a_silent_holder_usable(self) -> None:
        holder = Holder()
        holder.is_there = False
        holder.send()
        holder.run(0.5)
        self.assertFalse(holder.health.is_usable(holder.now))
        holder.health.heard(holder.now)
        self.assertTrue(holder.health.is_usable(holder.now))

    def test_the_ping_is_awaited_when_all_statements_have_gone_elsewhere(self) -> None:
        holder = Holder()
        holder.is_there = False
        holder.send()
        holder.run(0.25)
        holder.health.answered()
        holder.run(1.5)
        self.assertTrue(holder.is_lost)


class StoodStillTest(unittest.TestCase):
    def test_a_process_that_was_frozen_concludes_nothing(self) -> None:
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

    def test_it_still_finds_a_holder_that_died_meanwhile(self) -> None:
        holder = Holder()
        holder.send()
        holder.is_there = False
        holder.freeze(5.0)
        holder.run(0.5)
        self.assertIsNot(holder.health.state, HolderState.USABLE)


class ProbeTest(unittest.TestCase):
    def test_after_a_loss_only_a_probe_makes_it_usable(self) -> None:
        holder = Holder()
        holder.health.ended(holder.now, is_dial=False)
        holder.run(3600.0)
        self.assertFalse(holder.health.is_usable(holder.now))
        self.assertTrue(holder.health.may_probe(holder.now))
        holder.dial()
        self.assertTrue(holder.health.is_usable(holder.now))

    def test_failing_probes_back_off_and_never_end(self) -> None:
        holder = Holder()
        holder.health.ended(holder.now, is_dial=False)
        pauses = []
        for _ in range(8):
            asked = holder.now
            while not holder.health.may_probe(holder.now):
                holder.now += 0.01
            pauses.append(holder.now - asked)
            holder.health.dialled(holder.now)
            holder.health.ended(holder.now, is_dial=True)
        expected = [0.0, 0.25, 0.5, 1.0, 2.0, 2.0, 2.0, 2.0]
        for pause, wanted in zip(pauses, expected, strict=True):
            self.assertAlmostEqual(pause, wanted, delta=0.02)

    def test_probes_of_many_processes_are_spread(self) -> None:
        pauses = set()
        for jitter in (0.0, 0.25, 0.5, 0.75, 1.0):
            holder = Holder(jitter=jitter)
            holder.health.ended(holder.now, is_dial=True)
            begun = holder.now
            while not holder.health.may_probe(holder.now):
                holder.now += 0.005
            pauses.add(round(holder.now - begun, 2))
        self.assertEqual(len(pauses), 5)

    def test_without_probes_a_lost_holder_counts_as_usable_after_a_pause(self) -> None:
        holder = Holder(WITHOUT_PROBES)
        holder.health.ended(holder.now, is_dial=True)
        self.assertFalse(holder.health.is_usable(holder.now))
        self.assertFalse(holder.health.may_probe(holder.now + 0.6))
        self.assertTrue(holder.health.is_usable(holder.now + 0.6))

    def test_without_probes_half_a_second_of_silence_is_borne(self) -> None:
        holder = Holder(WITHOUT_PROBES)
        holder.is_there = False
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
    def test_a_holder_that_answers_pings_is_never_doubted(
        self, round_trip: float, steps: list[tuple[str, float]]
    ) -> None:
        holder = Holder(round_trip=round_trip)
        for kind, seconds in steps:
            if kind == "send":
                holder.send()
            elif kind == "answer":
                holder.health.heard(holder.now)
                holder.health.answered()
            elif kind == "run":
                holder.run(seconds)
            else:
                holder.freeze(seconds)
            self.assertIs(holder.health.state, HolderState.USABLE)
            self.assertFalse(holder.is_lost)


if __name__ == "__main__":
    unittest.main()
