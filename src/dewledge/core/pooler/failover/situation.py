"""What one step of a succession is taken in: the group and the processes as known now."""

from collections.abc import Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import Phase, RegisteredProcesses, SuccessionEffect


class Situation(msgspec.Struct, frozen=True):
    """members: the processes that judge the primary, in order of rank.

    registered: all processes, which may use the primary. now: steady clock, seconds.
    """

    view: GroupView
    members: Sequence[str]
    registered: RegisteredProcesses
    now: float


class Step(msgspec.Struct, frozen=True):
    """Effects to carry out, and the phase that follows, None for the same one."""

    effects: Sequence[SuccessionEffect] = ()
    phase: Phase | None = None
    reason: str = ""
