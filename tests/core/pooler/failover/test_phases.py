"""The table of phases is complete; the cases of this folder and random days hold to it."""

import unittest
from collections.abc import Iterable, Sequence

from dewledge.core.pooler.failover.messages import FailoverEffect, LossCause, Phase, PhaseChanged
from dewledge.core.pooler.failover.phases import EFFECTS, TRANSITIONS, PhaseEnd, Transition


def matches_transition(row: Transition, before: Phase, change: PhaseChanged) -> bool:
    """Tells whether a change of phase is as a row of the table has it."""
    is_reason = change.reason == row.reason
    if row.reason.endswith("_by_"):
        is_reason = change.reason.startswith(row.reason)
    elif not row.reason:
        is_reason = change.reason in list(LossCause)
    return before in row.during and change.phase is row.next_phase and is_reason


def outside_table(before: Phase, changes: Iterable[PhaseChanged]) -> list[str]:
    """Returns the changes that no row of the table has, or more than one."""
    found = []
    for change in changes:
        rows = [row for row in TRANSITIONS.values() if matches_transition(row, before, change)]
        if len(rows) != 1:
            found.append(f"{before} to {change.phase}: {change.reason}")
        before = change.phase
    return found


def undeclared_effects(phases: Iterable[Phase], effects: Sequence[FailoverEffect]) -> list[str]:
    """Returns the effects that none of these phases asks for by the table."""
    allowed = tuple(kind for phase in phases for kind in EFFECTS[phase])
    return [repr(effect) for effect in effects if not isinstance(effect, allowed)]


class PhaseTableTest(unittest.TestCase):
    def test_every_phase_end_has_a_transition_and_every_phase_its_effects(self) -> None:
        self.assertEqual(set(TRANSITIONS), set(PhaseEnd))
        self.assertEqual(set(EFFECTS), set(Phase))

    def test_every_phase_can_be_entered_and_ended(self) -> None:
        self.assertEqual({row.next_phase for row in TRANSITIONS.values()}, set(Phase))
        ended = {phase for row in TRANSITIONS.values() for phase in row.during}
        self.assertEqual(ended, set(Phase))

    def test_no_transition_returns_to_the_phase_it_ends(self) -> None:
        for end, row in TRANSITIONS.items():
            self.assertNotIn(row.next_phase, row.during, end)

    def test_phase_change_outside_the_table_is_reported(self) -> None:
        change = PhaseChanged("g", "p", Phase.PROMOTING, "chosen")
        self.assertEqual(outside_table(Phase.CHOOSING, [change]), [])
        self.assertEqual(len(outside_table(Phase.CLAIMING, [change])), 1)


if __name__ == "__main__":
    unittest.main()
