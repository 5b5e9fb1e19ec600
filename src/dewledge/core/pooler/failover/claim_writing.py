"""What a new claim row holds, worked out from the one before it. Pure functions.

Inputs: the newest claim known, the judges of the group, the replaced and the chosen database.
Decision: the fields of the row to write. Relies on the store's conditional write, which refuses a
row that was worked out from an older one.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import Claim, WriteClaim
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease

NO_LEADER = ""
"""The leader of a claim under which no database may be used as primary."""


def maintenance_claim(
    lease: PrimaryLease, voters: Sequence[str], drops_earlier_voters: bool
) -> WriteClaim:
    """Returns the claim that changes nothing but the voters.

    is_settled: no voter confirms claims before the newest one any more.
    """
    leader = None if lease.claim is None else lease.claim.leader
    return _next_claim(lease, voters, "", leader, drops_earlier_voters=drops_earlier_voters)


def replacement_claim(
    lease: PrimaryLease, voters: Sequence[str], replaced: str, still_serves: bool
) -> WriteClaim:
    """Returns the claim to replace a primary. serves_on: it may be used until the order."""
    if not still_serves:
        return _next_claim(lease, voters, replaced, NO_LEADER)
    leader = None if lease.claim is None else lease.claim.leader
    return _next_claim(lease, voters, replaced, replaced if leader is None else leader)


def order_claim(
    lease: PrimaryLease, voters: Sequence[str], replaced: str, ordered: str
) -> WriteClaim:
    """Returns the claim under which the promotion of `ordered` is ordered."""
    return _next_claim(lease, voters, replaced, ordered, ordered)


def withdrawal_claim(lease: PrimaryLease, voters: Sequence[str], primary: str) -> WriteClaim:
    """Returns the claim after a replacement without an order: `kept` stays primary."""
    return _next_claim(lease, voters, "", primary, primary)


def last_order(lease: PrimaryLease, replaced: str) -> str:
    """Returns the database whose promotion was ordered last, "" for none or the replaced one."""
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
    expected = 0 if claim is None else claim.fencing_token
    if lease.fencing is Fencing.PLATFORM:
        return WriteClaim(replaced, expected)
    if ordered is None:
        ordered = last_order(lease, replaced)
    quorums = _earlier_quorums(claim, drops_earlier_voters)
    return WriteClaim(replaced, expected, leader, tuple(voters), quorums, ordered)


def _earlier_quorums(
    claim: Claim | None, drops_earlier_voters: bool
) -> tuple[tuple[str, ...], ...]:
    if claim is None:
        return ()
    earlier = () if drops_earlier_voters else claim.quorums
    sets = dict.fromkeys(tuple(sorted(names)) for names in (claim.voters, *earlier) if names)
    return tuple(sets)
