"""Transition table of the failover phases, and the effects allowed in each phase. Pure data.

group_failover.py and replacement.py decide which event ends a phase; the table gives the next phase
and the `reason` of the log record `phase_changed`.
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
    StartReplication,
    StepDown,
    StopReplication,
    TestReach,
    TryLeader,
    WriteClaim,
)

PHASE_TIMEOUT_SECONDS = 6.0
"""Seconds that each of the phases choosing, releasing and promoting may last; then the replacement
is given up."""


class PhaseEnd(Enum):
    """Event that ends a phase. A detail, where there is one, is appended to the reason logged."""

    NO_ANSWER = auto()
    """A statement to the primary got no answer, or a suspected primary is tested again."""
    REACHABLE = auto()
    """This process can reach the primary."""
    REACHED_BY_OTHER = auto()
    """Another process can reach the primary. Detail: the name of that process."""
    NOT_CONFIRMED = auto()
    """The check timed out without a decision, because answers were lost."""
    LOST = auto()
    """The primary has to be replaced. Detail: the LossCause."""
    CLAIMED_BY_OTHER = auto()
    """Another process holds a claim to replace this primary. Detail: the name of that process."""
    OVERTAKEN_BY_OTHER = auto()
    """Another process wrote a newer claim that replaces no primary. Detail: its name."""
    CLAIMED = auto()
    """The store holds this process's claim."""
    HELD_BEFORE = auto()
    """The newest claim is an earlier claim of this process, under which it may act."""
    CHOSEN = auto()
    """A candidate is selected, and the platform fences the old primary."""
    CHOSEN_OLD_IN_USE = auto()
    """A candidate is selected, and the processes have to stop using the old primary first."""
    NO_CANDIDATE = auto()
    """No candidate was found in time."""
    RELEASED = auto()
    """No process can still use the old primary, and the candidate has received its log."""
    NOT_RELEASED = auto()
    """The phase timed out while a process might still use the old primary."""
    RETURNED = auto()
    """The unreachable primary answers again, and leads in the newest term."""
    CANDIDATE_REFUSED = auto()
    """The platform refused to promote the first candidate."""
    TOKEN_REFUSED = auto()
    """The platform refused a second candidate under the same fencing token."""
    TOKEN_TOO_OLD = auto()
    """The platform refused a promotion, and this process knows a newer claim than its own."""
    PROMOTION_WITHOUT_EFFECT = auto()
    """The promotion timed out without a new primary."""
    HOLDER_WITHOUT_EFFECT = auto()
    """The claim of another process timed out without a new primary."""
    NEW_PRIMARY = auto()
    """The group has a primary that needs no replacement."""
    STORE_RESTORED = auto()
    """The store came back from an older copy, and the processes fence: claims are written again."""


class Transition(msgspec.Struct, frozen=True):
    """Next phase after a PhaseEnd.

    during: the phases that this transition may end. reason: prefix of the reason logged.
    """

    during: frozenset[Phase]
    next_phase: Phase
    reason: str


REPLACING = frozenset({Phase.CHOOSING, Phase.RELEASING, Phase.PROMOTING})
"""This process holds the claim and replaces the primary."""
HOLDING = REPLACING | {Phase.CLAIMING}
"""This process holds the claim or is about to write it."""
ACTING = HOLDING | {Phase.CHECKING}
"""This process checks or replaces the primary."""
NOT_STEADY = ACTING | {Phase.FOLLOWING}
"""A failover is under way, here or at another process."""

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
    PhaseEnd.RETURNED: Transition(_CHOOSING, Phase.STEADY, "returned"),
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
    PhaseEnd.STORE_RESTORED: Transition(NOT_STEADY, Phase.STEADY, "store_restored"),
}

EFFECTS: Mapping[Phase, tuple[type[FailoverEffect], ...]] = {
    Phase.STEADY: (TryLeader, WriteClaim, SendClaim),
    Phase.CHECKING: (TestReach, AskIndirectProbes, StartReplication),
    Phase.CLAIMING: (WriteClaim,),
    Phase.CHOOSING: (
        ReadStatus,
        StepDown,
        StopReplication,
        StartReplication,
        SendClaim,
        WriteClaim,
    ),
    Phase.RELEASING: (StepDown, StartReplication, WriteClaim, SendClaim, ReadStatus),
    Phase.PROMOTING: (Promote, ReadStatus, AnnounceLeader),
    Phase.FOLLOWING: (),
}
"""Effects that a process may request in a phase, including those at its start and end. The tests
check the state machine against this table."""
