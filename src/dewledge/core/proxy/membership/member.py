"""Members, claims about members, and the one rule that says which of two claims wins.

Every claim carries the incarnation of the member it is about. Claims are ordered by incarnation,
then by state, and the greater one wins wherever they meet, so members that have seen the same
claims in any order hold the same view (SWIM, Das, Gupta and Motivala, DSN 2002, section 4.2).
Only a member itself raises its incarnation: that is how it refutes a false suspicion.
"""

from enum import IntEnum
from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
"""Bounded, so that every claim fits into a datagram; checked where datagrams are decoded."""
Address = Annotated[str, msgspec.Meta(max_length=63)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, le=2**60)]


class MemberState(IntEnum):
    """What is believed of a member; at one incarnation the greater state wins.

    SUSPECT: it did not answer and has not yet refuted. LEAVING: it has announced its planned stop
    and takes no new work. DEAD: it did not answer for the whole suspicion time. LEFT: it has
    announced its own end.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3
    LEFT = 4


GONE_STATES = frozenset((MemberState.DEAD, MemberState.LEFT))
PLACED_STATES = frozenset((MemberState.ALIVE, MemberState.SUSPECT))


class Location(msgspec.Struct, frozen=True, array_like=True):
    """Where a member is reached: "ip:port" for TCP links and for UDP, and its zone."""

    peer_address: Address
    gossip_address: Address
    zone: Address


class Member(msgspec.Struct, frozen=True):
    """One member as this process believes it to be. Never changed, only replaced.

    peer_address, gossip_address: "ip:port" of its TCP links and of its UDP socket.
    incarnation: chosen higher by a later process of the same name, such as its start time.
    """

    name: str
    peer_address: str
    gossip_address: str
    zone: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE

    @property
    def is_gone(self) -> bool:
        """Whether it is dead or has left."""
        return self.state in GONE_STATES

    @property
    def location(self) -> Location:
        """Where it is reached."""
        return Location(self.peer_address, self.gossip_address, self.zone)


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """What one member says of another (or of itself).

    location: left out where the receiver is expected to know the member already.
    accuser: who suspects, for SUSPECT; independent accusers shorten the suspicion time.
    """

    name: Name
    incarnation: Incarnation
    state: MemberState
    location: Location | None = None
    accuser: Name | None = None


def claim_of(member: Member, with_location: bool = False) -> Claim:
    """Returns the claim that tells others what is believed of `member`."""
    location = member.location if with_location else None
    return Claim(member.name, member.incarnation, member.state, location)


def supersedes(claim: Claim, member: Member) -> bool:
    """Tells whether `claim` wins over what is believed of `member`."""
    return (claim.incarnation, claim.state) > (member.incarnation, member.state)


def apply_claim(member: Member | None, claim: Claim) -> Member | None:
    """Returns the member as believed after `claim`, or None if the claim changes nothing.

    A claim about an unknown member counts only if it says where the member is and that it lives.
    """
    if member is None:
        if claim.location is None or claim.state in GONE_STATES:
            return None
        location = claim.location
    elif supersedes(claim, member):
        location = claim.location or member.location
    else:
        return None
    return Member(
        name=claim.name,
        peer_address=location.peer_address,
        gossip_address=location.gossip_address,
        zone=location.zone,
        incarnation=claim.incarnation,
        state=claim.state,
    )
