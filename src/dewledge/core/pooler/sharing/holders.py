"""Which processes hold connections to a database, and how many each. Pure functions.

While the connections of a database suffice for all processes, each holds an equal share. With more
processes only a few hold them, chosen by rendezvous hashing, the nearest to the database first; the
others send their statements through these. Two processes that disagree for a moment are harmless:
the database's own limit is the guard, and it refuses a connection before anything runs.

Inputs: the members and their zones, as the store's table tells them; a database's limit of
connections, of the configuration in force. Decision: how many connections this process may hold to
a database, or through which processes it goes.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.sessions.routes import NO_CALLER
from dewledge.core.pooler.sharing.members import Member

RESERVED_SHARE = 0.1
"""Ratio; of a database's limit, kept free for processes that have just started."""
LEAST_DIRECT_SHARE = 3
"""Connections for each process; with less, only holders connect."""
CONNECTIONS_PER_HOLDER = 8
"""Connections planned for each holder of a database."""
LEAST_HOLDERS = 2
"""Holders of one database, so that the loss of one leaves another."""
FALLBACK_CONNECTIONS = 2
"""Connections of a process that can reach none of the holders."""
RESERVE_HOLDERS = 3
"""Processes that are tried when no holder can be reached."""


class Holding(msgspec.Struct, frozen=True):
    """How one process reaches one database.

    connections: how many it may hold itself, 0 for one that goes through `holders`.
    holders: names in the order in which this process tries them.
    main: how many of them, from the first, hold connections; the others stand in.
    """

    connections: int
    holders: tuple[str, ...] = ()
    main: int = 0

    @property
    def is_direct(self) -> bool:
        """Whether this process holds connections itself."""
        return self.connections > 0

    def holders_for(self, caller: str) -> Sequence[str]:
        """Returns the holders in the order to try for a caller's statements.

        A connection serves one caller only, so all processes go to the same holder for it.
        """
        if caller == NO_CALLER:
            return self.holders
        main = sorted(self.holders[: self.main], key=lambda name: _caller_weight(caller, name))
        return [*main, *self.holders[self.main :]]


def share_of_connections(limit: int, processes: int) -> int:
    """Returns the equal share of a database's limit among the processes that connect to it."""
    return usable_connections(limit) // max(processes, 1)


def usable_connections(limit: int) -> int:
    """Returns how many of a database's connections may be planned for."""
    return max(limit - max(int(limit * RESERVED_SHARE), 1), 1)


def holding_of(
    own_name: str,
    database_id: str,
    limit: int,
    members: Mapping[str, Member],
    distance: Callable[[str], int],
) -> Holding:
    """Returns how the process `own_name` reaches a database.

    distance: of a zone from the database's zone, 0 for the same.
    """
    share = share_of_connections(limit, len(members))
    if share >= LEAST_DIRECT_SHARE:
        return Holding(share)
    ranked = rank_members(database_id, members, distance)
    count = min(
        max(usable_connections(limit) // CONNECTIONS_PER_HOLDER, LEAST_HOLDERS), len(ranked)
    )
    holders = ranked[:count]
    if own_name in holders:
        return Holding(max(share_of_connections(limit, count), 1))
    start = xxhash.xxh3_64_intdigest(f"{own_name} {database_id}".encode()) % count
    order = [*holders[start:], *holders[:start], *ranked[count : count + RESERVE_HOLDERS]]
    return Holding(0, tuple(name for name in order if name != own_name), count)


def _caller_weight(caller: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"caller {caller} {name}".encode()), name)


def rank_members(
    database_id: str, members: Mapping[str, Member], distance: Callable[[str], int]
) -> Sequence[str]:
    """Returns the processes in the order in which they become holders of a database."""

    def order(name: str) -> tuple[int, int, str]:
        weight = xxhash.xxh3_64_intdigest(f"{database_id} {name}".encode())
        return (distance(members[name].zone), weight, name)

    return sorted(members, key=order)
