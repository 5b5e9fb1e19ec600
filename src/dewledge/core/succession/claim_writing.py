"""What a new claim row holds, worked out from the one before it. Pure functions."""

from collections.abc import Collection, Sequence

from dewledge.core.pooling.group_view import DatabaseRole, GroupView
from dewledge.core.succession.lead_right import Fencing, LeadRight
from dewledge.core.succession.messages import Claim, WriteClaim

MAX_BANNED = 16


def next_claim(
    right: LeadRight,
    view: GroupView,
    voters: Sequence[str],
    replaced: str,
    banned: Collection[str] = (),
    freed: Collection[str] = (),
    is_settled: bool = False,
    ordered: str | None = None,
) -> WriteClaim:
    """Returns the write that follows the newest claim known.

    banned: databases that must not lead from now on, besides those of the newest claim.
    freed: databases whose ban ends, since nobody was promoted in their place.
    is_settled: nobody vouches for claims before the newest one any more.
    ordered: the database whose promotion is to be ordered next; by default an earlier order that
    has not been seen to have an effect stays noted.
    """
    claim = right.claim
    expected = 0 if claim is None else claim.token
    if right.fencing is Fencing.PLATFORM:
        return WriteClaim(replaced, expected)
    kept = () if claim is None else tuple(name for name in claim.banned if may_lead(view, name))
    names = tuple(name for name in dict.fromkeys([*kept, *banned]) if name not in freed)
    names = names[-MAX_BANNED:]
    quorums = _quorums(claim, is_settled)
    if ordered is None:
        ordered = _open_order(claim, view, replaced, names)
    return WriteClaim(replaced, expected, names, tuple(voters), quorums, ordered)


def may_lead(view: GroupView, database_id: str) -> bool:
    """Tells whether a replaced database may still take itself for the primary.

    One that calls itself replica has learned of the later term and leads only if it is promoted.
    """
    record = view.databases.get(database_id)
    return record is None or record.role is DatabaseRole.PRIMARY or database_id in view.departed


def _open_order(
    claim: Claim | None, view: GroupView, replaced: str, banned: Collection[str]
) -> str:
    """The database that was ordered to lead and may still begin to."""
    if claim is None or claim.ordered == replaced or claim.ordered in banned:
        return ""
    primary = view.primary
    return "" if primary is not None and primary.id == claim.ordered else claim.ordered


def _quorums(claim: Claim | None, is_settled: bool) -> tuple[tuple[str, ...], ...]:
    if claim is None:
        return ()
    earlier = () if is_settled else claim.quorums
    sets = dict.fromkeys(tuple(sorted(names)) for names in (claim.voters, *earlier) if names)
    return tuple(sets)
