"""Builds each new claim row from the newest known claim. Pure functions.

Relies on the store's conditional write, which refuses a row that was built from an outdated claim.
"""

from collections.abc import Sequence

import msgspec

from dewledge.core.pooler.failover.messages import Claim, WriteClaim
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease

NO_LEADER = ""
"""Value of `Claim.leader` when no database may be used as primary."""


def maintenance_claim(
    lease: PrimaryLease, voters: Sequence[str], drops_earlier_voters: bool, term: int = 0
) -> WriteClaim:
    """Returns a claim that replaces no primary and only updates the voters and the term.

    drops_earlier_voters: whether no voter can still confirm claims older than the newest one.
    term: newest term known of the group.
    """
    leader = None if lease.claim is None else lease.claim.leader
    claim = _next_claim(lease, voters, "", leader, drops_earlier_voters=drops_earlier_voters)
    return _with_term(claim, term)


def replacement_claim(
    lease: PrimaryLease, voters: Sequence[str], replaced: str, still_serves: bool, term: int = 0
) -> WriteClaim:
    """Returns the claim to replace a primary.

    still_serves: whether the old primary may be used until the promotion is ordered. term: newest
    term known of the group.
    """
    leader: str | None = NO_LEADER
    if still_serves:
        leader = None if lease.claim is None else lease.claim.leader
        leader = replaced if leader is None else leader
    return _with_term(_next_claim(lease, voters, replaced, leader), term)


def order_claim(
    lease: PrimaryLease, voters: Sequence[str], replaced: str, ordered: str
) -> WriteClaim:
    """Returns the claim that names `ordered` as the only leader before its promotion."""
    return _next_claim(lease, voters, replaced, ordered, ordered)


def withdrawal_claim(lease: PrimaryLease, voters: Sequence[str], primary: str) -> WriteClaim:
    """Returns the claim that ends a replacement before any promotion: `primary` stays primary."""
    return _next_claim(lease, voters, "", primary, primary)


def restated_claim(
    lease: PrimaryLease, voters: Sequence[str], claim: Claim, term: int = 0
) -> WriteClaim:
    """Returns the first claim of the store's era, which repeats `claim`.

    claim: the newest claim of the former eras. term: newest term known of the group.
    """
    if lease.fencing is Fencing.PLATFORM:
        return _with_term(WriteClaim("", lease.expected_version, term=claim.term), term)
    quorums = _merge_quorums(lease.claim, claim)
    write = WriteClaim(
        "",
        lease.expected_version,
        claim.leader,
        tuple(voters),
        quorums,
        claim.ordered,
        claim.term,
        claim.fencing_token,
    )
    return _with_term(write, term)


def unwitnessed_claim(
    lease: PrimaryLease, voters: Sequence[str], claim: Claim | None, term: int = 0
) -> WriteClaim:
    """Returns the first claim of the store's era if a newer one than `claim` may be lost.

    It allows no primary, so that none is used before the claim has taken effect and a promotion
    ended all earlier ones. claim: the newest one that is left, None if there is none.
    """
    if claim is None:
        expected = lease.expected_version
        return WriteClaim("", expected, NO_LEADER, tuple(voters), term=term, restates=0)
    write = restated_claim(lease, voters, claim, term)
    return msgspec.structs.replace(write, leader=NO_LEADER, ordered="")


def last_order(lease: PrimaryLease, replaced: str) -> str:
    """Returns the database whose promotion was ordered last.

    Returns "" if there was no order, or if the ordered database is the one now being replaced.
    """
    claim = lease.claim
    return "" if claim is None or claim.ordered == replaced else claim.ordered


def _next_claim(
    lease: PrimaryLease,
    voters: Sequence[str],
    replaced: str,
    leader: str | None,
    ordered: str | None = None,
    drops_earlier_voters: bool = False,
) -> WriteClaim:
    claim = lease.claim
    expected = lease.expected_version
    term = 0 if claim is None else claim.term
    if lease.fencing is Fencing.PLATFORM:
        return WriteClaim(replaced, expected, term=term)
    if ordered is None:
        ordered = last_order(lease, replaced)
    quorums = _earlier_quorums(claim, drops_earlier_voters)
    restates = None if claim is None or drops_earlier_voters else claim.restates
    return WriteClaim(replaced, expected, leader, tuple(voters), quorums, ordered, term, restates)


def _merge_quorums(*claims: Claim | None) -> tuple[tuple[str, ...], ...]:
    sets = [names for claim in claims for names in _earlier_quorums(claim, False)]
    return tuple(dict.fromkeys(sets))


def _with_term(claim: WriteClaim, term: int) -> WriteClaim:
    """Returns the claim with the newest known term; a claim never goes back to an older one."""
    return msgspec.structs.replace(claim, term=max(claim.term, term))


def _earlier_quorums(
    claim: Claim | None, drops_earlier_voters: bool
) -> tuple[tuple[str, ...], ...]:
    if claim is None:
        return ()
    earlier = () if drops_earlier_voters else claim.quorums
    sets = dict.fromkeys(tuple(sorted(names)) for names in (claim.voters, *earlier) if names)
    return tuple(sets)
