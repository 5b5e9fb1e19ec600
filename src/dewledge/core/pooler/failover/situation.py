"""Input and result of a step of the failover state machine."""

from collections.abc import Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import FailoverEffect, RegisteredProcesses
from dewledge.core.pooler.failover.phases import PhaseEnd


class Situation(msgspec.Struct, frozen=True):
    """Input of a step: the state of the group and of the processes.

    members: the judges of the group, in order of rank. registered: all processes that may use the
    primary. now: current time (steady clock, seconds).
    """

    view: GroupView
    members: Sequence[str]
    registered: RegisteredProcesses
    now: float


class Step(msgspec.Struct, frozen=True):
    """Result of a step: effects to carry out, and what ends the phase, None if it continues."""

    effects: Sequence[FailoverEffect] = ()
    end: PhaseEnd | None = None
    detail: str = ""
