"""Changes are accepted, told truly and caught up with, on the platform stand-in and its faults.

The verdict comes from the rows of the table service alone.
"""

import time
import unittest
from random import Random
from typing import NamedTuple

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.acceptance import AcceptanceSettings, ConfigurationAcceptance
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION
from dewledge.core.proxy.configuration.poller import ConfigurationPoller, PollerSettings
from dewledge.core.proxy.configuration.resources import GroupSpec, Kind, Resource
from dewledge.core.proxy.configuration.store import (
    ChangeLookedUp,
    ConfigurationLearned,
    ProposalFinished,
    ProposedChange,
    ReadRow,
    Transact,
)
from dewledge.core.proxy.configuration.store_task import RetrySettings
from dewledge.core.proxy.effects import LogEvent
from dewledge.standin.platform_server import PlatformFaults
from dewledge.standin.platform_settings import PlatformSettings
from tests.adapters.platform_pump import PlatformPump, Switch

CALL_TIMEOUT = 0.3
TOO_SLOW = 1.0
RETRY = RetrySettings(call_timeout=CALL_TIMEOUT, backoff_base=0.02, backoff_cap=0.1)
BOUND = 4.0
SHORT_BOUND = 0.5
LONGEST_BOUND = 8.0
"""A row whose faults are not met within this fails."""
SEEDS = 6

DOWN, UP = PlatformFaults(down=True), PlatformFaults(down=False)
SLOW, QUICK = PlatformFaults(slowness=TOO_SLOW), PlatformFaults(slowness=0.0)
DONE, NOT_RUN, UNKNOWN = Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN


class Row(NamedTuple):
    """Faults while one change is proposed; `stands`: None if it may or may not."""

    name: str
    switches: tuple[Switch, ...]
    outcome: Outcome
    stands: bool | None
    bound: float = BOUND
    settings: PlatformSettings = PlatformSettings()


ROWS = (
    Row("no fault", (), DONE, True),
    Row("answer lost", (Switch(Transact, 1, PlatformFaults(lose_answers=1)),), DONE, True),
    Row("down, then up", (Switch(ReadRow, 1, DOWN), Switch(ReadRow, 3, UP)), DONE, True),
    Row("down before it is written, then up",
        (Switch(Transact, 1, DOWN), Switch(Transact, 3, UP)), DONE, True),
    Row("down until the bound", (Switch(ReadRow, 1, DOWN),), NOT_RUN, False, SHORT_BOUND),
    Row("down from the write to the bound", (Switch(Transact, 1, DOWN),),
        NOT_RUN, False, SHORT_BOUND),
    Row("slow", (Switch(ReadRow, 1, PlatformFaults(slowness=CALL_TIMEOUT / 4)),), DONE, True),
    Row("write too slow, then quick", (Switch(Transact, 1, SLOW), Switch(Transact, 2, QUICK)),
        DONE, True),
    Row("write too slow until the bound", (Switch(Transact, 1, SLOW),),
        UNKNOWN, None, SHORT_BOUND),
    Row("answer lost, then down until the bound",
        (Switch(Transact, 1, PlatformFaults(lose_answers=1)), Switch(Transact, 2, DOWN)),
        UNKNOWN, True, SHORT_BOUND),
    Row("rate limited", (), DONE, True, BOUND,
        PlatformSettings(table_rate=5.0, burst=1.0)),
)  # fmt: skip


def group(name: str) -> Resource:
    """Returns a group."""
    return Resource(Kind.GROUP, name, (), GroupSpec())


def change(change_id: str) -> ProposedChange:
    """Returns a change that puts a group of the same name."""
    return ProposedChange(change_id, "operator", put=(group(change_id),))


