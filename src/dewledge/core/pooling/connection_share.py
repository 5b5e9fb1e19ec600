"""How many connections to a database one process may hold. A pure function."""

RESERVED_SHARE = 0.1
"""Of a database's limit, kept free for processes that have just started."""


def share_of_connections(limit: int, members: int) -> int:
    """Returns the equal share of a database's limit among the processes that use it."""
    usable = limit - max(int(limit * RESERVED_SHARE), 1)
    return max(usable // max(members, 1), 1)
