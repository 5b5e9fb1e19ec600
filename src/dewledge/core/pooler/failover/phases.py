"""The phases of a failover as a table: what ends a phase, which phase follows, what is asked for.

Inputs: the phase and what happened, decided by group_failover.py and replacement.py. Decision: the
next phase. Owns the `reason` of the log record `phase_changed`. Pure data.
"""

from collections.abc import Mapping
from enum import Enum, auto

import msgspec

from dewledge.core.pooler.failover.messages import (
    AnnounceLeader,
    AskIndirectProbes,
    FailoverEffect,
    Phase,
    Promote,
    ReadStatus,
    SendClaim,
    StepDown,
    TestReach,
    TryLeader,
    WriteClaim,
)


class PhaseEnd(Enum):
    """What ends a phase. Where a detail follows, it completes the reason in the log."""

    NO_ANSWER = auto()
    """A statement to the primary got no answer, or a doubted primary is due to be tested again."""
    REACHABLE = auto()
    """This process reaches the primary after all."""
    REACHED_BY_OTHER = auto()
    """Another process reaches the primary. Detail: its name."""
    NOT_CONFIRMED = auto()
    """The check took too long: answers were lost."""
    LOST = auto()
    """The primary is to be replaced. Detail: the LossCause."""
    CLAIMED_BY_OTHER = auto()
    """Another process holds a claim to replace this primary. Detail: its name."""
    OVERTAKEN_BY_OTHER = auto()
    """Another process wrote a newer claim that replaces nothing. Detail: its name."""
    CLAIMED = auto()
    """The own claim stands in the store."""
    HELD_BEFORE = auto()
    """The newest claim is an earlier one of this process, under which it may act."""
    CHOSEN = auto()
    """A candidate is chosen, and the platform takes the lead from the old primary."""
    CHOSEN_OLD_IN_USE = auto()
    """A candidate is chosen, and the processes have to stop using the old primary first."""
    NO_CANDIDATE = auto()
    """No database could be chosen in time."""
    RELEASED = auto()
    """No process uses the old primary any more, and the candidate has received all it held."""
    NOT_RELEASED = auto()
    """A process may still use the old primary after the time for a promotion."""
    CANDIDATE_REFUSED = auto()
    """The platform did not promote the first candidate."""
    TOKEN_REFUSED = auto()
    """The platform refused a second candidate under the same fencing token."""
    TOKEN_TOO_OLD = auto()
    """The platform refused a fencing token, and a newer claim is known."""
    PROMOTION_WITHOUT_EFFECT = auto()
    """No new primary within the time for a promotion."""
    HOLDER_WITHOUT_EFFECT = auto()
    """No new primary within the time that the holder of the claim is given."""
    NEW_PRIMARY = auto()
    """The group has a primary that needs no replacement."""


class Transition(msgspec.Struct, frozen=True):
    """during: the phases that it may end. reason: in the log, completed by the detail."""

    during: frozenset[Phase]
    next_phase: Phase
    reason: str


REPLACING = frozenset({Phase.CHOOSING, Phase.RELEASING, Phase.PROMOTING})
"""This process holds the claim and replaces the primary."""
HOLDING = REPLACING | {Phase.CLAIMING}
"""This process holds the claim or is about to write it."""
ACTING = HOLDING | {Phase.CHECKING}
"""This process judges or replaces the primary."""
NOT_STEADY = ACTING | {Phase.FOLLOWING}

_STEADY = frozenset({Phase.STEADY})
_CHECKING = frozenset({Phase.CHECKING})
_CLAIMING = frozenset({Phase.CLAIMING})
_CHOOSING = frozenset({Phase.CHOOSING})
_RELEASING = frozenset({Phase.RELEASING})
_PROMOTING = frozenset({Phase.PROMOTING})
_FOLLOWING = frozenset({Phase.FOLLOWING})

TRANSITIONS: Mapping[PhaseEnd, Transition] = {
    PhaseEnd.NO_ANSWER: Transition(_STEADY, Phase.CHECKING, "no_answer"),
    PhaseEnd.REACHABLE: Transition(_CHECKING, Phase.STEADY, "reachable"),
    PhaseEnd.REACHED_BY_OTHER: Transition(_CHECKING, Phase.STEADY, "reached_by_"),
    PhaseEnd.NOT_CONFIRMED: Transition(_CHECKING, Phase.STEADY, "not_confirmed"),
    PhaseEnd.LOST: Transition(_STEADY | _CHECKING, Phase.CLAIMING, ""),
    PhaseEnd.CLAIMED_BY_OTHER: Transition(_STEADY | ACTING, Phase.FOLLOWING, "claimed_by_"),
    PhaseEnd.OVERTAKEN_BY_OTHER: Transition(HOLDING, Phase.FOLLOWING, "overtaken_by_"),
    PhaseEnd.CLAIMED: Transition(_CLAIMING, Phase.CHOOSING, "claimed"),
    PhaseEnd.HELD_BEFORE: Transition(_CLAIMING, Phase.CHOOSING, "held_before"),
    PhaseEnd.CHOSEN: Transition(_CHOOSING, Phase.PROMOTING, "chosen"),
    PhaseEnd.CHOSEN_OLD_IN_USE: Transition(_CHOOSING, Phase.RELEASING, "chosen"),
    PhaseEnd.NO_CANDIDATE: Transition(_CHOOSING, Phase.STEADY, "no_candidate"),
    PhaseEnd.RELEASED: Transition(_RELEASING, Phase.PROMOTING, "released"),
    PhaseEnd.NOT_RELEASED: Transition(_RELEASING, Phase.STEADY, "not_released"),
    PhaseEnd.CANDIDATE_REFUSED: Transition(_PROMOTING, Phase.CHOOSING, "candidate_refused"),
    PhaseEnd.TOKEN_REFUSED: Transition(_PROMOTING, Phase.FOLLOWING, "token_refused"),
    PhaseEnd.TOKEN_TOO_OLD: Transition(_PROMOTING, Phase.FOLLOWING, "token_too_old"),
    PhaseEnd.PROMOTION_WITHOUT_EFFECT: Transition(
        _PROMOTING, Phase.STEADY, "promotion_without_effect"
    ),
    PhaseEnd.HOLDER_WITHOUT_EFFECT: Transition(_FOLLOWING, Phase.STEADY, "holder_without_effect"),
    PhaseEnd.NEW_PRIMARY: Transition(NOT_STEADY, Phase.STEADY, "new_primary"),
}

EFFECTS: Mapping[Phase, tuple[type[FailoverEffect], ...]] = {
    Phase.STEADY: (TryLeader, WriteClaim, SendClaim),
    Phase.CHECKING: (TestReach, AskIndirectProbes),
    Phase.CLAIMING: (WriteClaim,),
    Phase.CHOOSING: (ReadStatus, StepDown, SendClaim, WriteClaim),
    Phase.RELEASING: (StepDown, WriteClaim, SendClaim, ReadStatus),
    Phase.PROMOTING: (Promote, ReadStatus, AnnounceLeader),
    Phase.FOLLOWING: (),
}
"""What a process may ask for in a phase, its beginning and its end included. The tests of this
folder hold the state machine to it."""