class AcceptanceOnPlatformTest(unittest.TestCase):
    def start(
        self, switches: tuple[Switch, ...], settings: PlatformSettings, seed: int = 1
    ) -> PlatformPump:
        """Starts a platform with faults to come."""
        return PlatformPump(self, settings, switches, seed)

    def propose(
        self, pump: PlatformPump, name: str, proposal: ProposedChange, bound: float = BOUND
    ) -> None:
        """Has a proxy that knows no configuration propose a change."""
        settings = AcceptanceSettings(proposal_bound=bound, look_up_bound=bound, retry=RETRY)
        machine = ConfigurationAcceptance(settings, Random(name))
        pump.add(name, machine)
        now = time.monotonic()
        pump.take(name, machine.propose(proposal, EMPTY_CONFIGURATION, now))

    def await_finished(self, pump: PlatformPump, count: int) -> list[ProposalFinished]:
        """Waits for so many final answers in all."""
        pump.run_until(lambda: len(pump.of_type(ProposalFinished)) >= count)
        return pump.of_type(ProposalFinished)

    def check_history(self, pump: PlatformPump, finished: list[ProposalFinished]) -> None:
        """Checks answers against rows: each revision once and whole, each answer true."""
        *accepted, after = pump.revisions()
        self.assertIsNone(after, "a revision beyond the head")
        numbers = [item.revision if item else None for item in accepted]
        self.assertEqual(numbers, list(range(1, len(accepted) + 1)))
        for item in accepted:
            assert item is not None
            self.assertEqual(pump.change(item.change_id), item)
        ids = [item.change_id for item in accepted if item]
        self.assertEqual(len(ids), len(set(ids)), "a change stands twice")
        for answer in finished:
            if answer.outcome is DONE:
                self.assertIn(answer.change, accepted)
            elif answer.outcome is NOT_RUN:
                self.assertNotIn(answer.change_id, ids)

    def test_one_change_under_faults(self) -> None:
        for row in ROWS:
            with self.subTest(row.name):
                pump, answer = self.meet_all_faults(row)
                self.assertTrue(pump.switched_all, "a fault was never met")
                self.assertEqual(answer.outcome, row.outcome, answer)
                pump.heal()
                self.check_row(pump, row, answer)

    def meet_all_faults(self, row: Row) -> tuple[PlatformPump, ProposalFinished]:
        """Plays a row, with longer bounds while the bound passes before its faults were met.

        On a machine without a free processor the calls before a fault may take all of a short
        bound, or a stand-in that is to refuse answers too late; such a run is judged by its
        history alone, as it says nothing of the row.
        """
        bound = row.bound
        while True:
            pump = self.start(row.switches, row.settings)
            self.propose(pump, "first", change("a"), bound)
            (answer,) = self.await_finished(pump, 1)
            was_met = pump.switched_all and not self.was_late(pump, row)
            if was_met or bound >= LONGEST_BOUND:
                return pump, answer
            pump.heal()
            self.check_history(pump, [answer])
            bound *= 2

    def was_late(self, pump: PlatformPump, row: Row) -> bool:
        """Tells whether a call took its whole time though no fault of the row holds answers up."""
        faults = [switch.faults for switch in row.switches]
        holds_up = any(each.slowness or each.lose_answers for each in faults)
        return not holds_up and pump.longest_call >= CALL_TIMEOUT

    def check_row(self, pump: PlatformPump, row: Row, answer: ProposalFinished) -> None:
        """Checks the rows; what is left open is settled by proposing the change again."""
        if row.stands is not None:
            self.assertEqual(pump.change("a") is not None, row.stands)
            self.check_history(pump, [answer])
        if row.outcome is UNKNOWN:
            self.propose(pump, "second", change("a"))
            repeated = self.await_finished(pump, 2)[-1]
            self.assertEqual(repeated.outcome, DONE)
            self.assertEqual(pump.head(), 1)
            self.check_history(pump, [repeated])

    def test_two_proposers_at_once(self) -> None:
        lost = (Switch(Transact, 1, PlatformFaults(lose_answers=2)),)
        outage = (Switch(Transact, 2, DOWN), Switch(Transact, 4, UP))
        for name, switches in (("no fault", ()), ("answers lost", lost), ("outage", outage)):
            for seed in range(SEEDS):
                for ids in (("a", "b"), ("a", "a")):
                    with self.subTest(name, seed=seed, ids=ids):
                        self.check_two(switches, seed, ids)

    def check_two(self, switches: tuple[Switch, ...], seed: int, ids: tuple[str, str]) -> None:
        """Lets two proxies propose, their calls interleaved by the seed."""
        pump = self.start(switches, PlatformSettings(), seed)
        for proxy, change_id in zip(("first", "second"), ids, strict=True):
            self.propose(pump, proxy, change(change_id))
        finished = self.await_finished(pump, 2)
        self.check_history(pump, finished)
        done = {answer.change_id for answer in finished if answer.outcome is DONE}
        self.assertEqual(pump.head(), len(done))
        self.assertGreater(len(done), 0)
        for answer in finished:
            self.assertIsNot(answer.outcome, UNKNOWN)
            if answer.outcome is NOT_RUN:
                self.assertEqual(answer.winner, pump.revisions()[0])

    def test_look_up_tells_what_the_rows_hold(self) -> None:
        pump = self.start((), PlatformSettings())
        self.propose(pump, "first", change("a"))
        self.await_finished(pump, 1)
        machine = ConfigurationAcceptance(AcceptanceSettings(retry=RETRY), Random(1))
        pump.add("second", machine)
        for change_id in ("a", "b"):
            pump.take("second", machine.look_up(change_id, time.monotonic()))
        pump.run_until(lambda: len(pump.of_type(ChangeLookedUp)) == 2)
        found = {item.change_id: item.accepted for item in pump.of_type(ChangeLookedUp)}
        self.assertEqual(found, {"a": True, "b": False})


