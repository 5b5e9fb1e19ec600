"""Decides which processes hold connections to a database, and how many each. Pure functions.

While a database allows enough connections for all processes, each holds an equal part of them.
Otherwise only a few processes, the holders, connect: those nearest to the database first, ordered
by rendezvous hashing within the same distance. The other processes send their statements through
holders. Processes with different views of the members do no harm, because the database enforces its
connection limit before it runs anything.
"""

from collections.abc import Callable, Mapping, Sequence

import msgspec
import xxhash

from dewledge.core.pooler.sessions.routes import NO_CALLER
from dewledge.core.pooler.sharing.members import Member

RESERVED_RATIO = 0.1
"""Part of a database's connection limit that is reserved for processes that have just started."""
MIN_DIRECT_CONNECTIONS = 3
"""Connections per process below which only holders connect to the database. Where 73 processes each
connected to databases with a limit of 40, more than a quarter of the requests were refused."""
CONNECTIONS_PER_HOLDER = 8
"""Connections planned per holder of a database."""
MIN_HOLDERS = 2
"""Holders that a database has at least, so that one remains if another is lost."""
FALLBACK_CONNECTIONS = 2
"""Connections that a process which is not a holder may open if no holder can be reached."""
SUBSTITUTE_HOLDERS = 3
"""Processes that are tried in turn when no holder can be reached."""


class Holding(msgspec.Struct, frozen=True):
    """How a process reaches a database: by its own connections or through holders.

    connections: connections that the process may hold; 0 if it goes through `holders`.
    holders: names of processes in the order in which this process tries them.
    main: number of leading entries of `holders` that are holders; the rest are substitutes.
    """

    connections: int
    holders: tuple[str, ...] = ()
    main: int = 0

    @property
    def is_direct(self) -> bool:
        """Whether the process holds connections itself."""
        return self.connections > 0

    def holders_for(self, caller: str) -> Sequence[str]:
        """Returns the holders in the order in which to try them for a caller's statements.

        All processes prefer the same holder for a caller, because a connection serves only one
        caller.
        """
        if caller == NO_CALLER:
            return self.holders
        main = sorted(self.holders[: self.main], key=lambda name: _caller_weight(caller, name))
        return [*main, *self.holders[self.main :]]


def connections_per_process(limit: int, processes: int) -> int:
    """Returns the connections per process if `processes` divide a database's limit equally."""
    return usable_connections(limit) // max(processes, 1)


def usable_connections(limit: int) -> int:
    """Returns a database's connection limit minus the reserve, at least 1."""
    return max(limit - max(int(limit * RESERVED_RATIO), 1), 1)


def holding_of(
    process: str,
    database_id: str,
    limit: int,
    members: Mapping[str, Member],
    distance: Callable[[str], int],
) -> Holding:
    """Returns how a process reaches a database.

    process: the name of the process. limit: the database's connection limit. distance: returns the
    distance of a zone from the database's zone, 0 for the same zone.
    """
    connections = connections_per_process(limit, len(members))
    if connections >= MIN_DIRECT_CONNECTIONS:
        return Holding(connections)
    ranked = rank_members(database_id, members, distance)
    count = min(max(usable_connections(limit) // CONNECTIONS_PER_HOLDER, MIN_HOLDERS), len(ranked))
    holders = ranked[:count]
    if process in holders:
        return Holding(max(connections_per_process(limit, count), 1))
    start = xxhash.xxh3_64_intdigest(f"{process} {database_id}".encode()) % count
    order = [*holders[start:], *holders[:start], *ranked[count : count + SUBSTITUTE_HOLDERS]]
    return Holding(0, tuple(name for name in order if name != process), count)


def _caller_weight(caller: str, name: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"caller {caller} {name}".encode()), name)


def rank_members(
    database_id: str, members: Mapping[str, Member], distance: Callable[[str], int]
) -> Sequence[str]:
    """Returns all processes in the order of preference as holders of a database."""

    def order(name: str) -> tuple[int, int, str]:
        weight = xxhash.xxh3_64_intdigest(f"{database_id} {name}".encode())
        return (distance(members[name].zone), weight, name)

    return sorted(members, key=order)
