"""Input and result of a step of the failover state machine."""

import math
from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.failover.messages import FailoverEffect, RegisteredProcesses
from dewledge.core.pooler.failover.phases import PhaseEnd


class GroupLog(msgspec.Struct, frozen=True):
    """What this process knows of a group's log, and which commits a new primary must hold.

    synchronous_replicas: replicas that must receive a commit before it is acknowledged, None while
    the configuration is unknown. newest_term: highest term in an answer of a database.
    observed_term: returns the term in a database's last answer, 0 without one. serves_until:
    returns until when a draining primary gets work (steady clock). may_be_copy: whether the
    databases may be known from an older copy of the store alone.
    """

    synchronous_replicas: int | None = 0
    newest_term: int = 0
    observed_term: Callable[[str], int] = lambda _name: 0
    serves_until: Callable[[str], float] = lambda _name: -math.inf
    may_be_copy: bool = False


class Situation(msgspec.Struct, frozen=True):
    """Input of a step: the state of the group and of the processes.

    members: the judges of the group, in order of rank. registered: all processes that may use the
    primary. now: current time (steady clock, seconds).
    """

    view: GroupView
    members: Sequence[str]
    registered: RegisteredProcesses
    now: float
    log: GroupLog


class Step(msgspec.Struct, frozen=True):
    """Result of a step: effects to carry out, and what ends the phase, None if it continues."""

    effects: Sequence[FailoverEffect] = ()
    end: PhaseEnd | None = None
    detail: str = ""
