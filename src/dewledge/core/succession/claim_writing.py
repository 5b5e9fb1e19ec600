"""What a new claim row holds, worked out from the one before it. Pure functions."""

from collections.abc import Collection, Sequence

from dewledge.core.pooling.group_view import DatabaseRole, GroupView
from dewledge.core.succession.lead_right import Fencing, LeadRight
from dewledge.core.succession.messages import Ban, Claim, WriteClaim

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
    bans = _bans(claim, view, banned, freed)
    quorums = _quorums(claim, is_settled)
    if ordered is None:
        ordered = _open_order(claim, view, replaced, bans)
    return WriteClaim(replaced, expected, bans, tuple(voters), quorums, ordered)


def _bans(
    claim: Claim | None, view: GroupView, banned: Collection[str], freed: Collection[str]
) -> tuple[Ban, ...]:
    bans: dict[str, Ban] = {}
    if claim is not None:
        kept = [Ban(ban.database, ban.since or claim.token) for ban in claim.bans]
        bans = {ban.database: ban for ban in kept if not has_stepped_down(view, ban)}
    for name in banned:
        bans[name] = Ban(name)
    return tuple(ban for ban in bans.values() if ban.database not in freed)[-MAX_BANNED:]


def has_stepped_down(view: GroupView, ban: Ban) -> bool:
    """Tells whether a banned database has called itself replica after it was banned.

    It has learned of the later term then, and leads only if it is promoted. Its entry and the claim
    have their versions from the same counter of the store.
    """
    record = view.databases.get(ban.database)
    if record is None or ban.database in view.departed:
        return False
    return record.role is DatabaseRole.REPLICA and record.revision > ban.since


def _open_order(claim: Claim | None, view: GroupView, replaced: str, bans: Collection[Ban]) -> str:
    """The database that was ordered to lead and may still begin to."""
    if claim is None or claim.ordered == replaced:
        return ""
    if any(ban.database == claim.ordered for ban in bans):
        return ""
    primary = view.primary
    return "" if primary is not None and primary.id == claim.ordered else claim.ordered


def _quorums(claim: Claim | None, is_settled: bool) -> tuple[tuple[str, ...], ...]:
    if claim is None:
        return ()
    earlier = () if is_settled else claim.quorums
    sets = dict.fromkeys(tuple(sorted(names)) for names in (claim.voters, *earlier) if names)
    return tuple(sets)
