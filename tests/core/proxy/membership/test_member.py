"""Contract of the rule that decides between claims."""

import unittest
from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.membership.member import (
    Claim,
    Location,
    Member,
    MemberState,
    apply_claim,
    supersedes,
)

LOCATION = Location("10.0.0.1:7001", "10.0.0.1:7002", "north-0")
MEMBER = Member("a", "10.0.0.1:7001", "10.0.0.1:7002", "north-0", 5, MemberState.SUSPECT)

PRECEDENCE = [
    # claim's incarnation, claim's state, whether it wins over SUSPECT at incarnation 5
    (5, MemberState.ALIVE, False),
    (6, MemberState.ALIVE, True),
    (5, MemberState.SUSPECT, False),
    (5, MemberState.LEAVING, True),
    (5, MemberState.DEAD, True),
    (4, MemberState.DEAD, False),
    (4, MemberState.LEFT, False),
    (5, MemberState.LEFT, True),
]

claims = st.builds(
    Claim,
    st.just("a"),
    st.integers(0, 4),
    st.sampled_from(MemberState),
    st.just(LOCATION),
)


def believe(order: tuple[Claim, ...]) -> Member | None:
    member: Member | None = MEMBER
    for claim in order:
        member = apply_claim(member, claim) or member
    return member


class ClaimTest(unittest.TestCase):
    def test_precedence_table(self) -> None:
        for incarnation, state, wins in PRECEDENCE:
            with self.subTest(incarnation=incarnation, state=state):
                self.assertEqual(supersedes(Claim("a", incarnation, state), MEMBER), wins)

    def test_unknown_member_needs_place_and_life(self) -> None:
        cases = [
            (Claim("a", 1, MemberState.ALIVE), False),
            (Claim("a", 1, MemberState.ALIVE, LOCATION), True),
            (Claim("a", 1, MemberState.DEAD, LOCATION), False),
            (Claim("a", 1, MemberState.LEFT, LOCATION), False),
        ]
        for claim, added in cases:
            with self.subTest(claim=claim):
                self.assertEqual(apply_claim(None, claim) is not None, added)

    def test_a_restart_elsewhere_takes_the_new_place(self) -> None:
        moved = Location("10.0.0.9:7001", "10.0.0.9:7002", "south-1")
        believed = apply_claim(MEMBER, Claim("a", 6, MemberState.ALIVE, moved))
        self.assertEqual(believed.location if believed else None, moved)

    @settings(max_examples=60, deadline=None)
    @given(st.lists(claims, min_size=1, max_size=4))
    def test_order_of_claims_does_not_matter(self, found: list[Claim]) -> None:
        views = {believe(order) for order in permutations(found)}
        self.assertEqual(len(views), 1)