class PollerOnPlatformTest(unittest.TestCase):
    FAULTS = (
        ("no fault", ()),
        ("down, then up", (Switch(ReadRow, 8, DOWN), Switch(ReadRow, 10, UP))),
        ("too slow, then quick", (Switch(ReadRow, 8, SLOW), Switch(ReadRow, 9, QUICK))),
    )

    def test_newcomer_learns_what_the_rows_hold(self) -> None:
        for name, switches in self.FAULTS:
            with self.subTest(name):
                pump = PlatformPump(self, PlatformSettings(), switches, seed=1)
                self.accept(pump, ("a", "b", "c"))
                learned = self.poll(pump)
                self.assertTrue(pump.switched_all, "a fault was never met")
                *accepted, _ = pump.revisions()
                self.assertEqual(list(learned.changes), accepted)
                self.assertEqual(learned.configuration.revision, 3)

    def test_snapshot_is_written_and_found(self) -> None:
        pump = PlatformPump(self, PlatformSettings(), (), seed=1)
        self.accept(pump, ("a", "b", "c"))
        self.poll(pump)
        pump.run_until(
            lambda: any(event.name == "snapshot_checked" for event in pump.of_type(LogEvent))
        )
        (checked,) = [it for it in pump.of_type(LogEvent) if it.name == "snapshot_checked"]
        self.assertEqual(dict(checked.fields)["revision"], 3)

    def accept(self, pump: PlatformPump, ids: tuple[str, ...]) -> None:
        """Has changes accepted one after the other, by one proxy."""
        machine = ConfigurationAcceptance(AcceptanceSettings(retry=RETRY), Random(1))
        pump.add("first", machine)
        for change_id in ids:
            pump.take(
                "first", machine.propose(change(change_id), EMPTY_CONFIGURATION, time.monotonic())
            )
        pump.run_until(lambda: len(pump.of_type(ProposalFinished)) == len(ids))
        outcomes = {answer.outcome for answer in pump.of_type(ProposalFinished)}
        self.assertEqual(outcomes, {DONE})

    def poll(self, pump: PlatformPump) -> ConfigurationLearned:
        """Lets a newcomer without peers learn the configuration."""
        settings = PollerSettings(interval=0.05, snapshot_every=2, retry=RETRY)
        poller = ConfigurationPoller("newcomer", settings, Random(1))
        pump.add("newcomer", poller)
        pump.take("newcomer", poller.start(expects_peers=False, now=time.monotonic()))
        pump.run_until(lambda: bool(pump.of_type(ConfigurationLearned)))
        learned = pump.of_type(ConfigurationLearned)[0]
        assert isinstance(learned, ConfigurationLearned)
        return learned


if __name__ == "__main__":
    unittest.main()
