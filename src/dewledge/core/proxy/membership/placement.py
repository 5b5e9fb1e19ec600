"""Which proxy is the gateway of which database: rendezvous hashing of the live members.

Each database ranks the proxies of its own zone by a hash of (database, proxy); the first is its
active gateway, the second takes over. Every proxy computes the same ranking from the same members,
and a member that comes or goes moves only the databases that ranked it first (Thaler and
Ravishankar, "Using name-based mappings to increase hit rates", 1998). Two proxies that disagree
for a moment are harmless: the database's connection limit and the term are the guards.
"""

import heapq
from collections.abc import Iterable

import xxhash

from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resources import DatabaseSpec, Kind
from dewledge.core.proxy.membership.member import PLACED_STATES, Member

RANKING_LENGTH = 3
"""Proxies that a database ranks: the active one, the next, and one in reserve."""

Rankings = dict[tuple[str, str], tuple[str, ...]]
"""Rankings by zone and name of the database: its zone may change, and its ranking with it."""

NO_ZONE = ""
"""Stands for the ranking over members of all zones."""


def rank(database: str, proxies: Iterable[str], length: int = RANKING_LENGTH) -> tuple[str, ...]:
    """Returns the `length` proxies with the highest weight for `database`, best first."""
    seed = xxhash.xxh64_intdigest(database.encode())
    digest = xxhash.xxh64_intdigest
    weighted = [(digest(proxy.encode(), seed), proxy) for proxy in proxies]
    return tuple(proxy for _, proxy in heapq.nlargest(length, weighted))


class GatewayPlacement:
    """The placement for one set of members and one configuration. Immutable to its users.

    Rankings are worked out when first asked for. `previous` lends its rankings as far as the
    members that have come and gone leave them as they were, so that a change costs little.
    """

    def __init__(
        self,
        members: Iterable[Member],
        configuration: Configuration,
        previous: "GatewayPlacement | None" = None,
    ) -> None:
        self._configuration = configuration
        self._zones = _placed_by_zone(members)
        self._rankings = {zone: _lend(previous, zone, self._zones) for zone in self._zones}
        self._by_active: dict[str, tuple[str, ...]] | None = None
        self._by_standby: dict[str, tuple[str, ...]] = {}

    @property
    def proxy_count(self) -> int:
        """How many proxies are there to be placed."""
        return len(self._zones.get(NO_ZONE, ()))

    def ranked(self, database: str) -> tuple[str, ...]:
        """Returns proxy names, active gateway first, those of the database's zone before others.

        Empty if the database is not configured or nobody is there to be placed.
        """
        spec = self._configuration.database(database)
        if spec is None or not self._zones[NO_ZONE]:
            return ()
        return self._ranked_in(database, spec)

    def active(self, database: str) -> str | None:
        """Returns the proxy that holds the database's connections, or None."""
        return next(iter(self.ranked(database)), None)

    def databases_of(self, proxy: str) -> tuple[str, ...]:
        """Returns the databases of which `proxy` is the active gateway, sorted."""
        return self._assignments().get(proxy, ())

    def standby_databases_of(self, proxy: str) -> tuple[str, ...]:
        """Returns the databases of which `proxy` is the next gateway, sorted."""
        self._assignments()
        return self._by_standby.get(proxy, ())

    def _ranked_in(self, database: str, spec: DatabaseSpec) -> tuple[str, ...]:
        own_zone = self._zones.get(spec.zone, ())
        zone = spec.zone if len(own_zone) >= RANKING_LENGTH else NO_ZONE
        cache = self._rankings[zone]
        key = (spec.zone, database)
        ranking = cache.get(key)
        if ranking is None:
            ranking = self._compute(database, own_zone, zone)
            cache[key] = ranking
        return ranking

    def _compute(self, database: str, own_zone: tuple[str, ...], zone: str) -> tuple[str, ...]:
        first = rank(database, own_zone)
        if zone != NO_ZONE:
            return first
        others = set(self._zones[NO_ZONE]).difference(own_zone)
        return first + rank(database, others, RANKING_LENGTH - len(first))

    def _assignments(self) -> dict[str, tuple[str, ...]]:
        if self._by_active is None:
            active: dict[str, list[str]] = {}
            standby: dict[str, list[str]] = {}
            for item in self._configuration.of_kind(Kind.DATABASE):
                for proxy, held in zip(self.ranked(item.name), (active, standby), strict=False):
                    held.setdefault(proxy, []).append(item.name)
            self._by_standby = {proxy: tuple(names) for proxy, names in standby.items()}
            self._by_active = {proxy: tuple(names) for proxy, names in active.items()}
        return self._by_active


def _placed_by_zone(members: Iterable[Member]) -> dict[str, tuple[str, ...]]:
    """Returns the sorted names of members that may be placed, by zone, and all under NO_ZONE."""
    zones: dict[str, list[str]] = {NO_ZONE: []}
    for member in members:
        if member.state not in PLACED_STATES:
            continue
        zones[NO_ZONE].append(member.name)
        if member.zone != NO_ZONE:
            zones.setdefault(member.zone, []).append(member.name)
    return {zone: tuple(sorted(names)) for zone, names in zones.items()}


def _lend(
    previous: GatewayPlacement | None, zone: str, zones: dict[str, tuple[str, ...]]
) -> Rankings:
    """Returns the earlier rankings of a zone as far as they hold, else an empty cache."""
    if previous is None or zone not in previous._zones:
        return {}
    if zone == NO_ZONE:
        return previous._rankings[zone] if previous._zones == zones else {}
    before, after = previous._zones[zone], zones[zone]
    if before == after:
        return previous._rankings[zone]
    return _adjust(previous._rankings[zone], set(before), set(after))


def _adjust(rankings: Rankings, before: set[str], after: set[str]) -> Rankings:
    """Returns the rankings among the members of `after`, given those among `before`.

    A ranking that has lost nobody can only change by who has come. The others are left out, to be
    worked out again when asked for.
    """
    gone = before - after
    come = after - before
    return {
        key: rank(key[1], (*ranking, *come)) if come else ranking
        for key, ranking in rankings.items()
        if gone.isdisjoint(ranking)
    }
