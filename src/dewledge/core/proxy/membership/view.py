"""What this process believes of the members, and how each claim that arrives changes it."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.membership.broadcast import BroadcastQueue
from dewledge.core.proxy.membership.member import (
    GONE_STATES,
    PLACED_STATES,
    Claim,
    Member,
    MemberState,
    apply_claim,
    claim_of,
    supersedes,
)
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.membership.suspicion import SuspicionTimers
from dewledge.core.proxy.membership.table import MemberTable

UNNAMED_ACCUSER = ""


class MemberView:
    """The table, the suspicions and the news, kept in step.

    on_come, on_gone: called with the name of a member that is now believed to live, or gone.
    changed: whether a member came, went, moved or began to leave since the flag was last lowered;
    a mere suspicion and its refutation do not count.
    refutations: how often this member has had to contradict a claim about itself.
    """

    def __init__(
        self,
        me: Member,
        settings: MembershipSettings,
        table: MemberTable,
        queue: BroadcastQueue,
        on_come: Callable[[str], None],
        on_gone: Callable[[str], None],
    ) -> None:
        self.me = me
        self.table = table
        self.queue = queue
        self.suspicions = SuspicionTimers(settings)
        self.changed = False
        self.refutations = 0
        self._on_come = on_come
        self._on_gone = on_gone

    def announce(self, state: MemberState, now: float) -> None:
        """Gives this member a new state and tells it to the others."""
        self.me = msgspec.structs.replace(self.me, state=state)
        self._publish_me(now, with_location=state is MemberState.ALIVE)

    def take(self, claim: Claim, now: float, pass_on: bool = True) -> bool:
        """Applies a claim; returns whether it changed the view. News is passed on."""
        if claim.name == self.me.name:
            return self._take_about_me(claim, now)
        member = self.table.get(claim.name)
        if member is not None and not supersedes(claim, member):
            self._take_confirmation(member, claim, now)
            return False
        believed = apply_claim(member, claim)
        if believed is None:
            return False
        self.table.put(believed, now)
        self._follow_suspicion(believed, claim, now)
        if pass_on:
            self.queue.add(claim)
        if believed.is_gone:
            self._on_gone(believed.name)
        elif member is None or member.is_gone:
            self._on_come(believed.name)
        self.changed = self.changed or _is_notable(member, believed)
        return True

    def take_entry(self, claim: Claim, now: float, pass_on: bool) -> Member | None:
        """Applies an entry of another member's table, which may be long out of date.

        Returns the member if the entry calls one dead that is believed to live: such an entry is
        not believed but has to be checked, since it may stem from a cut that is over.
        """
        member = self.table.get(claim.name)
        stale_death = claim.state is MemberState.DEAD and claim.name != self.me.name
        if not stale_death:
            self.take(claim, now, pass_on)
            return None
        if member is None or member.is_gone or not supersedes(claim, member):
            return None
        return member

    def suspect(self, member: Member, now: float) -> None:
        """Accuses a member that has not answered.

        A leaving member keeps its state while its time runs out: called suspect, it would get new
        work again.
        """
        if member.state is MemberState.LEAVING:
            self.suspicions.accuse(
                member.name, member.incarnation, self.me.name, self.table.living_count, now
            )
            return
        accuser = self.me.name
        self.take(Claim(member.name, member.incarnation, MemberState.SUSPECT, accuser=accuser), now)

    def note_answer(self, name: str) -> None:
        """Notes that a member has answered, which ends the silent suspicion of a leaving one."""
        member = self.table.get(name)
        if member is not None and member.state is MemberState.LEAVING:
            self.suspicions.clear(name)

    def expire_suspicions(self, now: float) -> list[Member]:
        """Declares dead whoever has not refuted in time, and returns them."""
        dead = []
        for expired in self.suspicions.expire(now):
            member = self.table.get(expired.name)
            if member is None or member.is_gone or member.incarnation != expired.incarnation:
                continue
            self.take(Claim(expired.name, expired.incarnation, MemberState.DEAD), now)
            dead.append(member)
        return dead

    def doubts_about(self, name: str) -> tuple[Claim, ...]:
        """Returns what a member should be told of itself: any belief that it is not well.

        Told first and directly, so that it can refute at once (Lifeguard's buddy system).
        """
        member = self.table.get(name)
        if member is None or member.state in (MemberState.ALIVE, MemberState.LEAVING):
            return ()
        return (claim_of(member),)

    def _take_about_me(self, claim: Claim, now: float) -> bool:
        doubted = claim.state is MemberState.SUSPECT or claim.state in GONE_STATES
        if not supersedes(claim, self.me) and not (
            doubted and claim.incarnation == self.me.incarnation
        ):
            return False
        if self.me.state is MemberState.LEFT:
            return False
        self.refutations += 1
        self.me = msgspec.structs.replace(self.me, incarnation=claim.incarnation + 1)
        self._publish_me(now, with_location=not doubted)
        return True

    def _publish_me(self, now: float, with_location: bool) -> None:
        self.table.put(self.me, now)
        self.queue.add(claim_of(self.me, with_location))
        self.changed = True

    def _take_confirmation(self, member: Member, claim: Claim, now: float) -> None:
        """Lets another accuser of a known suspect shorten its time."""
        if claim.state is not MemberState.SUSPECT or member.state is not MemberState.SUSPECT:
            return
        if member.incarnation == claim.incarnation and self._accuse(claim, now):
            self.queue.add(claim)

    def _follow_suspicion(self, believed: Member, claim: Claim, now: float) -> None:
        if believed.state is MemberState.SUSPECT:
            self._accuse(claim, now)
        else:
            self.suspicions.clear(believed.name)

    def _accuse(self, claim: Claim, now: float) -> bool:
        accuser = claim.accuser or UNNAMED_ACCUSER
        members = self.table.living_count
        return self.suspicions.accuse(claim.name, claim.incarnation, accuser, members, now)


def _is_notable(before: Member | None, after: Member) -> bool:
    """Tells whether a change matters to those who use the members."""
    if before is None:
        return True
    placed_before = before.state in PLACED_STATES
    placed_after = after.state in PLACED_STATES
    if placed_before and placed_after:
        return before.location != after.location
    return before.state is not after.state
