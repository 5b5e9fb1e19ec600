"""What one step of a failover is taken in, and what comes of it."""

from collections.abc import Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import FailoverEffect, RegisteredProcesses
from dewledge.core.pooler.failover.phases import PhaseEnd


class Situation(msgspec.Struct, frozen=True):
    """members: the processes that judge the primary, in order of rank.

    registered: all processes, which may use the primary. now: steady clock, seconds.
    """

    view: GroupView
    members: Sequence[str]
    registered: RegisteredProcesses
    now: float


class Step(msgspec.Struct, frozen=True):
    """Effects to carry out, and what ends the phase, None if it goes on."""

    effects: Sequence[FailoverEffect] = ()
    end: PhaseEnd | None = None
    detail: str = ""
