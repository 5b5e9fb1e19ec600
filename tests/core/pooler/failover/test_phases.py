"""The transition table is complete, and all failover tests check the state machine against it."""

import unittest
from collections.abc import Iterable, Sequence

from dewledge.core.pooler.failover.messages import FailoverEffect, LossCause, Phase, PhaseChanged
from dewledge.core.pooler.failover.phases import EFFECTS, TRANSITIONS, PhaseEnd, Transition


def matches_transition(transition: Transition, before: Phase, change: PhaseChanged) -> bool:
    """Returns whether a change of phase matches a transition of the table."""
    matches_reason = change.reason == transition.reason
    if transition.reason.endswith("_by_"):
        matches_reason = change.reason.startswith(transition.reason)
    elif not transition.reason:
        matches_reason = change.reason in list(LossCause)
    return before in transition.during and change.phase is transition.next_phase and matches_reason


def outside_table(before: Phase, changes: Iterable[PhaseChanged]) -> list[str]:
    """Returns the changes that match no transition of the table, or several."""
    found = []
    for change in changes:
        transitions = [
            transition
            for transition in TRANSITIONS.values()
            if matches_transition(transition, before, change)
        ]
        if len(transitions) != 1:
            found.append(f"{before} to {change.phase}: {change.reason}")
        before = change.phase
    return found


def undeclared_effects(phases: Iterable[Phase], effects: Sequence[FailoverEffect]) -> list[str]:
    """Returns the effects that the table allows in none of these phases."""
    allowed = tuple(kind for phase in phases for kind in EFFECTS[phase])
    return [repr(effect) for effect in effects if not isinstance(effect, allowed)]


class PhaseTableTest(unittest.TestCase):
    def test_every_phase_end_has_a_transition_and_every_phase_its_effects(self) -> None:
        self.assertEqual(set(TRANSITIONS), set(PhaseEnd))
        self.assertEqual(set(EFFECTS), set(Phase))

    def test_every_phase_can_be_entered_and_ended(self) -> None:
        self.assertEqual({transition.next_phase for transition in TRANSITIONS.values()}, set(Phase))
        ended = {phase for transition in TRANSITIONS.values() for phase in transition.during}
        self.assertEqual(ended, set(Phase))

    def test_no_transition_returns_to_the_phase_it_ends(self) -> None:
        for end, transition in TRANSITIONS.items():
            self.assertNotIn(transition.next_phase, transition.during, end)

    def test_phase_change_outside_the_table_is_reported(self) -> None:
        change = PhaseChanged("g", "p", Phase.PROMOTING, "chosen")
        self.assertEqual(outside_table(Phase.CHOOSING, [change]), [])
        self.assertEqual(len(outside_table(Phase.CLAIMING, [change])), 1)


if __name__ == "__main__":
    unittest.main()
