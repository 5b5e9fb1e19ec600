"""Probing: whom to ask next, what became of it, and how well this process itself is.

Members are probed in a shuffled round, so that each is reached once a round (SWIM, section 4.3).
A probe that fails while others could not answer for it either speaks against this process, and
slows it down (Lifeguard's local health).
"""

from collections import deque
from random import Random

import msgspec

from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.settings import MembershipSettings, direct_probe_time
from dewledge.core.proxy.membership.table import MemberTable

NEVER = float("-inf")
MAX_URGENT = 16
"""Members that may wait to be probed out of turn."""


class Probe(msgspec.Struct):
    """A probe under way. indirect_at: when others are asked; ends_at: when it has failed."""

    target: Member
    sequence: int
    sent_at: float
    indirect_at: float
    ends_at: float
    asked: int = 0
    nacks: int = 0


class LocalHealth:
    """A score from 0 (well) to the limit; every probe time is multiplied by one more than it."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.score = 0

    @property
    def factor(self) -> int:
        """What to multiply times by."""
        return self.score + 1

    def change(self, amount: int) -> None:
        """Raises (worse) or lowers (better) the score within its bounds."""
        self.score = min(self._limit, max(0, self.score + amount))


class _Contact(msgspec.Struct):
    name: str
    answered: bool


class ContactWindow:
    """The outcome of the latest probes, for estimating how many members are reachable.

    answered_at: when the latest answer came.
    """

    def __init__(self, length: int) -> None:
        self._contacts: deque[_Contact] = deque(maxlen=length)
        self.answered_at = NEVER

    def note(self, name: str, answered: bool, now: float) -> None:
        """Adds an outcome and drops the oldest."""
        self._contacts.append(_Contact(name, answered))
        if answered:
            self.answered_at = now

    def note_extra(self, name: str, now: float) -> None:
        """Notes an answer to a ping out of turn, which does not weigh against failed probes."""
        self.answered_at = now
        if not self._contacts:
            self._contacts.append(_Contact(name, True))

    def forget(self, name: str) -> None:
        """Drops the failures of a member that is now known to be gone."""
        kept = [item for item in self._contacts if item.name != name or item.answered]
        self._contacts = deque(kept, maxlen=self._contacts.maxlen)

    def clear(self) -> None:
        """Forgets all outcomes."""
        self._contacts.clear()
        self.answered_at = NEVER

    @property
    def asked(self) -> int:
        """How many outcomes there are."""
        return len(self._contacts)

    @property
    def answered(self) -> int:
        """How many of them were answers."""
        return sum(item.answered for item in self._contacts)


class Prober:
    """Chooses targets and keeps the one probe that is under way."""

    def __init__(self, me: str, settings: MembershipSettings, random: Random) -> None:
        self._me = me
        self._settings = settings
        self._random = random
        self._round: list[str] = []
        self._urgent: deque[str] = deque(maxlen=MAX_URGENT)
        self._sequence = random.getrandbits(24)
        self.health = LocalHealth(settings.max_local_health)
        self.contacts = ContactWindow(settings.contact_window)
        self.current: Probe | None = None
        self.next_at = 0.0

    def next_sequence(self) -> int:
        """Returns a number that no other request of this process has lately used."""
        self._sequence = (self._sequence + 1) & 0xFFFFFFFF
        return self._sequence

    def include(self, name: str) -> None:
        """Puts a member that has come at a random place in the present round.

        Left for the next round, it would go unwatched for as many seconds as there are members.
        """
        self._round.insert(self._random.randint(0, len(self._round)), name)

    def hurry(self, name: str) -> None:
        """Puts a member first in line, out of turn."""
        if name not in self._urgent:
            self._urgent.append(name)

    def begin(self, table: MemberTable, now: float) -> Probe | None:
        """Begins the next probe, or returns None if there is nobody to ask."""
        interval = self._settings.probe_interval * self.health.factor
        self.next_at = now + interval
        target = self._next_target(table)
        if target is None:
            return None
        indirect_at = now + direct_probe_time(self._settings) * self.health.factor
        self.current = Probe(target, self.next_sequence(), now, indirect_at, now + interval)
        return self.current

    def acknowledge(self, sequence: int, now: float) -> Probe | None:
        """Ends the current probe well if `sequence` is its own, and returns it."""
        probe = self.current
        if probe is None or probe.sequence != sequence:
            return None
        self.current = None
        self.health.change(-1)
        self.contacts.note(probe.target.name, True, now)
        return probe

    def refuse(self, sequence: int) -> None:
        """Notes that a member asked to help is well but got no answer either."""
        if self.current is not None and self.current.sequence == sequence:
            self.current.nacks += 1

    def fail(self, now: float) -> Member | None:
        """Ends the current probe as failed and returns its target."""
        probe = self.current
        if probe is None:
            return None
        self.current = None
        missing_nacks = probe.asked - probe.nacks
        self.health.change(missing_nacks if probe.asked else 1)
        self.contacts.note(probe.target.name, False, now)
        return probe.target

    def abandon(self, now: float) -> None:
        """Drops the current probe and all contacts: this process was frozen."""
        self.current = None
        self.next_at = now
        self.contacts.clear()
        self.health.change(self._settings.max_local_health // 2)

    def _next_target(self, table: MemberTable) -> Member | None:
        while self._urgent:
            target = _living(table, self._urgent.popleft())
            if target is not None:
                return target
        for _ in range(2):
            while self._round:
                target = _living(table, self._round.pop())
                if target is not None:
                    return target
            self._round = [item.name for item in table.living() if item.name != self._me]
            self._random.shuffle(self._round)
        return None


def _living(table: MemberTable, name: str) -> Member | None:
    member = table.get(name)
    return None if member is None or member.is_gone else member
