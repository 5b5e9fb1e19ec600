"""Suspicions under way: who accuses whom, and when a suspect that stays silent counts as dead."""

import heapq

import msgspec

from dewledge.core.proxy.membership.settings import (
    MembershipSettings,
    confirmations_needed,
    suspicion_time,
)

FOREVER = float("inf")


class _Suspicion(msgspec.Struct):
    incarnation: int
    started: float
    deadline: float
    accusers: set[str]


class ExpiredSuspicion(msgspec.Struct, frozen=True):
    """A member that has not refuted in time, at the incarnation that was suspected."""

    name: str
    incarnation: int


class SuspicionTimers:
    """A timer for each suspect; every independent accuser shortens it (Lifeguard)."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._heap: list[tuple[float, str]] = []

    def accuse(self, name: str, incarnation: int, accuser: str, members: int, now: float) -> bool:
        """Starts or shortens a suspicion. Returns whether the accusation is news to pass on."""
        suspicion = self._suspicions.get(name)
        if suspicion is None or suspicion.incarnation < incarnation:
            suspicion = _Suspicion(incarnation, now, FOREVER, set())
            self._suspicions[name] = suspicion
        if accuser in suspicion.accusers:
            return False
        if len(suspicion.accusers) > confirmations_needed(self._settings, members):
            return False
        suspicion.accusers.add(accuser)
        confirmations = len(suspicion.accusers) - 1
        time = suspicion_time(self._settings, members, confirmations)
        self._schedule(name, suspicion, suspicion.started + time)
        return True

    def clear(self, name: str) -> None:
        """Ends the suspicion of a member, if there is one."""
        self._suspicions.pop(name, None)

    def restart(self, members: int, now: float) -> None:
        """Begins every suspicion anew: this process was frozen and may have missed refutations."""
        for name, suspicion in self._suspicions.items():
            suspicion.started = now
            suspicion.accusers = set()
            time = suspicion_time(self._settings, members, 0)
            self._schedule(name, suspicion, now + time)

    def next_deadline(self) -> float:
        """Returns when the next suspicion expires, or infinity."""
        while self._heap:
            deadline, name = self._heap[0]
            suspicion = self._suspicions.get(name)
            if suspicion is not None and suspicion.deadline == deadline:
                return deadline
            heapq.heappop(self._heap)
        return FOREVER

    def expire(self, now: float) -> list[ExpiredSuspicion]:
        """Ends and returns the suspicions whose time is over."""
        expired = []
        while self.next_deadline() <= now:
            _, name = heapq.heappop(self._heap)
            suspicion = self._suspicions.pop(name)
            expired.append(ExpiredSuspicion(name, suspicion.incarnation))
        return expired

    def _schedule(self, name: str, suspicion: _Suspicion, deadline: float) -> None:
        suspicion.deadline = deadline
        heapq.heappush(self._heap, (deadline, name))
